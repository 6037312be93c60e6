// replicationlog.h: what the members of a stand-in group replicate, and the messages that carry it.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <boost/json/array.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::standin
{

/// A statement as it ran on the primary.
struct LoggedStatement
{
    std::string sql;
    boost::json::array params;
    /// Rows that it changed there.
    std::uint64_t changes = 0;
};
BOOST_DESCRIBE_STRUCT(LoggedStatement, (), (sql, params, changes))

/// One committed write or transaction. The position of an entry is its place in the log, from 1.
struct LogEntry
{
    std::uint64_t term = 0;
    std::vector<LoggedStatement> statements;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (term, statements))

/// What a replica asks of the primary it follows.
struct LogRequest
{
    std::uint64_t term = 0;
    /// Last position that the replica holds.
    std::uint64_t after = 0;
    /// Term of the entry at that position; 0 for an empty log.
    std::uint64_t lastTerm = 0;
};

/// How a primary answers a LogRequest.
enum class LogStatus {
    Entries,
    /// The asked member is not the primary of that term.
    WrongTerm,
    /// The replica's log ends in an entry that the primary does not have; it must drop what lies above `position`.
    Conflict,
};
BOOST_DESCRIBE_ENUM(LogStatus, Entries, WrongTerm, Conflict)

/// Answer to a LogRequest.
struct LogReply
{
    LogStatus status = LogStatus::Entries;
    std::uint64_t term = 0;
    /// Entries that follow the replica's last one.
    std::vector<LogEntry> entries;
    /// Where the primary's log ended when it answered; for a conflict, the last position that may agree.
    std::uint64_t position = 0;
    /// How long the primary held the request back for want of entries.
    std::uint64_t heldMs = 0;
};
BOOST_DESCRIBE_STRUCT(LogReply, (), (status, term, entries, position, heldMs))

[[nodiscard]] auto toText(const LogEntry &entry) -> std::string;
[[nodiscard]] auto toText(const LogReply &reply) -> std::string;

/// \return the entry in \p text, or nothing if it is none
[[nodiscard]] auto parseLogEntry(std::string_view text) -> std::optional<LogEntry>;

/// \return the reply in \p text, or nothing if it is none
[[nodiscard]] auto parseLogReply(std::string_view text) -> std::optional<LogReply>;

} // namespace sapphirespool::standin
