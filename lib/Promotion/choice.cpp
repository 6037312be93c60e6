#include "sapphirespool/Promotion/choice.h"

#include <algorithm>
#include <tuple>

namespace sapphirespool::promotion
{

namespace
{

auto endOfLog(const platform::PositionReport &report) -> std::tuple<std::uint64_t, std::uint64_t>
{
    return {report.lastTerm, report.position};
}

/// \return the candidate of standing \p worst or better with the highest log; of equal logs, the one of the best standing
auto highestUpTo(Standing worst, std::span<const Candidate> candidates) -> std::optional<Candidate>
{
    auto highest = std::optional<Candidate>();
    for (const auto &candidate : candidates) {
        const auto isBetter = [&candidate, &highest] {
            return isAhead(candidate.report, highest->report) || (!isAhead(highest->report, candidate.report) && candidate.standing < highest->standing);
        };
        if (candidate.standing <= worst && (!highest || isBetter())) {
            highest = candidate;
        }
    }
    return highest;
}

} // namespace

auto isAhead(const platform::PositionReport &left, const platform::PositionReport &right) -> bool
{
    return endOfLog(left) > endOfLog(right);
}

auto chooseFromQuorum(std::span<const Candidate> fenced, std::size_t quorum) -> std::optional<Choice>
{
    const auto eligible = std::count_if(fenced.begin(), fenced.end(), [](const Candidate &candidate) {
        return candidate.standing == Standing::Eligible;
    });
    if (static_cast<std::size_t>(eligible) >= quorum) {
        return highestUpTo(Standing::Eligible, fenced);
    }
    const auto highest = highestUpTo(Standing::Unusable, fenced);
    const auto mayBeChosen = fenced.size() >= quorum && highest && highest->standing != Standing::Unusable;
    return mayBeChosen ? highest : std::nullopt;
}

auto chooseHighest(std::span<const Candidate> fenced) -> std::optional<Choice>
{
    const auto unsuspected = highestUpTo(Standing::Leaving, fenced);
    return unsuspected ? unsuspected : highestUpTo(Standing::Suspected, fenced);
}

} // namespace sapphirespool::promotion
