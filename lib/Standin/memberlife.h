// memberlife.h: one run of a stand-in member, from its start to its stop.
#pragma once

#include "slotqueue.h"

#include "sapphirespool/Standin/database.h"
#include "sapphirespool/Standin/faults.h"
#include "sapphirespool/Standin/member.h"
#include "sapphirespool/Standin/membercore.h"
#include "sapphirespool/Support/signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespool::standin
{

/// An open transaction of one connection.
struct Transaction
{
    Term term;
    std::vector<LoggedStatement> statements;
};

/// What a run shares between its connections, its replication and its announcements. All on one executor.
class MemberLife : public std::enable_shared_from_this<MemberLife>
{
public:
    MemberLife(boost::asio::any_io_executor executor, const MemberSettings &settings, Incarnation incarnation, std::shared_ptr<MemberStore> store);

    MemberLife(const MemberLife &) = delete;
    auto operator=(const MemberLife &) -> MemberLife & = delete;

    /// Ends the run; whoever waits returns.
    auto end() -> void;
    [[nodiscard]] auto ended() const -> bool;

    auto setFaults(const Faults &faults) -> void;
    [[nodiscard]] auto faults() const -> const Faults &;

    /// Waits while the member is frozen.
    auto untilThawed() -> boost::asio::awaitable<void>;
    /// Waits while the platform and other members cannot reach it.
    auto untilReachable() -> boost::asio::awaitable<void>;
    /// \return whether other members and proxies hear of it
    [[nodiscard]] auto reachable() const -> bool;

    /// Counts a connection that carries statements.
    /// \return false if the limit is reached
    auto claimConnection() -> bool;
    auto releaseConnection() -> void;

    /// Takes a slot for the service time and runs \p request.
    auto execute(platform::ExecuteRequest request, std::optional<Transaction> &transaction) -> boost::asio::awaitable<platform::ExecuteReply>;

    /// \return the fault that the next answer has
    auto takeAnswerFault() -> AnswerFault;

    auto fence(const platform::FenceRequest &request) -> platform::PositionReport;
    auto promote(const platform::PromoteRequest &request) -> std::optional<platform::PositionReport>;
    auto follow(const platform::FollowRequest &request) -> std::optional<platform::PositionReport>;
    auto accept(const LogRequest &request, const LogReply &reply, TimePoint sentAt) -> void;

    /// Returns once the report differs from \p term or lies above \p position, or at \p deadline.
    auto watchPosition(Term term, LogPosition position, TimePoint deadline) -> boost::asio::awaitable<platform::PositionReport>;

    /// Answers a replica once there is something to say, or at \p deadline.
    auto watchLog(LogRequest request, TimePoint deadline) -> boost::asio::awaitable<LogReply>;

    [[nodiscard]] auto report() -> platform::PositionReport;
    [[nodiscard]] auto announcement(const Endpoint &endpoint) -> platform::Announcement;

    auto pause(Duration duration) -> boost::asio::awaitable<void>;

    MemberSettings settings;
    MemberCore core;
    MemberCounts counts;
    bool leaving = false;
    /// Position, term or part changed, or the run ended.
    support::Signal logChanged;
    /// What an announcement says, other than the position, changed.
    support::Signal announcementChanged;

private:
    auto enterSlot() -> boost::asio::awaitable<void>;
    auto run(const platform::ExecuteRequest &request, std::optional<Transaction> &transaction) -> platform::ExecuteReply;
    auto runAlone(const platform::ExecuteRequest &request, platform::ExecuteReply reply) -> platform::ExecuteReply;
    auto runInside(const platform::ExecuteRequest &request, std::optional<Transaction> &transaction, platform::ExecuteReply reply) -> platform::ExecuteReply;
    auto commit(std::optional<Transaction> &transaction, platform::ExecuteReply reply) -> platform::ExecuteReply;
    auto append(std::vector<LoggedStatement> statements) -> LogPosition;
    auto fillDatabase() -> void;
    auto partChanged() -> void;

    boost::asio::any_io_executor executor;
    std::unique_ptr<Database> database = makeDatabase();
    LogPosition databasePosition;
    std::uint64_t databaseCuts = 0;
    SlotQueue slots;
    std::uint32_t connections = 0;
    Faults currentFaults;
    std::uint32_t faultyAnswersLeft = 0;
    support::Signal faultsChanged;
    bool over = false;
};

} // namespace sapphirespool::standin
