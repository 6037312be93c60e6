// messages.h: the messages between sapphirespool and the members of a database group.
//
// docs/PLATFORM.md gives the HTTP request that carries each of them and what is assumed of the member that answers.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::platform
{

/// Part that a member plays in its group.
enum class Role {
    Primary,
    Replica,
    /// Fenced and waiting to be told whom to follow.
    Fenced,
};
BOOST_DESCRIBE_ENUM(Role, Primary, Replica, Fenced)

/// Sent by each member every announcement interval, to several proxies.
struct Announcement
{
    std::string group;
    std::string id;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;
    std::uint64_t incarnation = 0;
    /// Highest term that the member has seen.
    /// 0: the member does not tell; what it last answered holds.
    std::uint64_t term = 0;
    Role role = Role::Replica;
    /// Term of the last entry in its log.
    std::uint64_t lastTerm = 0;
    std::uint64_t position = 0;
    std::uint32_t slots = 1;
    std::uint32_t connectionLimit = 1;
    bool leaving = false;
    /// The member has ended for good. Not part of the message of a member, which just falls silent.
    bool gone = false;
    /// Rises with each announcement of a process, so that one that was held up on its way is known as old; 0: not numbered. Not part of
    /// the message of a member.
    std::uint64_t sequence = 0;
};
BOOST_DESCRIBE_STRUCT(Announcement, (), (group, id, address, port, zone, incarnation, term, role, lastTerm, position, slots, connectionLimit, leaving))

/// What a request does on its connection. A transaction belongs to the connection that began it and ends with it.
enum class Operation {
    Statement,
    Begin,
    Commit,
    Rollback,
};
BOOST_DESCRIBE_ENUM(Operation, Statement, Begin, Commit, Rollback)

/// One request on an upstream connection.
struct ExecuteRequest
{
    /// Number on this connection; the reply repeats it.
    std::uint64_t request = 0;
    Operation operation = Operation::Statement;
    /// Term in which the request may run; 0 for a read that any term may serve. A member of another term refuses it.
    std::uint64_t term = 0;
    bool write = false;
    std::string sql;
    boost::json::array params;
};
BOOST_DESCRIBE_STRUCT(ExecuteRequest, (), (request, operation, term, write, sql, params))

/// How a request ended at the member.
enum class ExecuteStatus {
    Done,
    /// The statement itself is wrong; nothing of it took effect.
    Failed,
    /// The member is in another term, or may not write; it did not run the request.
    WrongTerm,
    /// All connections or slots are taken; it did not run the request.
    Busy,
};
BOOST_DESCRIBE_ENUM(ExecuteStatus, Done, Failed, WrongTerm, Busy)

/// Reply to an ExecuteRequest.
struct ExecuteReply
{
    std::uint64_t request = 0;
    ExecuteStatus status = ExecuteStatus::Done;
    std::string detail;
    /// Term of the member when it ran the request.
    std::uint64_t term = 0;
    /// Log position that the result rests on: of the write itself, or applied before the read.
    std::uint64_t position = 0;
    /// Milliseconds by which a replica's data may be behind its primary; 0 at the primary.
    std::uint64_t ageMs = 0;
    std::vector<std::string> columns;
    boost::json::array rows;
    std::uint64_t changes = 0;
};
BOOST_DESCRIBE_STRUCT(ExecuteReply, (), (request, status, detail, term, position, ageMs, columns, rows, changes))

/// Where a member's log ends; answer to a watch and to a fence.
struct PositionReport
{
    std::string id;
    std::uint64_t incarnation = 0;
    /// Highest term that the member has seen.
    std::uint64_t term = 0;
    Role role = Role::Replica;
    /// Term of the last entry in its log.
    std::uint64_t lastTerm = 0;
    /// Last entry that is durable on this member.
    std::uint64_t position = 0;
    /// Last entry that its reads see.
    std::uint64_t applied = 0;
    std::uint64_t ageMs = 0;
};
BOOST_DESCRIBE_STRUCT(PositionReport, (), (id, incarnation, term, role, lastTerm, position, applied, ageMs))

/// Tells a member to refuse all work of terms below `term`, and to report where its log ends.
struct FenceRequest
{
    std::uint64_t term = 0;
};
BOOST_DESCRIBE_STRUCT(FenceRequest, (), (term))

/// Tells a fenced member to be the primary of `term`. The reply is a PositionReport; a repeated request gets the same one.
struct PromoteRequest
{
    std::uint64_t term = 0;
    /// Who orders the promotion, and a number that is higher than that of each earlier order and never given to another VM. Not part of
    /// the message to a member, which goes by the term; for a platform that promotes on the orders of several VMs.
    VmId orderedBy;
    std::uint64_t fencingToken = 0;
};
BOOST_DESCRIBE_STRUCT(PromoteRequest, (), (term))

/// Tells a member to follow the primary of `term`, dropping what its log holds above `keptUpTo` from earlier terms.
struct FollowRequest
{
    std::uint64_t term = 0;
    std::string primary;
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t keptUpTo = 0;
};
BOOST_DESCRIBE_STRUCT(FollowRequest, (), (term, primary, address, port, keptUpTo))

} // namespace sapphirespool::platform
