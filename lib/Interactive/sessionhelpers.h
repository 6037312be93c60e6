// sessionhelpers.h: constants and factory functions shared by the session sources.
//
// g++ 12 destroys a braced temporary in a co_await or co_return expression twice. Such values are therefore returned by functions or
// stored in a named variable first.
#pragma once

#include "sapphirespool/Interactive/connectionpool.h"
#include "sapphirespool/Interactive/reply.h"
#include "sapphirespool/Interactive/upstreamconnection.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace sapphirespool::interactive
{

using SteadyClock = std::chrono::steady_clock;

/// Attempts at a statement before its failure is returned: each member of a typical group once, and the primary once more.
constexpr auto maxAttempts = 4;

/// Retry delay for callers when a promotion did not complete in time.
constexpr auto promotionRetryAfter = std::chrono::milliseconds(300);

[[nodiscard]] auto makeCommand(CommandKind kind, std::string id = {}) -> Command;

/// \return the caller's reply for \p result
[[nodiscard]] auto toReply(const CommandResult &result, TransactionStatus status) -> Reply;

[[nodiscard]] auto makeReply(TransactionStatus status) -> Reply;

[[nodiscard]] auto makeFailure(Failure failure, std::string detail, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) -> FailureReply;

/// \return the failure of a statement whose connection broke, and that was not sent or is a read
[[nodiscard]] auto connectionBrokenFailure() -> FailureReply;

/// \return whether \p failure says that the upstream did not run the statement, so that it may be retried at another one
[[nodiscard]] auto mayRetryElsewhere(Failure failure) -> bool;

/// \return time within which a caller of \p service wants its operation served
[[nodiscard]] auto objectiveOf(const membership::ServiceView &service) -> Duration;

/// Rolls back the transaction on \p lease and returns the connection to the pool, so that it need not be reopened.
auto rollBackAndRelease(std::shared_ptr<ConnectionLease> lease) -> boost::asio::awaitable<void>;

} // namespace sapphirespool::interactive
