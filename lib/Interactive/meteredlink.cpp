#include "meteredlink.h"

#include "sapphirespool/Support/clock.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

/// Expiry of the timer of an exchange that has ended.
constexpr auto endedExchange = boost::asio::steady_timer::time_point::max();

auto takesSlot(const Command &command) -> bool
{
    switch (command.kind) {
    case CommandKind::Commit:
    case CommandKind::Execute:
    case CommandKind::Run:
        return true;
    case CommandKind::SetValue:
    case CommandKind::Prepare:
    case CommandKind::Discard:
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
    case CommandKind::Rollback:
        return false;
    }
    return false;
}

} // namespace

MeteredLink::MeteredLink(std::shared_ptr<UpstreamLink> inner, std::weak_ptr<WorkMeter> meter, UpstreamId upstream)
    : inner(std::move(inner))
    , meter(std::move(meter))
    , upstream(std::move(upstream))
{
}

auto MeteredLink::exchange(std::span<const Command> commands, Duration limit) -> boost::asio::awaitable<ExchangeResult>
{
    const auto works = std::any_of(commands.begin(), commands.end(), takesSlot);
    const auto owner = this->meter.lock();
    if (works && owner != nullptr && std::exchange(this->resting, false)) {
        owner->resumed(this->upstream);
    }
    const auto began = support::now();
    const auto timer = std::make_shared<boost::asio::steady_timer>(co_await boost::asio::this_coro::executor);
    if (works && owner != nullptr) {
        timer->expires_after(owner->overdueAfter(this->upstream));
        this->watchOverdue(timer);
    }
    auto result = co_await this->inner->exchange(commands, limit);
    timer->expires_at(endedExchange);
    if (works && owner != nullptr && !result.results.empty()) {
        owner->worked(this->upstream, support::now() - began);
        if (result.results.back().status == TransactionStatus::Open && !std::exchange(this->resting, true)) {
            owner->rested(this->upstream);
        }
    }
    co_return result;
}

auto MeteredLink::watchOverdue(const std::shared_ptr<boost::asio::steady_timer> &timer) -> void
{
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        // If the timer expires just before the exchange ends, its handler can no longer be cancelled; the connection may be destroyed by then.
        if (error || timer->expiry() == endedExchange) {
            return;
        }
        const auto owner = this->meter.lock();
        if (owner == nullptr) {
            return;
        }
        if (!std::exchange(this->resting, true)) {
            owner->rested(this->upstream);
        }
        owner->overdue(this->upstream);
    });
}

auto MeteredLink::close() -> void
{
    this->inner->close();
}

auto MeteredLink::isUsable() const -> bool
{
    return this->inner->isUsable();
}

} // namespace sapphirespool::interactive
