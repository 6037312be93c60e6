// replicatedlog.h: interface to the control group's replicated log; used on the control thread.
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

/// Reason why a proposal or a read has no result.
enum class ProposalFailure {
    /// This VM is not the leader; another one may be.
    NotLeader,
    /// Leadership was lost while the proposal was in flight: it may or may not take effect.
    OutcomeUnknown,
    /// The log cannot be written, for example because the disk is full.
    StorageFailed,
    /// A membership change of the control group is in progress.
    ChangeInProgress,
};

/// Result of StateMachine::apply(), or the reason why there is none.
using ProposalOutcome = std::variant<Bytes, ProposalFailure>;

/// Identity of one data folder, generated when the folder is created. A VM that lost its disk rejoins as a different replica, so that
/// its earlier votes and acknowledgements, of which it has no record, are not attributed to the empty folder.
using ReplicaId = support::StrongType<struct ReplicaIdTag, std::uint64_t>;

/// A VM of the control group and its role in quorums.
struct ControlMember
{
    VmId vm;
    Endpoint endpoint;
    /// A learner receives the log but does not count towards a quorum.
    bool voter = false;
    /// Identity of the data folder with which the VM last requested to join; 0 in settings.
    ReplicaId replica{};
    /// Availability zone of the VM; empty in settings, and in a log that was written before members had zones.
    ZoneId zone{};

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

    /// Appends \p command and calls \p done once it is applied on this VM or has failed.
    virtual auto propose(Bytes command, std::function<void(ProposalOutcome)> done) -> void = 0;

    /// Calls \p done once the local state includes all entries committed before the call, or with a failure if this VM is not the leader.
    virtual auto confirmRead(std::function<void(std::optional<ProposalFailure>)> done) -> void = 0;

    /// \return the end of the lease that a quorum confirmed, until which no other VM can be leader; the earliest time on a non-leader
    [[nodiscard]] virtual auto leaderLeaseEnd() const -> TimePoint = 0;

    /// Sets the function that is called when this VM ceases to be the leader, before any other VM can learn of it. A leader that resigns ends
    /// its lease early: what was derived from leaderLeaseEnd() before ends with this call.
    virtual auto onLeadershipLost(std::function<void()> callback) -> void = 0;

    /// \return whether this VM is the leader and no other VM can be leader at \p now
    [[nodiscard]] auto holdsLeaderLease(TimePoint now) const -> bool
    {
        return now < this->leaderLeaseEnd();
    }

    /// \return the fencing token of this leadership: unique to this VM and higher than that of every earlier leader; only meaningful on
    ///         the leader
    [[nodiscard]] virtual auto leadershipNumber() const -> std::uint64_t = 0;

    /// \return the time since this leader's last contact with the control VM \p vm; the longest time if it is not in the group
    [[nodiscard]] virtual auto timeSinceContact(const VmId &vm) const -> Duration = 0;

    /// \return the VM that this replica believes to be the leader
    [[nodiscard]] virtual auto leader() const -> std::optional<VmId> = 0;

    /// Adds \p member as a learner, promotes it to voter once it has caught up, or removes it. Only one change can be in progress.
    virtual auto addLearner(ControlMember member, std::function<void(ProposalOutcome)> done) -> void = 0;
    virtual auto promoteLearner(VmId vm, std::function<void(ProposalOutcome)> done) -> void = 0;
    virtual auto removeMember(VmId vm, std::function<void(ProposalOutcome)> done) -> void = 0;

    [[nodiscard]] virtual auto members() const -> std::vector<ControlMember> = 0;
};

} // namespace sapphirespool::consensus
