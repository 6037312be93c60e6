#include "sapphirespool/Promotion/choice.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace sapphirespool::promotion
{

auto choosePrimary(std::span<const platform::PositionReport> fenced, std::size_t quorum, const std::set<UpstreamId> &avoid) -> std::optional<Choice>
{
    const auto isAvoided = [&avoid](const platform::PositionReport &report) {
        return avoid.contains(UpstreamId(report.id));
    };
    auto candidates = std::vector<platform::PositionReport>();
    std::copy_if(fenced.begin(), fenced.end(), std::back_inserter(candidates), [&isAvoided](const platform::PositionReport &report) {
        return !isAvoided(report);
    });
    if (candidates.size() < quorum) {
        candidates.assign(fenced.begin(), fenced.end());
    }
    if (candidates.size() < quorum) {
        return std::nullopt;
    }
    const auto rank = [&isAvoided](const platform::PositionReport &report) {
        return std::tuple(report.lastTerm, report.position, !isAvoided(report));
    };
    const auto highest = std::max_element(candidates.begin(), candidates.end(), [&rank](const auto &left, const auto &right) {
        return rank(left) < rank(right);
    });
    return Choice{*highest, isAvoided(*highest)};
}

} // namespace sapphirespool::promotion
