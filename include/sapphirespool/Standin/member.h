// member.h: a stand-in for one member of a database group, reached by HTTP as docs/PLATFORM.md describes.
//
// Emulated: terms, fencing, promotion, asynchronous replication with a lag, a limit of connections and of statements at a
// time, the cost of a connection, transactions and the failures of Faults. A transaction keeps its statements by itself, sees
// what others committed, and runs as a whole at its commit; it fails there if its statements no longer change what they
// changed before. Not emulated: row locks, repeatable reads, deadlocks, bulk data, and replication that is not statement by
// statement.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Standin/faults.h"
#include "sapphirespool/Standin/memberstore.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <span>
#include <vector>

namespace sapphirespool::standin
{

/// What a member is and how fast it is; the defaults are those of the order services of the brief.
struct MemberSettings
{
    GroupId group;
    UpstreamId id;
    ZoneId zone;
    Endpoint listen{"127.0.0.1", 0};
    /// Proxies that it announces itself to.
    std::vector<Endpoint> proxies;
    std::uint32_t slots = 5;
    std::uint32_t connectionLimit = 35;
    /// Time from the opening of a connection to its first answer.
    std::chrono::milliseconds connectCost{12};
    /// Time that each statement holds its slot.
    std::chrono::microseconds serviceTime{0};
    /// Time by which a replica's reads stay behind.
    std::chrono::milliseconds lag{0};
    /// Time by which a replica asks for the log later than it could.
    std::chrono::milliseconds replicationDelay{0};
    /// Folder that keeps its log over a restart of the process; empty: kept in the object.
    std::filesystem::path dataFolder;
    /// Source of incarnations.
    std::uint64_t seed = 1;
};

/// What a member has done, for tests and measurements.
struct MemberCounts
{
    std::uint64_t statements = 0;
    std::uint64_t positionPolls = 0;
    /// Most statements that ran at a time.
    std::uint64_t mostRunning = 0;
    /// Most connections that carried statements at a time.
    std::uint64_t mostConnections = 0;
};

/// One member. All calls on the executor, which must run its work one at a time: a strand or the loop of one thread.
class Member
{
public:
    Member() = default;
    Member(const Member &) = delete;
    auto operator=(const Member &) -> Member & = delete;
    virtual ~Member() = default;

    /// Listens, announces and replicates; after a stop with a new incarnation and the log that it had.
    /// \return where it listens; the same port after a restart
    virtual auto start() -> Endpoint = 0;

    /// Ends like a killed process; nothing that is in memory only survives.
    virtual auto stop() -> void = 0;

    virtual auto setFaults(const Faults &faults) -> void = 0;
    virtual auto setLeaving(bool leaving) -> void = 0;
    virtual auto setLag(std::chrono::milliseconds lag) -> void = 0;
    virtual auto setServiceTime(std::chrono::microseconds serviceTime) -> void = 0;
    virtual auto setProxies(std::vector<Endpoint> proxies) -> void = 0;

    /// The requests of the platform without a network, for tests.
    virtual auto promote(const platform::PromoteRequest &request) -> bool = 0;
    virtual auto follow(const platform::FollowRequest &request) -> bool = 0;

    [[nodiscard]] virtual auto settings() const -> const MemberSettings & = 0;
    [[nodiscard]] virtual auto endpoint() const -> Endpoint = 0;
    [[nodiscard]] virtual auto report() -> platform::PositionReport = 0;
    [[nodiscard]] virtual auto counts() const -> MemberCounts = 0;
};

/// \return a member that has not started
[[nodiscard]] auto makeMember(boost::asio::any_io_executor executor, MemberSettings settings) -> std::shared_ptr<Member>;

/// Makes the first of \p members, which have started, the primary of \p term and the others its replicas.
auto formGroup(std::span<const std::shared_ptr<Member>> members, Term term) -> void;

} // namespace sapphirespool::standin
