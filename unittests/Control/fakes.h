// fakes.h: control VMs of the tests.
#pragma once

#include "sapphirespool/Consensus/replica.h"
#include "sapphirespool/Control/controlserver.h"
#include "sapphirespool/Control/controlservice.h"
#include "sapphirespool/Rpc/loopthread.h"

#include <consensus.capnp.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sapphirespool::control
{

class EmptyPeer final : public schema::ConsensusPeer::Server
{
};

/// Leads or not, as the test says.
class FakeReplica : public consensus::Replica
{
public:
    auto propose(consensus::Bytes, std::function<void(consensus::ProposalOutcome)> done) -> void override
    {
        done(consensus::ProposalFailure::NotLeader);
    }

    auto confirmRead(std::function<void(std::optional<consensus::ProposalFailure>)> done) -> void override
    {
        done(std::nullopt);
    }

    [[nodiscard]] auto leaderLeaseEnd() const -> TimePoint override
    {
        return this->leads ? TimePoint::max() : TimePoint::min();
    }

    [[nodiscard]] auto timeSinceContact(const VmId &) const -> Duration override
    {
        return {};
    }

    auto onLeadershipLost(std::function<void()>) -> void override
    {
    }

    [[nodiscard]] auto leadershipNumber() const -> std::uint64_t override
    {
        return 1;
    }

    [[nodiscard]] auto leader() const -> std::optional<VmId> override
    {
        ++this->askedForLeader;
        return VmId("leader");
    }

    auto addLearner(consensus::ControlMember, std::function<void(consensus::ProposalOutcome)>) -> void override
    {
    }

    auto promoteLearner(VmId, std::function<void(consensus::ProposalOutcome)>) -> void override
    {
    }

    auto removeMember(VmId, std::function<void(consensus::ProposalOutcome)>) -> void override
    {
    }

    [[nodiscard]] auto members() const -> std::vector<consensus::ControlMember> override
    {
        auto members = std::vector{consensus::ControlMember{VmId("leader"), this->leaderEndpoint, true}};
        members.insert(members.end(), this->otherMembers.begin(), this->otherMembers.end());
        return members;
    }

    [[nodiscard]] auto selfMember() const -> consensus::ControlMember override
    {
        return {this->vm, this->endpoint, true, consensus::ReplicaId(7)};
    }

    auto depart(std::function<void()> mayEnd) -> void override
    {
        mayEnd();
    }

    [[nodiscard]] auto survivedLosses() const -> std::optional<std::size_t> override
    {
        return std::nullopt;
    }

    [[nodiscard]] auto isInGroup() const -> bool override
    {
        return true;
    }

    auto suspendCommands(TimePoint) -> void override
    {
        this->suspended = true;
    }

    auto peerCapability() -> capnp::Capability::Client override
    {
        return kj::heap<EmptyPeer>();
    }

    auto start() -> void override
    {
    }

    std::atomic<bool> leads{false};
    /// Each redirect asks for it once.
    mutable std::atomic<int> askedForLeader{0};
    std::atomic<bool> suspended{false};
    VmId vm{"vm"};
    Endpoint endpoint;
    Endpoint leaderEndpoint;
    std::vector<consensus::ControlMember> otherMembers;
};

/// Grants leases, serves the view of the test, and forgets the outcome of the first change.
class FakeService : public ControlService
{
public:
    auto heartbeat(VmHeartbeat heartbeat, std::function<void(HeartbeatOutcome)> done) -> void override
    {
        ++this->heartbeats;
        this->confirmed = heartbeat.confirmed.value();
        this->announcements += static_cast<int>(heartbeat.announcements.size());
        this->suspicions += static_cast<int>(heartbeat.suspicions.size());
        done(LeaseGrant{std::chrono::milliseconds(600), this->floor});
    }

    auto changeConfiguration(membership::ConfigurationChange change, std::function<void(membership::ConfigurationOutcome)> done) -> void override
    {
        this->changes.push_back(change.change);
        if (this->changes.size() == 1) {
            done(OutcomeUnknown{RefusalReason::ControlUnreachable, "leadership was lost"});
            return;
        }
        done(membership::ConfigurationAccepted{Revision(7)});
    }

    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void override
    {
        done(membership::ConfigurationText{Revision(7), "services: []"});
    }

    auto readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void override
    {
        done(membership::ClusterStatus{VmId("leader"), Revision(7), Revision(6), true, {{VmId("p"), ZoneId("z"), Revision(7), Revision(6), true}}});
    }

    [[nodiscard]] auto currentView() const -> std::shared_ptr<const membership::ClusterView> override
    {
        return this->view;
    }

    auto onViewChange(std::function<void()> listener) -> void override
    {
        this->listener = std::move(listener);
    }

    auto change(membership::ClusterView next) -> void
    {
        this->view = std::make_shared<const membership::ClusterView>(std::move(next));
        this->listener();
    }

    std::atomic<int> heartbeats{0};
    std::atomic<int> announcements{0};
    std::atomic<int> suspicions{0};
    std::atomic<std::uint64_t> confirmed{0};
    std::vector<ChangeId> changes;
    Revision floor;
    std::function<void()> listener;
    std::shared_ptr<const membership::ClusterView> view = std::make_shared<const membership::ClusterView>();
};

inline auto viewOf(std::uint64_t revision, const std::string &service) -> membership::ClusterView
{
    auto view = membership::ClusterView{Revision(revision), Revision(revision)};
    view.services.append(membership::ServiceView{ServiceId(service), GroupId("g")});
    view.groups.push_back(membership::GroupView{GroupId("g"), Term(revision), UpstreamId("u"), {{Term(1), LogPosition(0)}}, {{UpstreamId("u")}}});
    view.proxies.push_back(membership::ProxyView{VmId("p"), ZoneId("z"), Incarnation(1)});
    return view;
}

inline auto waitUntil(const std::function<bool()> &reached) -> void
{
    while (!reached()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

/// Runs \p work on \p loop and waits for it.
inline auto runOn(rpc::LoopThread &loop, const std::function<void(rpc::LoopContext &)> &work) -> void
{
    auto done = std::promise<void>();
    loop.post([&work, &done](rpc::LoopContext &context) {
        work(context);
        done.set_value();
    });
    done.get_future().wait();
}

/// Waits until \p server listens on \p loop.
template <typename Server>
auto portOf(rpc::LoopThread &loop, const Server &server) -> Endpoint
{
    auto port = std::uint16_t(0);
    waitUntil([&] {
        runOn(loop, [&](rpc::LoopContext &) {
            port = server->port();
        });
        return port != 0;
    });
    return {"127.0.0.1", port};
}

} // namespace sapphirespool::control
