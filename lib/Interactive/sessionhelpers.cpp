#include "sessionhelpers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

/// Timeout of a rollback on a connection to be reused; a connection that does not answer is closed, which also rolls back.
constexpr auto rollbackTimeout = std::chrono::milliseconds(1'000);

} // namespace

auto makeCommand(CommandKind kind, std::string id) -> Command
{
    auto command = Command();
    command.kind = kind;
    command.id = std::move(id);
    return command;
}

auto toReply(const CommandResult &result, TransactionStatus status) -> Reply
{
    return {result.rows, result.signature, result.failure, status, result.position};
}

auto makeReply(TransactionStatus status) -> Reply
{
    auto reply = Reply();
    reply.status = status;
    return reply;
}

auto makeFailure(Failure failure, std::string detail, std::optional<std::chrono::milliseconds> retryAfter) -> FailureReply
{
    return {failure, std::move(detail), retryAfter};
}

auto connectionBrokenFailure() -> FailureReply
{
    return makeFailure(Failure::Unreachable, "the connection to the upstream broke");
}

auto mayRetryElsewhere(Failure failure) -> bool
{
    return guaranteesNoEffect(failure) && failure != Failure::Aborted;
}

auto objectiveOf(const membership::ServiceView &service) -> Duration
{
    return service.objective.count() > 0 ? std::min(service.objective, service.timeout) : service.timeout;
}

auto rollBackAndRelease(std::shared_ptr<ConnectionLease> lease) -> asio::awaitable<void>
{
    const auto commands = std::vector<Command>{makeCommand(CommandKind::Rollback)};
    const auto exchange = co_await lease->connection().exchange(commands, rollbackTimeout);
    const auto clean
        = !exchange.broken && exchange.results.size() == 1 && !exchange.results.front().failure && exchange.results.front().status == TransactionStatus::None;
    if (clean) {
        lease->release();
    }
}

} // namespace sapphirespool::interactive
