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
        return left.score != right.score ? left.score > right.score : left.holder->vm > right.holder->vm;
    });
    return ranked;
}

auto hasZone(std::span<const Holder> chosen, const ZoneId &zone) -> bool
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
    auto skipped = std::vector<const Holder *>();
    for (auto candidate = ranked.begin(); candidate != ranked.end() && chosen.size() < copies; ++candidate) {
        if (!hasZone(chosen, candidate->holder->zone)) {
            chosen.push_back(*candidate->holder);
        } else if (skipped.size() < copies) {
            skipped.push_back(candidate->holder);
        }
    }
    for (auto holder = skipped.begin(); holder != skipped.end() && chosen.size() < copies; ++holder) {
        chosen.push_back(**holder);
    }
    return chosen;
}

} // namespace sapphirespool::sessions
