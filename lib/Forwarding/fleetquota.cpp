#include "fleetquota.h"

#include "sapphirespool/Membership/quotatiming.h"
#include "sapphirespool/Support/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace sapphirespool::forwarding
{

namespace
{

namespace asio = boost::asio;
using interactive::Failure;
using interactive::FailureReply;

/// Retry delay when no allocator of a quota answers: a restarted process allocates again within some hundred milliseconds.
constexpr auto noAllocatorRetryDelay = std::chrono::milliseconds(200);

auto pause(Duration time) -> asio::awaitable<void>
{
    if (time > Duration(0)) {
        auto timer = asio::steady_timer(co_await asio::this_coro::executor, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

FleetQuota::FleetQuota(VmId self, ZoneId zone, std::shared_ptr<const membership::ViewHolder> views, double slack, TimePoint startedAt)
    : self(self)
    , zone(std::move(zone))
    , views(std::move(views))
    , placement(std::move(self), slack)
    , startedAt(startedAt)
{
}

auto FleetQuota::connect(std::weak_ptr<PeerChannels> newChannels) -> void
{
    this->channels = std::move(newChannels);
}

auto FleetQuota::viewChanged(const membership::ClusterView &view, TimePoint now) -> void
{
    if (this->placement.viewChanged(view)) {
        const auto parts = this->placement.ownParts();
        // With its first view a settled proxy takes up the parts that an earlier process of the same VM allocated.
        this->allocator.setParts(parts, this->hasParts ? now : this->startedAt, now);
        this->hasParts = true;
        this->exhaustedUntil.clear();
    }
}

auto FleetQuota::take(CustomerId customer, Duration maxWait, Duration limit) -> asio::awaitable<std::optional<FailureReply>>
{
    const auto keepAlive = this->shared_from_this();
    auto order = this->orderAllocators(customer);
    if (order.empty()) {
        co_return std::nullopt;
    }
    const auto atOnce = co_await this->takeAtOnce(std::move(order), customer, limit);
    if (atOnce.granted) {
        co_return std::nullopt;
    }
    if (!atOnce.first) {
        co_return FailureReply{Failure::Busy, "no proxy that allocates the customer's quota answers", noAllocatorRetryDelay};
    }
    auto wait = atOnce.wait;
    if (wait <= maxWait) {
        const auto decision = co_await this->takeFrom(*atOnce.first, customer, maxWait, limit);
        if (const auto *const granted = std::get_if<decisions::QuotaGranted>(&decision)) {
            co_await pause(granted->delay);
            co_return std::nullopt;
        }
        if (const auto *const exhausted = std::get_if<decisions::QuotaExhausted>(&decision)) {
            wait = exhausted->retryAfter;
        }
    }
    co_return FailureReply{Failure::OverQuota, "customer " + customer.value() + " has reached its quota", std::chrono::ceil<std::chrono::milliseconds>(wait)};
}

auto FleetQuota::takeAtOnce(std::vector<VmId> order, CustomerId customer, Duration limit) -> asio::awaitable<AtOnce>
{
    auto result = AtOnce();
    for (const auto &vm : order) {
        auto wait = this->exhaustedFor(customer, vm);
        if (wait <= Duration(0)) {
            const auto decision = co_await this->takeFrom(vm, customer, Duration(0), limit);
            result.granted = std::holds_alternative<decisions::QuotaGranted>(decision);
            if (result.granted) {
                co_return result;
            }
            const auto *const exhausted = std::get_if<decisions::QuotaExhausted>(&decision);
            if (exhausted == nullptr) {
                continue;
            }
            wait = exhausted->retryAfter;
            this->exhaustedUntil[Part(customer, vm)] = support::now() + wait;
        }
        if (!result.first || wait < result.wait) {
            result.first = vm;
            result.wait = wait;
        }
    }
    co_return result;
}

auto FleetQuota::takeOwn(const CustomerId &customer, TimePoint now, Duration maxWait) -> decisions::QuotaDecision
{
    // A proxy that control has not confirmed for so long may have been replaced as an allocator.
    if (!this->views->leaseLive(now - membership::quotaHoldOver)) {
        return decisions::NotAllocator();
    }
    return this->allocator.take(customer, now, maxWait);
}

auto FleetQuota::orderAllocators(const CustomerId &customer) -> std::vector<VmId>
{
    const auto &allocators = this->placement.allocatorsOf(customer);
    auto near = std::vector<VmId>();
    auto far = std::vector<VmId>();
    for (const auto &allocator : allocators) {
        (allocator.zone == this->zone ? near : far).push_back(allocator.vm);
    }
    const auto turn = this->calls++;
    for (auto *const part : {&near, &far}) {
        if (!part->empty()) {
            std::rotate(part->begin(), part->begin() + static_cast<std::ptrdiff_t>(turn % part->size()), part->end());
        }
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

auto FleetQuota::takeFrom(VmId allocatorVm, CustomerId customer, Duration maxWait, Duration limit) -> asio::awaitable<decisions::QuotaDecision>
{
    if (allocatorVm == this->self) {
        co_return this->takeOwn(customer, support::now(), maxWait);
    }
    const auto peers = this->channels.lock();
    const auto channel = peers == nullptr ? nullptr : peers->channelTo(allocatorVm);
    if (channel == nullptr) {
        co_return decisions::NotAllocator();
    }
    co_return co_await channel->takeQuota(std::move(customer), maxWait, limit);
}

auto FleetQuota::exhaustedFor(const CustomerId &customer, const VmId &allocatorVm) const -> Duration
{
    const auto found = this->exhaustedUntil.find(Part(customer, allocatorVm));
    return found == this->exhaustedUntil.end() ? Duration(0) : found->second - support::now();
}

} // namespace sapphirespool::forwarding
