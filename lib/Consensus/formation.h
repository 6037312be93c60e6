// formation.h: decides when a VM bootstraps the Raft group, and stores the requests to join it.
#pragma once

#include "sapphirespool/Consensus/repair.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <functional>
#include <map>
#include <vector>

namespace sapphirespool::consensus
{

/// Answer of a control VM or a directory to a request to join.
struct JoinAnswer
{
    /// Whether the answering VM belongs to no group; a directory: whether it knows of none.
    bool empty = false;
    /// Members of the group that the answering VM belongs to; a directory: the VMs that it knows to be in a group.
    std::vector<ControlMember> members;
    /// Whether the answer comes from a directory.
    bool directory = false;
};

/// The first control VM of the settings bootstraps the group as its only voter, once each other VM of the settings has answered that it
/// belongs to no group, or as a directory that it knows of none. The others then join like any VM that restarts with an empty disk. So two
/// VMs can never bootstrap two groups, and a first VM that lost its disk cannot bootstrap a second one, as some other VM still belongs to
/// the first group.
///
/// If the settings name directories only, nobody bootstraps the group: two control VMs that the directories list one after the other could each
/// find that it is the first (spec/founding.pml).
class GroupFormation
{
public:
    /// \param mayFound whether this may be the first start of the whole system
    /// \param openToOthers whether VMs may join that are listed neither in the settings nor in the group
    GroupFormation(VmId self, std::vector<ControlMember> initialMembers, bool mayFound = true, bool openToOthers = false);

    /// Answers of a directory count for this long, several times the interval at which join requests are repeated. What it knows changes,
    /// unlike the empty disk of a control VM that is asked.
    static constexpr auto directoryAnswerLifetime = std::chrono::seconds(1);

    /// Records the answer of \p vm to a join request.
    auto recordAnswer(const VmId &vm, const JoinAnswer &answer, TimePoint now) -> void;

    /// \return whether this VM must bootstrap the group; meaningful only while it belongs to none
    [[nodiscard]] auto shouldFound(TimePoint now) const -> bool;

    /// \return whether this VM may bootstrap a group, but all VMs of the settings have answered as directories
    [[nodiscard]] auto lacksControlSeed(TimePoint now) const -> bool;

    /// Records a request to join. Drops it if the VM is neither in the settings nor in \p group, unless other VMs may join.
    auto recordRequest(const JoinRequest &request, const Members &group, TimePoint now) -> void;

    /// \return whether \p group, which has fewer voters than it should, has taken in all VMs that there are: no VM that is not a member asked
    ///         for a while, and no learner responds that could still become a voter
    /// \param leadsSince since when this VM has been the leader; an earlier one may have received requests that this one did not
    [[nodiscard]] auto isComplete(const Members &group, const std::function<bool(ReplicaId)> &responds, TimePoint leadsSince, TimePoint now) const -> bool;

    /// \return the requests that were repeated recently
    [[nodiscard]] auto requests(TimePoint now) const -> std::vector<JoinRequest>;

private:
    struct ReceivedAnswer
    {
        bool empty = false;
        bool directory = false;
        TimePoint at;
    };

    struct ReceivedRequest
    {
        JoinRequest request;
        TimePoint at;
    };

    /// \return the last answer of \p vm if it counts at \p now, otherwise null
    [[nodiscard]] auto answerOf(const VmId &vm, TimePoint now) const -> const ReceivedAnswer *;
    [[nodiscard]] auto isEmpty(const ControlMember &seed, TimePoint now) const -> bool;
    [[nodiscard]] auto isDirectory(const ControlMember &seed, TimePoint now) const -> bool;

    VmId self;
    std::vector<ControlMember> initialMembers;
    bool mayFound;
    bool openToOthers;
    std::map<VmId, ReceivedAnswer> answers;
    std::map<VmId, ReceivedRequest> joinRequests;
    /// When a VM that was not a member last asked to join. A learner that asks although it is a member does not receive the log; it counts
    /// only while it responds, as it would otherwise keep the group from accepting commands for as long as its link is broken.
    TimePoint lastRequestTime = TimePoint::min();
};

} // namespace sapphirespool::consensus
