// reply.h: what a caller's session gets back.
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

/// Where a session stands after a reply.
enum class TransactionStatus : std::uint8_t {
    None,
    Open,
    /// The transaction failed and was rolled back; the caller has yet to end it.
    Failed,
};

/// Why a statement failed.
enum class Failure : std::uint8_t {
    /// Nothing was run: no slot, connection or upstream was free in time.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// Nothing was run: the upstream's data is too old.
    Lagging,
    /// Nothing was run: the upstream is no primary.
    ReadOnly,
    /// Nothing was run: another upstream has the address.
    WrongUpstream,
    /// Nothing was run: the upstream takes no further connection.
    ConnectionLimit,
    /// Nothing was run: no connection to the upstream came about, or it broke before anything was sent.
    Unreachable,
    /// A write or a commit was sent, and its answer did not come: it may have taken effect.
    InDoubt,
    /// A read was sent, and no answer came in time.
    TimedOut,
    /// The upstream ran the statement and reports a failure.
    Failed,
    /// The statement does not fit the state of the session, or cannot be read.
    Malformed,
    UnknownDatabase,
    /// The prepared name is unknown.
    UnknownName,
};

/// \return a word for logs and counters
[[nodiscard]] auto name(Failure failure) -> std::string_view;

/// \return whether nothing of the statement, nor of its transaction, can have been kept
[[nodiscard]] auto promisesNothingKept(Failure failure) -> bool;

/// How a statement failed, for the caller.
struct FailureReply
{
    Failure failure = Failure::Busy;
    /// What happened, lower case, without a full stop.
    std::string detail;
    /// When another attempt has a chance, if that is known.
    std::optional<std::chrono::milliseconds> retryAfter = {};
    /// Where the upstream's data is too old: how far it has come.
    std::optional<DataPosition> held = {};
};

/// Answer to one statement.
struct Reply
{
    std::vector<std::string> rows;
    /// The upstream's signature of its answer; empty where no upstream answered.
    std::string signature;
    std::optional<FailureReply> failure;
    TransactionStatus status = TransactionStatus::None;
    /// End of the upstream's log when it answered.
    std::optional<DataPosition> position;
};

} // namespace sapphirespool::interactive
