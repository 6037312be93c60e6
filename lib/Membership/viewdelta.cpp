#include "sapphirespool/Membership/viewdelta.h"

#include <algorithm>

namespace sapphirespool::membership
{

namespace
{

template <typename Element>
auto sortById(std::vector<Element> &elements) -> void
{
    std::sort(elements.begin(), elements.end(), [](const Element &left, const Element &right) {
        return left.id < right.id;
    });
}

template <typename Element, typename Id>
auto findById(const std::vector<Element> &elements, const Id &id) -> const Element *
{
    const auto found = std::find_if(elements.begin(), elements.end(), [&id](const Element &element) {
        return element.id == id;
    });
    return found == elements.end() ? nullptr : &*found;
}

template <typename Element>
auto changed(const std::vector<Element> &from, const std::vector<Element> &to) -> std::vector<Element>
{
    auto elements = std::vector<Element>();
    for (const auto &element : to) {
        const auto *const former = findById(from, element.id);
        if (former == nullptr || !(*former == element)) {
            elements.push_back(element);
        }
    }
    return elements;
}

template <typename Element>
auto removed(const std::vector<Element> &from, const std::vector<Element> &to)
{
    auto ids = std::vector<decltype(Element::id)>();
    for (const auto &element : from) {
        if (findById(to, element.id) == nullptr) {
            ids.push_back(element.id);
        }
    }
    return ids;
}

template <typename Element, typename Id>
auto merge(std::vector<Element> &elements, const std::vector<Element> &changes, const std::vector<Id> &removals) -> void
{
    std::erase_if(elements, [&changes, &removals](const Element &element) {
        const auto gone = std::find(removals.begin(), removals.end(), element.id) != removals.end();
        return gone || findById(changes, element.id) != nullptr;
    });
    elements.insert(elements.end(), changes.begin(), changes.end());
    sortById(elements);
}

} // namespace

auto viewFor(const ClusterView &view, std::span<const ServiceId> services) -> ClusterView
{
    auto part = view;
    if (!services.empty()) {
        std::erase_if(part.services, [services](const ServiceView &service) {
            return std::find(services.begin(), services.end(), service.id) == services.end();
        });
        std::erase_if(part.groups, [&part](const GroupView &group) {
            return std::none_of(part.services.begin(), part.services.end(), [&group](const ServiceView &service) {
                return service.group == group.id;
            });
        });
    }
    sortById(part.services);
    sortById(part.groups);
    sortById(part.proxies);
    return part;
}

auto computeDelta(const ClusterView &from, const ClusterView &to) -> ViewDelta
{
    auto delta = ViewDelta{from.revision, to.revision, to.configuration};
    delta.services = changed(from.services, to.services);
    delta.groups = changed(from.groups, to.groups);
    delta.proxies = changed(from.proxies, to.proxies);
    delta.removedServices = removed(from.services, to.services);
    delta.removedGroups = removed(from.groups, to.groups);
    delta.removedProxies = removed(from.proxies, to.proxies);
    return delta;
}

auto applyDelta(const ClusterView &view, const ViewDelta &delta) -> std::optional<ClusterView>
{
    // A delta that was skipped would leave an element of an older revision in a view that calls itself current.
    if (view.revision != delta.base) {
        return std::nullopt;
    }
    auto next = view;
    next.revision = delta.revision;
    next.configuration = delta.configuration;
    merge(next.services, delta.services, delta.removedServices);
    merge(next.groups, delta.groups, delta.removedGroups);
    merge(next.proxies, delta.proxies, delta.removedProxies);
    return next;
}

} // namespace sapphirespool::membership
