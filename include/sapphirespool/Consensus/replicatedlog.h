// replicatedlog.h: the control group's log as its users see it; lives on the control thread.
#pragma once

#include "sapphirespool/Consensus/statemachine.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace sapphirespool::consensus
{

/// Why a proposal or a read got no result.
enum class ProposalFailure {
    /// This VM does not lead; another one may.
    NotLeader,
    /// Leadership was lost while the proposal was on its way: it may or may not take effect.
    OutcomeUnknown,
    /// The log cannot be written, for example because the disk is full.
    StorageFailed,
    /// A change of the control group is under way.
    ChangeInProgress,
};

/// Result of StateMachine::apply(), or why there is none.
using ProposalOutcome = std::variant<Bytes, ProposalFailure>;

/// Identity of one data folder, drawn when the folder is created. A VM that lost its disk comes back as another replica, so that
/// its earlier votes and acknowledgements, which it no longer knows, cannot be taken for those of the empty folder.
using ReplicaId = support::StrongType<struct ReplicaIdTag, std::uint64_t>;

/// A VM of the control group and the part it plays in quorums.
struct ControlMember
{
    VmId vm;
    Endpoint endpoint;
    /// A learner receives the log and counts in no quorum.
    bool voter = false;
    /// Absent (0) in settings: the data folder with which the VM last asked to join.
    ReplicaId replica{};

    auto operator<=>(const ControlMember &) const = default;
};

/// The replicated log on one control VM.
class ReplicatedLog
{
public:
    ReplicatedLog() = default;
    ReplicatedLog(const ReplicatedLog &) = delete;
    auto operator=(const ReplicatedLog &) -> ReplicatedLog & = delete;
    virtual ~ReplicatedLog() = default;

    /// Appends \p command and calls \p done once it is applied here, or known to have failed.
    virtual auto propose(Bytes command, std::function<void(ProposalOutcome)> done) -> void = 0;

    /// Calls \p done once the local state holds all that was committed before the call; with a failure if this VM does not lead.
    virtual auto confirmRead(std::function<void(std::optional<ProposalFailure>)> done) -> void = 0;

    /// \return until when no other VM can lead, by what a quorum has confirmed; the earliest time if this VM does not lead
    [[nodiscard]] virtual auto leaderLeaseEnd() const -> TimePoint = 0;

    /// \return whether this VM leads and no other VM can lead at \p now
    [[nodiscard]] auto holdsLeaderLease(TimePoint now) const -> bool
    {
        return now < this->leaderLeaseEnd();
    }

    /// \return a number that no other VM ever leads under, and that is higher than that of every earlier leader; of use while this VM leads
    [[nodiscard]] virtual auto leadershipNumber() const -> std::uint64_t = 0;

    /// \return for how long this leader has heard nothing of the control VM \p vm; the longest time if it is not in the group
    [[nodiscard]] virtual auto silence(const VmId &vm) const -> Duration = 0;

    /// \return the VM that is believed to lead
    [[nodiscard]] virtual auto leader() const -> std::optional<VmId> = 0;

    /// Adds \p member as a learner, or turns it into a voter once it has caught up, or removes it. One change at a time.
    virtual auto addLearner(ControlMember member, std::function<void(ProposalOutcome)> done) -> void = 0;
    virtual auto promoteLearner(VmId vm, std::function<void(ProposalOutcome)> done) -> void = 0;
    virtual auto removeMember(VmId vm, std::function<void(ProposalOutcome)> done) -> void = 0;

    [[nodiscard]] virtual auto members() const -> std::vector<ControlMember> = 0;
};

} // namespace sapphirespool::consensus
