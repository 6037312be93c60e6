// fakelog.h: a replicated log without consensus.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/State/clusterstate.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace sapphirespool::controller
{

/// Commits at once to the state of this VM and of its followers; the test sets the leader.
class FakeLog : public consensus::ReplicatedLog
{
public:
    explicit FakeLog(state::ClusterState &state)
        : state(state)
    {
    }

    auto propose(consensus::Bytes command, std::function<void(consensus::ProposalOutcome)> done) -> void override
    {
        if (this->failure) {
            done(*this->failure);
            return;
        }
        ++this->proposals;
        auto result = this->state.apply(consensus::LogIndex(this->proposals), command);
        for (auto *const follower : this->followers) {
            follower->apply(consensus::LogIndex(this->proposals), command);
        }
        done(std::move(result));
    }

    auto confirmRead(std::function<void(std::optional<consensus::ProposalFailure>)> done) -> void override
    {
        done(this->leads ? std::nullopt : std::optional(consensus::ProposalFailure::NotLeader));
    }

    [[nodiscard]] auto leaderLeaseEnd() const -> TimePoint override
    {
        return this->leads ? this->leaseEnd : TimePoint::min();
    }

    auto onLeadershipLost(std::function<void()> callback) -> void override
    {
        this->leadershipLost = std::move(callback);
    }

    [[nodiscard]] auto leadershipNumber() const -> std::uint64_t override
    {
        return this->number;
    }

    [[nodiscard]] auto timeSinceContact(const VmId &) const -> Duration override
    {
        return this->silent;
    }

    [[nodiscard]] auto leader() const -> std::optional<VmId> override
    {
        return std::nullopt;
    }

    auto addLearner(consensus::ControlMember, std::function<void(consensus::ProposalOutcome)> done) -> void override
    {
        done(consensus::ProposalFailure::ChangeInProgress);
    }

    auto promoteLearner(VmId, std::function<void(consensus::ProposalOutcome)> done) -> void override
    {
        done(consensus::ProposalFailure::ChangeInProgress);
    }

    auto removeMember(VmId, std::function<void(consensus::ProposalOutcome)> done) -> void override
    {
        done(consensus::ProposalFailure::ChangeInProgress);
    }

    [[nodiscard]] auto members() const -> std::vector<consensus::ControlMember> override
    {
        return {};
    }

    state::ClusterState &state;
    std::vector<state::ClusterState *> followers;
    std::function<void()> leadershipLost;
    bool leads = true;
    TimePoint leaseEnd = TimePoint::max();
    std::uint64_t number = 1;
    /// Time since the last contact with every other VM.
    Duration silent{};
    std::optional<consensus::ProposalFailure> failure;
    std::uint64_t proposals = 0;
};

} // namespace sapphirespool::controller
