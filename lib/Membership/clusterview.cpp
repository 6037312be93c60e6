#include "sapphirespool/Membership/clusterview.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace sapphirespool::membership
{

namespace
{

template <typename Elements, typename Id>
auto findById(const Elements &elements, const Id &id) -> decltype(&*elements.begin())
{
    const auto found = std::find_if(elements.begin(), elements.end(), [&id](const auto &element) {
        return element.id == id;
    });
    return found == elements.end() ? nullptr : &*found;
}

} // namespace

auto consistencyOf(std::uint8_t number) -> Consistency
{
    const auto known = number <= static_cast<std::uint8_t>(Consistency::ReadYourWrites);
    return known ? static_cast<Consistency>(number) : Consistency::Strong;
}

auto digestOf(std::string_view key) -> KeyDigest
{
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>();
    ::SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return KeyDigest(std::string(digest.begin(), digest.begin() + SHA256_DIGEST_LENGTH / 2));
}

auto GroupView::findMember(const UpstreamId &member) const -> const UpstreamView *
{
    return findById(this->members, member);
}

auto GroupView::primaryMember() const -> const UpstreamView *
{
    return this->primary ? this->findMember(*this->primary) : nullptr;
}

auto ClusterView::findService(const ServiceId &service) const -> const ServiceView *
{
    return findById(this->services, service);
}

auto ClusterView::findGroup(const GroupId &group) const -> const GroupView *
{
    return findById(this->groups, group);
}

auto ClusterView::findProxy(const VmId &vm) const -> const ProxyView *
{
    return findById(this->proxies, vm);
}

auto ViewHolder::publish(std::shared_ptr<const ClusterView> view) -> bool
{
    assert(view != nullptr && "a view to publish");
    {
        const auto guard = std::lock_guard(this->mutex);
        if (view->revision < this->view->revision) {
            return false;
        }
        this->view = std::move(view);
    }
    this->notify();
    return true;
}

auto ViewHolder::onChange(std::function<void()> newListener) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->listener = std::move(newListener);
}

auto ViewHolder::notify() const -> void
{
    auto present = std::function<void()>();
    {
        const auto guard = std::lock_guard(this->mutex);
        present = this->listener;
    }
    if (present) {
        present();
    }
}

auto ViewHolder::extendLease(TimePoint expiry) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->leaseExpiry = std::max(this->leaseExpiry, expiry);
}

auto ViewHolder::noteContact(TimePoint now) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->contact = now;
}

auto ViewHolder::lastContact() const -> TimePoint
{
    const auto guard = std::lock_guard(this->mutex);
    return this->contact;
}

auto ViewHolder::current() const -> std::shared_ptr<const ClusterView>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->view;
}

auto ViewHolder::leaseLive(TimePoint now) const -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    return now < this->leaseExpiry;
}

} // namespace sapphirespool::membership
