// runvalues.h: values that the parts of a session's work share.
//
// g++ 12 destroys a braced temporary twice when it stands in a co_await or co_return expression, so that such values are made by functions
// or named first.
#pragma once

#include "sapphirespool/Interactive/linkpool.h"
#include "sapphirespool/Interactive/reply.h"
#include "sapphirespool/Interactive/upstreamlink.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace sapphirespool::interactive
{

using SteadyClock = std::chrono::steady_clock;

/// Members that a statement is tried at before the caller is told: each member of a usual group once, and the primary again.
constexpr auto attempts = 4;

/// When callers come back after a promotion was not over in time.
constexpr auto promotionRetry = std::chrono::milliseconds(300);

[[nodiscard]] auto commandOfKind(CommandKind kind, std::string id = {}) -> Command;

/// \return what a caller is told of \p result
[[nodiscard]] auto replyOf(const CommandResult &result, TransactionStatus status) -> Reply;

[[nodiscard]] auto makeReply(TransactionStatus status) -> Reply;

[[nodiscard]] auto makeFailure(Failure failure, std::string detail, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) -> FailureReply;

/// \return the failure of a statement that was not sent, or that changes nothing
[[nodiscard]] auto brokenReply() -> FailureReply;

/// \return whether the upstream says that it did not run the statement, so that another one may
[[nodiscard]] auto mayGoElsewhere(Failure failure) -> bool;

/// Rolls back on a link whose caller has gone, so that the connection need not be opened anew.
auto rollBack(std::shared_ptr<LinkLease> lease) -> boost::asio::awaitable<void>;

} // namespace sapphirespool::interactive
