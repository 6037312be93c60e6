#include "sapphirespool/Interactive/session.h"

#include "callersession.h"
#include "sessioncore.h"

#include <string>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

/// Retry delay for a caller that connects before the first view: control sends a started proxy its view within a few hundred milliseconds.
constexpr auto noViewRetryAfter = std::chrono::milliseconds(500);

class DefaultSessionService : public SessionService
{
public:
    explicit DefaultSessionService(SessionServiceDependencies parts)
        : core(std::make_shared<SessionCore>(std::move(parts)))
    {
    }

    [[nodiscard]] auto open(std::string_view database) -> OpenResult override
    {
        if (this->core->findService(database) != nullptr) {
            return std::make_shared<CallerSession>(this->core, std::string(database));
        }
        // Without a current view the proxy cannot distinguish a newly added name from one that does not exist.
        if (!this->core->hasCurrentView()) {
            return FailureReply{Failure::Busy, "the proxy has no current view of the configuration", noViewRetryAfter};
        }
        return FailureReply{Failure::UnknownDatabase, "no service is called " + std::string(database), {}};
    }

    auto awaitFirstView() -> boost::asio::awaitable<void> override
    {
        return this->core->awaitFirstView();
    }

    auto viewChanged() -> void override
    {
        this->core->viewChanged();
    }

    auto refuseNewWork() -> void override
    {
        this->core->refusesNewWork = true;
    }

    auto abortTransactions() -> void override
    {
        this->core->abortsTransactions = true;
    }

    [[nodiscard]] auto counts() const -> SessionCounts override
    {
        return this->core->counts;
    }

private:
    std::shared_ptr<SessionCore> core;
};

} // namespace

auto makeSessionService(SessionServiceDependencies parts) -> std::shared_ptr<SessionService>
{
    return std::make_shared<DefaultSessionService>(std::move(parts));
}

} // namespace sapphirespool::interactive
