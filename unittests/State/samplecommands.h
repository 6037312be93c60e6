// samplecommands.h: builders of commands for tests.
#pragma once

#include "sapphirespool/State/commands.h"

#include <string>

namespace sapphirespool::state
{

/// \return a change to a configuration with one service in each of \p groups
inline auto changeOf(std::string_view id, std::uint64_t base, std::string_view text, const std::vector<std::string> &groups = {"orders-1"})
    -> ChangeConfiguration
{
    auto change = ChangeConfiguration{ChangeId(std::string(id)), Revision(base), std::string(text), {}};
    for (const auto &group : groups) {
        auto service = membership::ServiceView();
        service.id = ServiceId("service-of-" + group);
        service.group = GroupId(group);
        change.content.services.push_back(service);
        change.content.groups.push_back({GroupId(group), 3});
    }
    return change;
}

inline auto upstreamOf(std::string_view id, std::uint64_t incarnation) -> membership::UpstreamView
{
    auto upstream = membership::UpstreamView();
    upstream.id = UpstreamId(std::string(id));
    upstream.endpoint = {"127.0.0.1", 9000};
    upstream.zone = ZoneId("hobart");
    upstream.incarnation = Incarnation(incarnation);
    upstream.slots = 5;
    upstream.connectionLimit = 35;
    return upstream;
}

inline auto vmOf(std::string_view id, std::uint64_t incarnation) -> membership::ProxyView
{
    auto vm = membership::ProxyView();
    vm.id = VmId(std::string(id));
    vm.zone = ZoneId("hobart");
    vm.incarnation = Incarnation(incarnation);
    vm.callers = {"127.0.0.1", 8480};
    vm.peers = {"127.0.0.1", 8481};
    return vm;
}

} // namespace sapphirespool::state
