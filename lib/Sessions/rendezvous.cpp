#include "sapphirespool/Sessions/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace sapphirespool::sessions
{

namespace
{

struct Ranked
{
    std::uint64_t score = 0;
    const Holder *holder = nullptr;
};

auto rank(std::string_view name, std::span<const Holder> among) -> std::vector<Ranked>
{
    const auto seed = XXH64(name.data(), name.size(), 0);
    auto ranked = std::vector<Ranked>();
    ranked.reserve(among.size());
    for (const auto &holder : among) {
        const auto &vm = holder.vm.value();
        ranked.push_back({XXH64(vm.data(), vm.size(), seed), &holder});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::pair(left.score, left.holder->vm) > std::pair(right.score, right.holder->vm);
    });
    return ranked;
}

auto hasZone(const std::vector<Holder> &chosen, const ZoneId &zone) -> bool
{
    return std::any_of(chosen.begin(), chosen.end(), [&zone](const Holder &holder) {
        return holder.zone == zone;
    });
}

} // namespace

auto candidates(const membership::ClusterView &view) -> std::vector<Holder>
{
    auto holders = std::vector<Holder>();
    for (const auto &proxy : view.proxies) {
        holders.push_back({proxy.id, proxy.zone, proxy.incarnation});
    }
    return holders;
}

auto chooseHolders(std::string_view name, std::span<const Holder> among, std::size_t copies) -> std::vector<Holder>
{
    const auto ranked = rank(name, among);
    auto chosen = std::vector<Holder>();
    auto rest = std::vector<Holder>();
    for (const auto &candidate : ranked) {
        auto &place = hasZone(chosen, candidate.holder->zone) ? rest : chosen;
        place.push_back(*candidate.holder);
    }
    chosen.insert(chosen.end(), rest.begin(), rest.end());
    chosen.resize(std::min(chosen.size(), copies));
    return chosen;
}

} // namespace sapphirespool::sessions
