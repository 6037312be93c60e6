#include "world.h"

#include <algorithm>

namespace sapphirespool::promotion
{

auto FakeMember::report() const -> platform::PositionReport
{
    auto report = platform::PositionReport();
    report.id = this->id.value();
    report.incarnation = this->incarnation.value();
    report.term = this->term.value();
    report.role = this->role;
    report.lastTerm = this->log.empty() ? 0 : this->log.back().term.value();
    report.position = this->log.size();
    report.applied = this->log.size();
    return report;
}

auto FakeMember::fence(Term newTerm) -> platform::PositionReport
{
    if (newTerm > this->term) {
        this->term = newTerm;
        this->role = platform::Role::Fenced;
    }
    return this->report();
}

auto FakeMember::promote(Term newTerm) -> std::optional<platform::PositionReport>
{
    if (newTerm < this->term || (newTerm == this->term && this->role == platform::Role::Replica)) {
        return std::nullopt;
    }
    this->term = newTerm;
    this->role = platform::Role::Primary;
    return this->report();
}

auto FakeMember::follow(const platform::FollowRequest &request) -> std::optional<platform::PositionReport>
{
    if (Term(request.term) < this->term || (Term(request.term) == this->term && this->role == platform::Role::Primary)) {
        return std::nullopt;
    }
    const auto stands = std::find_if(this->log.begin(), this->log.end(), [&request](const Entry &entry) {
        return entry.term >= Term(request.term);
    });
    const auto earlier = static_cast<std::size_t>(std::distance(this->log.begin(), stands));
    if (stands == this->log.end() && earlier > request.keptUpTo) {
        this->log.resize(request.keptUpTo);
    }
    this->term = Term(request.term);
    this->role = platform::Role::Replica;
    this->primary = UpstreamId(request.primary);
    return this->report();
}

} // namespace sapphirespool::promotion
