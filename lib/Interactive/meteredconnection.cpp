#include "meteredconnection.h"

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

MeteredConnection::MeteredConnection(std::shared_ptr<UpstreamConnection> inner, std::weak_ptr<SlotObserver> observer, UpstreamId upstream, CustomerId customer)
    : customer(std::move(customer))
    , inner(std::move(inner))
    , observer(std::move(observer))
    , upstream(std::move(upstream))
{
}

auto MeteredConnection::exchange(std::span<const Command> commands, Duration limit) -> boost::asio::awaitable<ExchangeResult>
{
    const auto needsSlot = std::any_of(commands.begin(), commands.end(), takesSlot);
    const auto owner = this->observer.lock();
    if (needsSlot && owner != nullptr && std::exchange(this->withoutSlot, false)) {
        owner->slotTaken(this->upstream);
    }
    const auto sentAt = support::now();
    const auto timer = std::make_shared<boost::asio::steady_timer>(co_await boost::asio::this_coro::executor);
    if (needsSlot && owner != nullptr) {
        timer->expires_after(owner->overdueLimit(this->upstream));
        this->watchOverdue(timer);
    }
    auto result = co_await this->inner->exchange(commands, limit);
    timer->expires_at(endedExchange);
    if (needsSlot && owner != nullptr && !result.results.empty()) {
        owner->commandAnswered(this->upstream, support::now() - sentAt);
        if (result.results.back().status == TransactionStatus::Open && !std::exchange(this->withoutSlot, true)) {
            owner->slotReleased(this->upstream);
        }
    }
    co_return result;
}

auto MeteredConnection::watchOverdue(const std::shared_ptr<boost::asio::steady_timer> &timer) -> void
{
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        // If the timer expires just before the exchange ends, its handler can no longer be cancelled; the connection may be destroyed by then.
        if (error || timer->expiry() == endedExchange) {
            return;
        }
        const auto owner = this->observer.lock();
        if (owner == nullptr) {
            return;
        }
        if (!std::exchange(this->withoutSlot, true)) {
            owner->slotReleased(this->upstream);
        }
        owner->commandOverdue(this->upstream);
    });
}

auto MeteredConnection::close() -> void
{
    this->inner->close();
}

auto MeteredConnection::isUsable() const -> bool
{
    return this->inner->isUsable();
}

} // namespace sapphirespool::interactive
