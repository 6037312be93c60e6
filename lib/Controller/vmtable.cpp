#include "sapphirespool/Controller/vmtable.h"

#include <algorithm>

namespace sapphirespool::controller
{

VmTable::VmTable(std::span<const membership::ProxyView> known, TimePoint now)
{
    for (const auto &proxy : known) {
        auto vm = Vm();
        vm.zone = proxy.zone;
        vm.incarnation = proxy.incarnation;
        vm.leaseEnd = now + leaseLength;
        vm.isDirectory = proxy.isDirectory();
        this->vms.emplace(proxy.id, std::move(vm));
    }
}

auto VmTable::note(const control::VmHeartbeat &heartbeat, TimePoint now) -> bool
{
    auto &vm = this->vms[heartbeat.vm];
    if (vm.formerIncarnations.contains(heartbeat.incarnation)) {
        return false;
    }
    if (vm.incarnation != heartbeat.incarnation) {
        vm.formerIncarnations.insert(vm.incarnation);
        vm.incarnation = heartbeat.incarnation;
    }
    vm.zone = heartbeat.zone;
    vm.isDirectory = heartbeat.callers.port == 0 && heartbeat.peers.port != 0;
    vm.confirmed = heartbeat.confirmed;
    vm.configuration = heartbeat.configuration;
    vm.leaseEnd = std::max(vm.leaseEnd, now + leaseLength);
    return true;
}

auto VmTable::leaseLive(const VmId &vm, TimePoint now) const -> bool
{
    const auto found = this->vms.find(vm);
    return found != this->vms.end() && now < found->second.leaseEnd;
}

auto VmTable::inForce(Revision configuration, TimePoint now) const -> bool
{
    return std::all_of(this->vms.begin(), this->vms.end(), [configuration, now](const auto &vm) {
        return vm.second.isDirectory || vm.second.configuration >= configuration || now >= vm.second.leaseEnd;
    });
}

auto VmTable::status(const membership::ProxyView &vm, TimePoint now) const -> membership::VmStatus
{
    auto status = membership::VmStatus{vm.id, vm.zone, {}, {}, false};
    const auto found = this->vms.find(vm.id);
    if (found != this->vms.end()) {
        status.confirmed = found->second.confirmed;
        status.configuration = found->second.configuration;
        status.live = now < found->second.leaseEnd;
    }
    return status;
}

auto VmTable::standing(Revision current, TimePoint now) const -> promotion::ProxyStanding
{
    auto zones = std::set<ZoneId>();
    auto oldest = current;
    for (const auto &[id, vm] : this->vms) {
        if (!vm.isDirectory && now < vm.leaseEnd) {
            zones.insert(vm.zone);
            oldest = std::min(oldest, vm.confirmed);
        }
    }
    return {zones.size(), current, oldest};
}

auto VmTable::silentFor(Duration span, std::span<const membership::ProxyView> known, TimePoint now) const -> std::vector<membership::ProxyView>
{
    auto silent = std::vector<membership::ProxyView>();
    for (const auto &proxy : known) {
        const auto found = this->vms.find(proxy.id);
        if (found != this->vms.end() && now >= found->second.leaseEnd - leaseLength + span) {
            silent.push_back(proxy);
        }
    }
    return silent;
}

} // namespace sapphirespool::controller
