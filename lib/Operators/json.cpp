#include "json.h"

#include <boost/json/array.hpp>

#include <utility>

namespace sapphirespool::operators
{

auto statusJson(const membership::ClusterStatus &status) -> boost::json::object
{
    auto vms = boost::json::array();
    for (const auto &vm : status.vms) {
        vms.push_back(boost::json::object({{"vm", vm.vm.value()},
                                           {"zone", vm.zone.value()},
                                           {"confirmed", vm.confirmed.value()},
                                           {"configuration", vm.configuration.value()},
                                           {"live", vm.live}}));
    }
    return {{"leader", status.leader.value()},
            {"revision", status.revision.value()},
            {"configuration", status.configuration.value()},
            {"inForce", status.inForce},
            {"vms", std::move(vms)}};
}

auto problemJson(RefusalReason reason, std::string_view detail, Executed executed) -> boost::json::object
{
    const auto &description = describe(reason);
    return {{"title", description.label},
            {"status", description.status},
            {"detail", detail},
            {"reason", description.label},
            {"executed", name(executed)},
            {"remedy", description.remedy}};
}

} // namespace sapphirespool::operators
