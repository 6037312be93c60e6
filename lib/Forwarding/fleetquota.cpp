#include "fleetquota.h"

#include "sapphirespool/Membership/quotatiming.h"
#include "sapphirespool/Support/clock.h"

#include <algorithm>
#include <chrono>

namespace sapphirespool::forwarding
{

namespace
{

namespace asio = boost::asio;
using interactive::Failure;
using interactive::FailureReply;

/// Retry delay when no allocator of a quota answers. Another one takes over its part, or it is back, within a second or so.
constexpr auto noAllocatorRetryDelay = std::chrono::milliseconds(200);

} // namespace

FleetQuota::FleetQuota(VmId self, ZoneId zone, std::shared_ptr<const membership::ViewHolder> views, double slack)
    : self(self)
    , zone(std::move(zone))
    , views(std::move(views))
    , placement(std::move(self), slack)
{
}

auto FleetQuota::connect(std::weak_ptr<PeerChannels> newChannels) -> void
{
    this->channels = std::move(newChannels);
}

auto FleetQuota::viewChanged(const membership::ClusterView &view, TimePoint now) -> void
{
    if (this->placement.viewChanged(view)) {
        this->allocator.setParts(this->placement.ownParts(), now);
        this->exhaustedUntil.clear();
    }
}

auto FleetQuota::take(CustomerId customer, Duration limit) -> asio::awaitable<std::optional<FailureReply>>
{
    const auto keepAlive = this->shared_from_this();
    const auto order = this->orderAllocators(customer);
    if (order.empty()) {
        co_return std::nullopt;
    }
    auto retryAfter = std::optional<Duration>();
    for (const auto &vm : order) {
        auto wait = this->exhaustedFor(customer, vm);
        if (wait <= Duration(0)) {
            const auto decision = co_await this->takeFrom(vm, customer, limit);
            if (std::holds_alternative<decisions::QuotaGranted>(decision)) {
                co_return std::nullopt;
            }
            const auto *const exhausted = std::get_if<decisions::QuotaExhausted>(&decision);
            if (exhausted == nullptr) {
                continue;
            }
            wait = exhausted->retryAfter;
            this->exhaustedUntil[Part(customer, vm)] = support::now() + wait;
        }
        retryAfter = std::min(retryAfter.value_or(wait), wait);
    }
    if (retryAfter) {
        co_return FailureReply{
            Failure::OverQuota, "customer " + customer.value() + " has reached its quota", std::chrono::ceil<std::chrono::milliseconds>(*retryAfter)};
    }
    co_return FailureReply{Failure::Busy, "no proxy that allocates the customer's quota answers", noAllocatorRetryDelay};
}

auto FleetQuota::takeOwn(const CustomerId &customer, TimePoint now) -> decisions::QuotaDecision
{
    // A proxy that control has not confirmed for so long may have been replaced as an allocator.
    if (!this->views->leaseLive(now - membership::quotaHoldOver)) {
        return decisions::NotAllocator();
    }
    return this->allocator.take(customer, now);
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

auto FleetQuota::takeFrom(VmId allocatorVm, CustomerId customer, Duration limit) -> asio::awaitable<decisions::QuotaDecision>
{
    if (allocatorVm == this->self) {
        co_return this->takeOwn(customer, support::now());
    }
    const auto peers = this->channels.lock();
    const auto channel = peers == nullptr ? nullptr : peers->channelTo(allocatorVm);
    if (channel == nullptr) {
        co_return decisions::NotAllocator();
    }
    co_return co_await channel->takeQuota(std::move(customer), limit);
}

auto FleetQuota::exhaustedFor(const CustomerId &customer, const VmId &allocatorVm) const -> Duration
{
    const auto found = this->exhaustedUntil.find(Part(customer, allocatorVm));
    return found == this->exhaustedUntil.end() ? Duration(0) : found->second - support::now();
}

} // namespace sapphirespool::forwarding
