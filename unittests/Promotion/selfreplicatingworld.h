// selfreplicatingworld.h: simulation of a group of members that replicate by themselves, with virtual time and random faults.
//
// Members join, leave, crash, restart and stop receiving; control leaders change; proposals are ignored by the replicated state. The
// platform promotes a member on order, with what its log holds then. World (world.h) simulates groups whose members store their term.
#pragma once

#include "sapphirespool/Promotion/promoter.h"
#include "sapphirespool/State/clusterstate.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace sapphirespool::promotion
{

/// A member of a self-replicating group.
struct FakeReplica
{
    UpstreamId id;
    Incarnation incarnation{1};
    bool running = true;
    /// Receives no writes of the primary.
    bool deaf = false;
    /// Was told to receive no writes, until it is promoted or told to follow.
    bool paused = false;
    /// Has announced itself since its start; it is sent no writes before.
    bool known = false;
    /// Neither control nor the proxies of two zones reach it; it serves those of the third.
    bool cut = false;
    bool leaving = false;
    bool gone = false;
    /// Takes writes; the platform's promotion and the order to step down change it.
    bool leads = false;
    /// The writes of its log, in order.
    std::vector<std::uint64_t> log;
    /// When it last stopped running.
    TimePoint stopped{};
};

class SelfReplicatingWorld
{
public:
    /// \param confirmations replicas that must confirm a write
    SelfReplicatingWorld(std::uint32_t seed, std::uint32_t confirmations);

    auto run(Duration length) -> void;

    /// Runs until a write that was sent after this call is acknowledged.
    /// \return false if that takes longer than \p limit
    auto runUntilServed(Duration limit) -> bool;

    /// Adds a member with the log of the primary.
    auto join() -> void;
    auto crash(FakeReplica &member) -> void;
    auto restart(FakeReplica &member) -> void;
    /// Removes a member for good.
    auto leave(FakeReplica &member) -> void;
    /// Loses the state of the control leader.
    auto changeLeader() -> void;
    auto setConfirmations(std::uint32_t count) -> void;
    /// Sets whether some orders get no answer and are carried out seconds later.
    auto setLateOrders(bool late) -> void;
    /// Restarts what crashed, lets all members receive and none leave, and has orders answered.
    auto heal() -> void;

    /// \return the members that have not left
    auto members() -> std::vector<FakeReplica *>;
    auto find(const UpstreamId &id) -> FakeReplica &;
    [[nodiscard]] auto record() const -> const state::GroupRecord &;
    [[nodiscard]] auto acknowledgedCount() const -> std::size_t;
    [[nodiscard]] auto time() const -> TimePoint;
    /// \return the promotions that the platform carried out
    [[nodiscard]] auto promotions() const -> std::size_t;

private:
    struct Job
    {
        TimePoint due;
        std::uint64_t number;
        std::function<void()> work;

        auto operator<(const Job &other) const -> bool
        {
            return std::tie(other.due, other.number) < std::tie(this->due, this->number);
        }
    };

    auto after(Duration delay, std::function<void()> work) -> void;
    auto every(Duration interval, std::function<void()> work) -> void;
    auto draw(Duration longest) -> Duration;

    auto replicate() -> void;
    auto sendHealthReports() -> void;
    auto suspectPrimary() -> void;
    auto ejectSilent() -> void;
    auto deliver(const Event &event) -> void;
    auto carryOut(const Actions &actions) -> void;
    auto propose(const state::Command &command) -> void;
    /// What an order that has reached its member does there, at once or late.
    using Effect = std::function<void(FakeReplica &)>;
    /// \param prepare reads the member when the order reaches it, and returns the role that it then reports and the effect of the order
    template <typename Send, typename Prepare>
    auto send(Order order, const Send &message, Duration delay, Prepare prepare) -> void;
    auto answer(const OrderAnswered &answered, Duration delay, std::uint64_t leadership) -> void;
    /// \return whether the choice of the present primary counted on \p member, so that it must know what that member confirms
    [[nodiscard]] auto wasCountedOn(const FakeReplica &member) const -> bool;
    auto isSuspected(const UpstreamId &primary) -> bool;
    auto reportOf(const FakeReplica &member, std::uint64_t term, platform::Role role, Incarnation incarnation) const -> platform::PositionReport;
    auto tellPosition(const UpstreamId &id) -> void;
    auto promote(FakeReplica &member) -> void;
    auto leader() -> FakeReplica *;

    std::mt19937 random;
    TimePoint now{std::chrono::hours(1)};
    std::uint64_t jobs = 0;
    std::priority_queue<Job> queue;
    std::map<UpstreamId, FakeReplica> replicas;
    std::size_t joined = 0;
    std::uint32_t confirmations;
    std::uint64_t nextWrite = 1;
    std::uint64_t highestAcknowledged = 0;
    /// Writes of the present and former primaries that are not acknowledged.
    std::set<std::uint64_t> pending;
    std::set<std::uint64_t> acknowledged;
    /// The writes that the chosen member must have when it is promoted: those acknowledged when it was chosen, and later ones that were
    /// confirmed by members on which the choice counted. Control cannot know of what members confirm that it does not know.
    std::set<std::uint64_t> neededAtPromotion;
    /// The processes of the members when the present primary was chosen.
    std::map<UpstreamId, Incarnation> countedOn;
    bool lateOrders = false;
    /// Highest fencing token, of a leadership and a term, that the platform has seen.
    std::pair<std::uint64_t, std::uint64_t> highestToken;
    /// Whether the last proposal of a primary came with a report of members that have left with their writes.
    bool lossReported = false;
    /// Term of each write, so that logs are compared as databases do.
    std::map<std::uint64_t, std::uint64_t> termOf;
    std::uint64_t databaseTerm = 1;
    std::size_t promoted = 0;
    state::ClusterState state;
    std::unique_ptr<Promoter> promoter;
    std::uint64_t leadership = 0;
    std::uint64_t version = 0;
};

} // namespace sapphirespool::promotion
