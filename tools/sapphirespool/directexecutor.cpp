#include "directexecutor.h"

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Upstreams/connection.h"

#include <utility>

namespace sapphirespool::tool
{

namespace
{

namespace asio = boost::asio;

auto requestFor(const upstreams::Statement &statement, Term term) -> platform::ExecuteRequest
{
    auto request = platform::ExecuteRequest();
    request.term = term.value();
    request.write = statement.access == Access::Write;
    request.sql = statement.sql;
    request.params = statement.params;
    return request;
}

auto toResult(platform::ExecuteReply reply) -> upstreams::StatementResult
{
    auto result = upstreams::StatementResult();
    result.columns = std::move(reply.columns);
    result.rows = std::move(reply.rows);
    result.changes = reply.changes;
    result.term = Term(reply.term);
    result.position = LogPosition(reply.position);
    return result;
}

class DirectExecutor : public proxy::Executor
{
public:
    DirectExecutor(std::shared_ptr<membership::ViewHolder> views, std::shared_ptr<upstreams::Connector> connector)
        : views(std::move(views))
        , connector(std::move(connector))
    {
    }

    auto execute(proxy::StatementRequest request) -> asio::awaitable<proxy::Reply> override
    {
        auto outcome = co_await this->executeOnce(std::move(request));
        co_return proxy::Reply{std::move(outcome), {}};
    }

    auto begin(proxy::BeginRequest) -> asio::awaitable<proxy::BeginReply> override
    {
        co_return proxy::BeginReply{NotRun{RefusalReason::UnknownPath, "the demo has no transactions"}, {}};
    }

    auto run(proxy::TransactionRequest) -> asio::awaitable<proxy::Reply> override
    {
        co_return proxy::Reply{NotRun{RefusalReason::UnknownTransaction, "the demo has no transactions"}, {}};
    }

private:
    auto executeOnce(proxy::StatementRequest request) -> asio::awaitable<proxy::Outcome>
    {
        const auto view = this->views->current();
        const auto *const service = view->findService(request.service);
        if (service == nullptr) {
            co_return NotRun{RefusalReason::UnknownService, "no service " + request.service.value()};
        }
        const auto *const group = view->findGroup(service->group);
        const auto *const primary = group == nullptr ? nullptr : group->primaryMember();
        if (primary == nullptr) {
            co_return NotRun{RefusalReason::NoPrimary, "group " + service->group.value() + " has no primary"};
        }
        const auto deadline = std::chrono::steady_clock::now() + request.timeout.value_or(service->timeout);
        co_return co_await this->send(request.statement, *primary, group->term, deadline);
    }

    auto send(const upstreams::Statement &statement, const membership::UpstreamView &upstream, Term term, TimePoint deadline) -> asio::awaitable<proxy::Outcome>
    {
        const auto servedBy = upstream.id;
        const auto connection = co_await this->connector->connect(upstream.endpoint, deadline);
        if (connection == nullptr) {
            co_return NotRun{RefusalReason::ConnectFailed, "no connection to " + servedBy.value()};
        }
        auto outcome = co_await connection->execute(requestFor(statement, term), deadline);
        connection->close();
        if (const auto *const failure = std::get_if<upstreams::ExchangeFailure>(&outcome)) {
            co_return this->unanswered(*failure);
        }
        auto &reply = std::get<platform::ExecuteReply>(outcome);
        if (reply.status != platform::ExecuteStatus::Done) {
            co_return StatementError{RefusalReason::StatementFailed, reply.detail, Executed::No};
        }
        co_return proxy::Answer{toResult(std::move(reply)), servedBy, platform::Role::Primary};
    }

    auto unanswered(const upstreams::ExchangeFailure &failure) -> proxy::Outcome
    {
        if (failure.sent) {
            return OutcomeUnknown{RefusalReason::AnswerLost, failure.detail};
        }
        return NotRun{RefusalReason::ConnectFailed, failure.detail};
    }

    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<upstreams::Connector> connector;
};

} // namespace

auto makeDirectExecutor(std::shared_ptr<membership::ViewHolder> views, std::shared_ptr<upstreams::Connector> connector) -> std::shared_ptr<proxy::Executor>
{
    return std::make_shared<DirectExecutor>(std::move(views), std::move(connector));
}

} // namespace sapphirespool::tool
