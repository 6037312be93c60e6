#include "sapphirespool/State/records.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace sapphirespool::state
{

namespace
{

/// Departed members that are kept for each group, if its writes need no more confirmations than that.
constexpr auto departedKept = std::size_t{8};

auto addDeparted(GroupRecord &record, const UpstreamId &member) -> void
{
    record.departed.push_back(member);
    // One position of the primary covers all departed members or none. A choice that it does not cover is forbidden by as many departed
    // members as there are confirmations, so further ones make no difference.
    if (record.departed.size() > std::max<std::size_t>(departedKept, record.confirmations)) {
        record.departed.erase(record.departed.begin());
    }
}

} // namespace

auto GroupRecord::quorum() const -> std::uint32_t
{
    return this->size / 2 + 1;
}

auto GroupRecord::acknowledgesAlone() const -> bool
{
    return this->selfReplicating && this->confirmations == 0;
}

auto GroupRecord::noteDeparture(const UpstreamId &member) -> void
{
    if (this->selfReplicating && this->confirmations > 0) {
        addDeparted(*this, member);
    }
}

auto GroupRecord::changeConfirmations(std::uint32_t count) -> void
{
    const auto former = std::exchange(this->confirmations, count);
    // Writes before the change have fewer copies. Their missing ones count as copies of members that have left.
    for (auto missing = former; this->selfReplicating && this->lastPrimary != UpstreamId() && missing < count; ++missing) {
        addDeparted(*this, UpstreamId());
    }
}

auto GroupRecord::notePaused(std::span<const UpstreamId> members) -> void
{
    for (const auto &member : members) {
        if (this->findPaused(member) == nullptr && this->view.findMember(member) != nullptr) {
            this->paused.push_back({member});
        }
    }
    std::sort(this->paused.begin(), this->paused.end(), [](const PausedMember &left, const PausedMember &right) {
        return left.id < right.id;
    });
}

auto GroupRecord::findPaused(const UpstreamId &member) const -> const PausedMember *
{
    const auto found = std::find_if(this->paused.begin(), this->paused.end(), [&member](const PausedMember &candidate) {
        return candidate.id == member;
    });
    return found == this->paused.end() ? nullptr : &*found;
}

StateContent::StateContent(std::size_t changeLimit)
    : changes(changeLimit)
{
}

ChangeLog::ChangeLog(std::size_t limit)
    : limit(limit)
{
}

auto ChangeLog::find(const ChangeId &id) const -> const ChangeRecord *
{
    const auto found = this->sequenceNumbers.find(id);
    return found == this->sequenceNumbers.end() ? nullptr : &this->ordered[found->second - this->evictedCount];
}

auto ChangeLog::add(ChangeRecord record) -> void
{
    this->sequenceNumbers.insert_or_assign(record.id, this->evictedCount + this->ordered.size());
    this->ordered.push_back(std::move(record));
    if (this->ordered.size() > this->limit) {
        this->sequenceNumbers.erase(this->ordered.front().id);
        this->ordered.pop_front();
        ++this->evictedCount;
    }
}

auto ChangeLog::records() const -> const std::deque<ChangeRecord> &
{
    return this->ordered;
}

} // namespace sapphirespool::state
