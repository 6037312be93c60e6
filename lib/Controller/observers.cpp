#include "sapphirespool/Controller/observers.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>

namespace sapphirespool::controller
{

auto Observers::note(const VmId &vm, const GroupId &group, std::size_t groups, TimePoint now) -> bool
{
    auto &ofVm = this->suspected[vm];
    ofVm[group] = now;
    std::erase_if(ofVm, [now](const auto &suspicion) {
        return now - suspicion.second >= promotion::suspicionLifetime;
    });
    return ofVm.size() <= std::max(alwaysCredible, groups / credibleDivisor);
}

} // namespace sapphirespool::controller
