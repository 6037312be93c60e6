#include "sapphirespool/State/records.h"

#include <utility>

namespace sapphirespool::state
{

auto GroupRecord::quorum() const -> std::uint32_t
{
    if (this->selfReplicating) {
        // An acknowledged write is on the primary and on as many replicas as must confirm it. A quorum of this size intersects each such
        // set. Without confirmations only the primary is certain to have the write, so any one remaining member suffices.
        return this->confirmations == 0 || this->confirmations >= this->size ? 1 : this->size - this->confirmations;
    }
    return this->size / 2 + 1;
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
