#include "sapphirespool/Interactive/session.h"

#include "callersession.h"
#include "sessioncore.h"

#include <string>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

class DefaultSessionService : public SessionService
{
public:
    explicit DefaultSessionService(SessionServiceDependencies parts)
        : core(std::make_shared<SessionCore>(std::move(parts)))
    {
    }

    [[nodiscard]] auto open(std::string_view database, std::string_view key) -> OpenResult override
    {
        auto digest = membership::digestOf(key);
        auto granted = this->core->authorize(database, digest);
        if (auto *const why = std::get_if<FailureReply>(&granted)) {
            this->core->recordOpenRefused(database, digest, *why);
            return std::move(*why);
        }
        return std::make_shared<CallerSession>(this->core, std::string(database), std::move(digest));
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

    auto endForwardingAt(TimePoint end) -> void override
    {
        this->core->forwardingEnd = end;
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
