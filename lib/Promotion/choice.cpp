#include "sapphirespool/Promotion/choice.h"

#include <algorithm>
#include <iterator>
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

auto chooseHighest(std::span<const Candidate> fenced, Standing worst) -> std::optional<Choice>
{
    const auto unsuspected = highestUpTo(worst, fenced);
    return unsuspected ? unsuspected : highestUpTo(Standing::Suspected, fenced);
}

auto missingReports(const platform::PositionReport &candidate, std::span<const Candidate> reports, const WriteHolders &holders) -> std::vector<UpstreamId>
{
    const auto isCovered = [&candidate, reports](const UpstreamId &member) {
        return std::any_of(reports.begin(), reports.end(), [&](const Candidate &other) {
            const auto isFinal = other.isFinal || other.report.id == candidate.id;
            return other.report.id == member.value() && isFinal && !isAhead(other.report, candidate);
        });
    };
    const auto knowsPrimary = holders.primary != UpstreamId();
    if (knowsPrimary && isCovered(holders.primary)) {
        return {};
    }
    auto missing = std::vector<UpstreamId>();
    std::copy_if(holders.replicas.begin(), holders.replicas.end(), std::back_inserter(missing), [&isCovered](const UpstreamId &replica) {
        return !isCovered(replica);
    });
    // If the primary is not known, one of the missing members may be it.
    const auto copiesElsewhere = holders.confirmations + (knowsPrimary ? 0 : 1);
    if (missing.size() < copiesElsewhere) {
        return {};
    }
    if (knowsPrimary) {
        missing.push_back(holders.primary);
    }
    return missing;
}

auto chooseConfirmed(std::span<const Candidate> reports, const WriteHolders &holders) -> std::optional<Choice>
{
    auto certain = std::vector<Candidate>();
    std::copy_if(reports.begin(), reports.end(), std::back_inserter(certain), [reports, &holders](const Candidate &candidate) {
        return missingReports(candidate.report, reports, holders).empty();
    });
    for (const auto worst : {Standing::Eligible, Standing::Leaving, Standing::Suspected}) {
        if (const auto highest = highestUpTo(worst, certain)) {
            return highest;
        }
    }
    return std::nullopt;
}

} // namespace sapphirespool::promotion
