#include "sapphirespool/Membership/viewdelta.h"

#include <algorithm>
#include <set>
#include <type_traits>

namespace sapphirespool::membership
{

namespace
{

struct ById
{
    template <typename Element>
    auto operator()(const Element &left, const Element &right) const -> bool
    {
        return left.id < right.id;
    }
};

template <typename Element>
auto sortById(std::vector<Element> &elements) -> void
{
    std::sort(elements.begin(), elements.end(), ById());
}

template <typename Element>
auto sortById(support::SharedList<Element> &elements) -> void
{
    // edit() copies a list that is shared with other views, so it is called only if needed.
    if (!std::is_sorted(elements.begin(), elements.end(), ById())) {
        sortById(elements.edit());
    }
}

/// Both lists are sorted by id, so each lookup continues from the previous one.
template <typename Elements>
auto changed(const Elements &from, const Elements &to) -> Elements
{
    using Element = std::decay_t<decltype(*from.begin())>;
    auto elements = std::vector<Element>();
    auto former = from.begin();
    for (const auto &element : to) {
        former = std::lower_bound(former, from.end(), element, ById());
        if (former == from.end() || !(*former == element)) {
            elements.push_back(element);
        }
    }
    return elements;
}

template <typename Elements>
auto removed(const Elements &from, const Elements &to)
{
    auto ids = std::vector<decltype(from.begin()->id)>();
    auto still = to.begin();
    for (const auto &element : from) {
        still = std::lower_bound(still, to.end(), element, ById());
        if (still == to.end() || still->id != element.id) {
            ids.push_back(element.id);
        }
    }
    return ids;
}

template <typename Element, typename Elements, typename Id>
auto merge(std::vector<Element> &elements, const Elements &changes, const std::vector<Id> &removals) -> void
{
    auto gone = std::set<Id>(removals.begin(), removals.end());
    for (const auto &change : changes) {
        gone.insert(change.id);
    }
    std::erase_if(elements, [&gone](const Element &element) {
        return gone.contains(element.id);
    });
    elements.insert(elements.end(), changes.begin(), changes.end());
    sortById(elements);
}

} // namespace

auto viewFor(const ClusterView &view, std::span<const ServiceId> services) -> ClusterView
{
    auto part = view;
    if (!services.empty()) {
        std::erase_if(part.services.edit(), [services](const ServiceView &service) {
            return std::find(services.begin(), services.end(), service.id) == services.end();
        });
        std::erase_if(part.groups, [&part](const GroupView &group) {
            return std::none_of(part.services.begin(), part.services.end(), [&group](const ServiceView &service) {
                return service.group == group.id;
            });
        });
    }
    sortById(part.services);
    sortById(part.customers);
    sortById(part.groups);
    sortById(part.proxies);
    return part;
}

auto computeDelta(const ClusterView &from, const ClusterView &to) -> ViewDelta
{
    auto delta = ViewDelta{from.revision, to.revision, to.configuration};
    if (!from.services.sharesWith(to.services)) {
        delta.services = changed(from.services, to.services);
        delta.removedServices = removed(from.services, to.services);
    }
    if (!from.customers.sharesWith(to.customers)) {
        delta.customers = changed(from.customers, to.customers);
        delta.removedCustomers = removed(from.customers, to.customers);
    }
    delta.groups = changed(from.groups, to.groups);
    delta.proxies = changed(from.proxies, to.proxies);
    delta.removedGroups = removed(from.groups, to.groups);
    delta.removedProxies = removed(from.proxies, to.proxies);
    return delta;
}

auto applyDelta(const ClusterView &view, const ViewDelta &delta) -> std::optional<ClusterView>
{
    // If a skipped delta were not detected, the view would contain elements of an older revision than its own.
    if (view.revision != delta.base) {
        return std::nullopt;
    }
    auto next = view;
    next.revision = delta.revision;
    next.configuration = delta.configuration;
    if (!delta.services.empty() || !delta.removedServices.empty()) {
        merge(next.services.edit(), delta.services, delta.removedServices);
    }
    if (!delta.customers.empty() || !delta.removedCustomers.empty()) {
        merge(next.customers.edit(), delta.customers, delta.removedCustomers);
    }
    merge(next.groups, delta.groups, delta.removedGroups);
    merge(next.proxies, delta.proxies, delta.removedProxies);
    return next;
}

} // namespace sapphirespool::membership
