// reply.h: replies to the statements of a caller's session.
#pragma once

#include "sapphirespool/Interactive/position.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::interactive
{

/// Transaction state of a session after a reply.
enum class TransactionStatus : std::uint8_t {
    None,
    Open,
    /// The transaction failed and was rolled back; the caller has yet to end it.
    Failed,
};

/// Why a statement failed.
enum class Failure : std::uint8_t {
    /// Nothing was run: no slot, connection or upstream became available in time.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// Nothing was run: the replica has not applied the log position that the read requires.
    Lagging,
    /// Nothing was run: the upstream is not the primary. Also the failure of a write in a read-only transaction.
    ReadOnly,
    /// Nothing was run: the address now belongs to another upstream.
    WrongUpstream,
    /// Nothing was run: the upstream has reached its connection limit.
    ConnectionLimit,
    /// Nothing was run: the connection to the upstream could not be opened, or it broke before anything was sent.
    Unreachable,
    /// A write or a commit was sent and its answer was lost: it may have taken effect.
    InDoubt,
    /// A read was sent, and no answer arrived before its deadline.
    TimedOut,
    /// The upstream ran the statement and reported an error.
    Failed,
    /// The statement is not valid in the session's state, or cannot be parsed.
    Malformed,
    UnknownDatabase,
    /// No statement was prepared under the given name.
    UnknownName,
    /// Nothing was run: no customer holds the caller's API key.
    Denied,
    /// Nothing was run: the customer has reached its quota.
    OverQuota,
};

/// \return the label of \p failure in logs and metrics
[[nodiscard]] auto name(Failure failure) -> std::string_view;

/// \return whether \p failure guarantees that neither the statement nor its transaction has taken effect
[[nodiscard]] auto guaranteesNoEffect(Failure failure) -> bool;

/// Failure of a statement, as the caller receives it.
struct FailureReply
{
    Failure failure = Failure::Busy;
    /// Error message in lower case, without a full stop.
    std::string detail;
    /// Delay before a retry may succeed, if it is known.
    std::optional<std::chrono::milliseconds> retryAfter = {};
    /// For Failure::Lagging: the position up to which the upstream has applied the log.
    std::optional<DataPosition> upstreamPosition = {};
};

/// Answer to one statement.
struct Reply
{
    std::vector<std::string> rows;
    /// The upstream's signature of its answer; empty if no upstream answered.
    std::string signature;
    std::optional<FailureReply> failure;
    TransactionStatus status = TransactionStatus::None;
    /// End of the upstream's log at the time of its answer.
    std::optional<DataPosition> position;
};

} // namespace sapphirespool::interactive
