#include "sapphirespool/Upstreams/confirmations.h"

#include <algorithm>
#include <cstddef>

namespace sapphirespool::upstreams
{

auto Confirmations::viewChanged(const membership::GroupView &next) -> void
{
    this->group = next;
    std::erase_if(this->latest, [this](const auto &entry) {
        const auto *const member = this->group.findMember(entry.first);
        return member == nullptr || member->incarnation.value() != entry.second.incarnation;
    });
}

auto Confirmations::reported(const UpstreamId &member, const platform::PositionReport &report) -> bool
{
    const auto *const known = this->group.findMember(member);
    // Another process may have taken over the address, with another log or none.
    if (known == nullptr || report.id != member.value() || report.incarnation != known->incarnation.value()) {
        return false;
    }
    this->latest[member] = report;
    return true;
}

auto Confirmations::result(Term term, LogPosition position) const -> std::optional<Confirmation>
{
    if (this->group.term > term) {
        return Confirmation::TermEnded;
    }
    // A promotion keeps the longest log of a fenced majority. A write that a majority holds is in one of those logs, whichever
    // majority it is; a write that the primary alone holds may be in none.
    const auto needed = std::max<std::size_t>(1, this->group.members.size() / 2);
    auto confirming = std::size_t{0};
    auto others = std::size_t{0};
    auto gone = std::size_t{0};
    for (const auto &member : this->group.members) {
        if (this->group.primary == member.id) {
            continue;
        }
        ++others;
        const auto found = this->latest.find(member.id);
        if (found == this->latest.end()) {
            continue;
        }
        confirming += this->confirms(found->second, term, position) ? 1 : 0;
        gone += found->second.term > term.value() ? 1 : 0;
    }
    if (confirming >= needed) {
        return Confirmation::Confirmed;
    }
    if (others > 0 && others - gone < needed) {
        return Confirmation::TermEnded;
    }
    return std::nullopt;
}

auto Confirmations::known(const UpstreamId &member) const -> LogPosition
{
    const auto found = this->latest.find(member);
    if (found == this->latest.end()) {
        return LogPosition(0);
    }
    // What a member reports before it follows the term's primary may be dropped; waiting for more than that would miss the
    // positions below it.
    const auto &report = found->second;
    const auto lasting = report.term == this->group.term.value() && report.role == platform::Role::Replica;
    return LogPosition(lasting ? report.position : 0);
}

auto Confirmations::view() const -> const membership::GroupView &
{
    return this->group;
}

auto Confirmations::confirms(const platform::PositionReport &report, Term term, LogPosition position) const -> bool
{
    // The last entry's term must be the write's as well: a member that was just told of the term may still hold, at the same
    // position, an entry of an earlier term that it is about to drop.
    const auto sameTerm = report.term == term.value() && report.lastTerm == term.value();
    return sameTerm && report.role == platform::Role::Replica && report.position >= position.value();
}

} // namespace sapphirespool::upstreams
