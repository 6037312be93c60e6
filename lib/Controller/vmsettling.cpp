#include "sapphirespool/Controller/vmsettling.h"

namespace sapphirespool::controller
{

auto VmSettling::due(std::span<const membership::ProxyView> known, TimePoint now) -> std::vector<membership::ProxyView>
{
    auto waiting = std::map<VmId, TimePoint>();
    auto due = std::vector<membership::ProxyView>();
    for (const auto &vm : known) {
        if (vm.settled || vm.callers.port == 0) {
            continue;
        }
        const auto former = this->unsettledSince.find(vm.id);
        const auto since = former == this->unsettledSince.end() ? now : former->second;
        waiting.emplace(vm.id, since);
        if (now - since >= settleAfter) {
            due.push_back(vm);
        }
    }
    this->unsettledSince = std::move(waiting);
    return due;
}

} // namespace sapphirespool::controller
