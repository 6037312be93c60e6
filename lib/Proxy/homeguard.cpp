#include "homeguard.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::proxy
{

HomeRecording::HomeRecording(std::shared_ptr<Gathering<bool>> calls, TimePoint deadline)
    : calls(std::move(calls))
    , deadline(deadline)
{
}

auto HomeRecording::finish() -> boost::asio::awaitable<bool>
{
    const auto gathering = this->calls;
    co_await gathering->waitForAll(this->deadline);
    const auto &answers = gathering->answers();
    co_return std::any_of(answers.begin(), answers.end(), [](const std::optional<bool> &taken) {
        return taken.value_or(false);
    });
}

HomeGuard::HomeGuard(std::shared_ptr<PeerCalls> peers, boost::asio::any_io_executor executor)
    : peers(std::move(peers))
    , executor(std::move(executor))
{
}

auto HomeGuard::record(const membership::ClusterView &view, const HomeUpdate &update) -> HomeRecording
{
    const auto homes = holdersOf(view, update.session.value(), sessions::homeCopies);
    auto gathering = std::make_shared<Gathering<bool>>(this->executor, homes.size());
    for (auto index = std::size_t{0}; index < homes.size(); ++index) {
        gathering->spawn(index, this->peers->updateHome(homes[index], update));
    }
    return {std::move(gathering), std::chrono::steady_clock::now() + this->peers->timeout()};
}

auto HomeGuard::find(std::shared_ptr<const membership::ClusterView> view, HomeQuery query) -> boost::asio::awaitable<std::optional<sessions::TermPosition>>
{
    using Gathered = Gathering<std::optional<sessions::TermPosition>>;
    const auto homes = holdersOf(*view, query.session.value(), sessions::homeCopies);
    const auto gathering = std::make_shared<Gathered>(this->executor, homes.size());
    for (auto index = std::size_t{0}; index < homes.size(); ++index) {
        gathering->spawn(index, this->peers->findHome(homes[index], query));
    }
    co_await gathering->waitForAll(std::chrono::steady_clock::now() + this->peers->timeout());
    auto latest = std::optional<sessions::TermPosition>();
    for (const auto &answer : gathering->answers()) {
        const auto known = answer.value_or(std::nullopt);
        if (!known) {
            co_return std::nullopt;
        }
        latest = std::max(latest, known);
    }
    co_return latest;
}

} // namespace sapphirespool::proxy
