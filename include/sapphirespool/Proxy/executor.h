// executor.h: runs callers' statements against the database groups.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/refusal.h"
#include "sapphirespool/Support/types.h"
#include "sapphirespool/Upstreams/statement.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace sapphirespool::membership
{
class ViewHolder;
}

namespace sapphirespool::upstreams
{
class Connector;
}

namespace sapphirespool::proxy
{

/// What a caller asks of a service.
struct StatementRequest
{
    ServiceId service;
    upstreams::Statement statement;
    /// Token that the caller brought; empty for a new session.
    std::string sessionToken;
    std::optional<IdempotencyKey> key;
    /// Age that the caller accepts; absent: the service's own.
    std::optional<std::chrono::milliseconds> maxAge;
    /// Time that the caller allows; absent: the service's own.
    std::optional<std::chrono::milliseconds> timeout;
};

/// A whole answer to the caller's own request.
struct Answer
{
    upstreams::StatementResult result;
    /// Token that the caller brings next time.
    std::string sessionToken;
    UpstreamId servedBy;
    platform::Role servedRole = platform::Role::Primary;
};

/// How a request ends.
using Outcome = std::variant<Answer, NotRun, OutcomeUnknown, StatementError>;

/// Runs statements. The callers' package sees only this.
class Executor
{
public:
    Executor() = default;
    Executor(const Executor &) = delete;
    auto operator=(const Executor &) -> Executor & = delete;
    virtual ~Executor() = default;

    virtual auto execute(StatementRequest request) -> boost::asio::awaitable<Outcome> = 0;
};

/// \return the executor of the traffic path
[[nodiscard]] auto makeExecutor(std::shared_ptr<membership::ViewHolder> views, std::shared_ptr<upstreams::Connector> connector) -> std::shared_ptr<Executor>;

} // namespace sapphirespool::proxy
