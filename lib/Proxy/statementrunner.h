// statementrunner.h: runs one statement outside of transactions.
#pragma once

#include "upstreamaccess.h"
#include "writeconfirmation.h"

#include "sapphirespool/Proxy/limits.h"
#include "sapphirespool/Proxy/recorder.h"
#include "sapphirespool/Sessions/coverage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace sapphirespool::proxy
{

/// A statement with all that was found out about its request.
struct StatementJob
{
    ServiceId service;
    GroupId group;
    upstreams::Statement statement;
    decisions::CallerId caller;
    TimePoint deadline;
    std::chrono::milliseconds maxAge{0};
    /// What the session has seen of the group.
    std::optional<sessions::TermPosition> seen;
    /// What the session has seen is not known; only the primary is certain to show it.
    bool primaryOnly = false;
};

/// Writes are sent once. Reads are sent again where nothing ran, or where running twice does no harm.
class StatementRunner
{
public:
    StatementRunner(std::shared_ptr<UpstreamAccess> access,
                    std::shared_ptr<Admission> admission,
                    std::shared_ptr<WriteConfirmation> confirmation,
                    std::shared_ptr<Recorder> recorder,
                    boost::asio::any_io_executor executor,
                    ProxyLimits limits);

    /// \param token takes in what the session sees by this statement
    auto run(StatementJob job, sessions::SessionToken &token) -> boost::asio::awaitable<Outcome>;

private:
    using Attempted = std::variant<Outcome, TryAgain>;

    auto attempt(StatementJob &job, std::uint32_t number, sessions::SessionToken &token) -> boost::asio::awaitable<Attempted>;
    auto finish(StatementJob &job, Grant grant, platform::ExecuteReply reply, sessions::SessionToken &token) -> boost::asio::awaitable<Attempted>;
    auto finishRead(StatementJob &job, const Grant &grant, platform::ExecuteReply reply, sessions::SessionToken &token) -> Attempted;
    auto finishWrite(StatementJob &job, Grant grant, platform::ExecuteReply reply, sessions::SessionToken &token) -> boost::asio::awaitable<Attempted>;
    auto lostAnswer(const StatementJob &job, const upstreams::ExchangeFailure &failure, sessions::SessionToken &token) -> Attempted;
    [[nodiscard]] auto isFresh(const StatementJob &job, const Grant &grant, const platform::ExecuteReply &reply) const -> bool;

    std::shared_ptr<UpstreamAccess> access;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<WriteConfirmation> confirmation;
    std::shared_ptr<Recorder> recorder;
    boost::asio::any_io_executor executor;
    ProxyLimits limits;
};

/// \return the result of \p reply
[[nodiscard]] auto toResult(platform::ExecuteReply reply) -> upstreams::StatementResult;

} // namespace sapphirespool::proxy
