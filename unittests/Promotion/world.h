// world.h: simulation of a database group, proxies that write to it and control leaders, with virtual time and random faults.
//
// Fakes implement the interfaces of promotion: members behave as docs/PLATFORM.md specifies, control commits commands to one list, and proxies
// acknowledge writes as the traffic path does. The invariants are checked at each promotion and acknowledgement.
#pragma once

#include "sapphirespool/Promotion/promoter.h"
#include "sapphirespool/State/clusterstate.h"

#include <cstddef>
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

/// An entry of a member's log.
struct Entry
{
    Term term;
    std::uint64_t write = 0;

    auto operator==(const Entry &) const -> bool = default;
};

/// A member as docs/PLATFORM.md specifies it.
struct FakeMember
{
    UpstreamId id;
    Incarnation incarnation{1};
    bool running = true;
    bool controlReaches = true;
    bool membersReach = true;
    /// Zones whose proxies do not reach it.
    std::set<ZoneId> cutZones;
    bool leaving = false;
    Term term;
    platform::Role role = platform::Role::Replica;
    UpstreamId primary;
    std::vector<Entry> log;

    [[nodiscard]] auto report() const -> platform::PositionReport;
    auto fence(Term newTerm) -> platform::PositionReport;
    auto promote(Term newTerm) -> std::optional<platform::PositionReport>;
    auto follow(const platform::FollowRequest &request) -> std::optional<platform::PositionReport>;
};

/// A control VM that is leader or still acts as leader.
struct FakeLeader
{
    state::ClusterState state;
    std::size_t applied = 0;
    std::unique_ptr<Promoter> promoter;
    /// Whether its proposals are committed.
    bool current = true;
    /// Whether it receives messages from proxies and exchanges messages with members.
    bool connected = true;
};

/// A write that a proxy sent to a primary and that a second member has not confirmed yet.
struct PendingWrite
{
    std::uint64_t write = 0;
    UpstreamId primary;
    Term term;
    std::size_t position = 0;
    TimePoint sent;
};

/// Times of the steps of a failover, in order.
struct Milestones
{
    std::optional<TimePoint> termProposed;
    std::optional<TimePoint> termCommitted;
    std::optional<TimePoint> choiceProposed;
    std::optional<TimePoint> choiceCommitted;
    std::optional<TimePoint> promoted;
    std::optional<TimePoint> acknowledged;
};

/// Upper bounds of uniformly distributed delays.
struct Delays
{
    Duration network = std::chrono::milliseconds(3);
    Duration commit = std::chrono::milliseconds(12);
    Duration heartbeat = std::chrono::milliseconds(100);
    /// Percentage of the orders and answers that are lost, and of the orders that are duplicated.
    std::uint32_t lost = 0;
    std::uint32_t duplicated = 0;
};

/// The simulation.
class World
{
public:
    World(std::uint32_t seed, Delays delays);

    /// Advances virtual time.
    auto run(Duration length) -> void;

    /// Runs until a write that was sent after this call is acknowledged.
    /// \return false if that takes longer than \p limit
    auto runUntilServed(Duration limit) -> bool;

    /// Makes another control VM leader.
    /// \param staysActive whether the former leader continues to send orders and proposals; its proposals are not committed
    auto changeLeader(bool staysActive) -> void;

    auto member(std::size_t place) -> FakeMember &;
    auto primary() -> FakeMember *;
    auto restart(FakeMember &member) -> void;
    auto heal() -> void;
    auto leader() -> FakeLeader &;
    auto record() -> const state::GroupRecord &;

    /// \return the reasons of all term ends proposed so far
    [[nodiscard]] auto termEnds() const -> const std::vector<TermEnd> &;
    [[nodiscard]] auto acknowledgedCount() const -> std::size_t;
    [[nodiscard]] auto time() const -> TimePoint;
    [[nodiscard]] auto milestones() -> Milestones &;

    /// Called with the number of each action of a leader after it is carried out, so that tests can inject a fault between two actions.
    std::function<void(std::size_t)> afterAction;

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
    auto draw(Duration longest) -> Duration;
    auto chance(std::uint32_t percent) -> bool;
    auto every(Duration interval, std::function<void()> work) -> void;

    auto sendHealthReports() -> void;
    auto replicateAll() -> void;
    auto replicate(FakeMember &replica) -> void;
    auto writeAll() -> void;
    auto confirmAll() -> void;
    auto suspectAll() -> void;
    auto deliverToLeaders(const Event &event) -> void;
    auto carryOut(const std::shared_ptr<FakeLeader> &leader, const Actions &actions) -> void;
    auto carryOut(const std::shared_ptr<FakeLeader> &leader, const Action &action) -> void;
    auto propose(const std::shared_ptr<FakeLeader> &leader, const state::Command &command) -> void;
    auto applyCommitted(FakeLeader &leader) -> void;
    template <typename Send, typename Execute>
    auto send(const std::shared_ptr<FakeLeader> &leader, Order order, const Send &message, Execute execute) -> void;
    auto checkPrimary(const FakeMember &member) -> void;
    auto checkAcknowledged(const PendingWrite &write) -> void;
    auto find(const UpstreamId &id) -> FakeMember &;
    auto startLeader() -> void;

    Delays delays;
    std::mt19937 random;
    TimePoint now{};
    std::uint64_t jobs = 0;
    std::priority_queue<Job> queue;
    std::vector<FakeMember> members;
    std::vector<state::Command> committed;
    std::vector<std::shared_ptr<FakeLeader>> leaders;
    std::vector<PendingWrite> pending;
    /// Acknowledged writes and their terms.
    std::map<std::uint64_t, Term> acknowledged;
    std::uint64_t nextWrite = 1;
    std::size_t actionCount = 0;
    /// The member that was primary in each term.
    std::map<Term, UpstreamId> primaries;
    std::vector<TermEnd> ends;
    Milestones marks;
};

} // namespace sapphirespool::promotion
