#include "sapphirespool/Sessions/home.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::sessions
{

namespace
{

auto entryName(const SessionId &session, const GroupId &group) -> std::string
{
    return session.value() + "/" + group.value();
}

} // namespace

SessionHome::SessionHome(std::size_t limit, Duration retention)
    : limit(limit)
    , retention(retention)
{
}

auto SessionHome::update(const SessionId &session, const GroupId &group, const TermPosition &seen, TimePoint now) -> void
{
    this->dropOldest(now);
    auto name = entryName(session, group);
    auto &entry = this->entries[name];
    entry.seen = std::max(entry.seen, seen);
    entry.expiry = now + this->retention;
    this->expiryQueue.push_back({entry.expiry, std::move(name)});
}

auto SessionHome::find(const SessionId &session, const GroupId &group, TimePoint now) const -> std::optional<TermPosition>
{
    const auto found = this->entries.find(entryName(session, group));
    if (found == this->entries.end() || found->second.expiry <= now) {
        return std::nullopt;
    }
    return found->second.seen;
}

auto SessionHome::clear() -> void
{
    this->entries.clear();
    this->expiryQueue.clear();
}

auto SessionHome::size() const -> std::size_t
{
    return this->entries.size();
}

auto SessionHome::dropOldest(TimePoint now) -> void
{
    while (!this->expiryQueue.empty()) {
        const auto &oldest = this->expiryQueue.front();
        if (oldest.at > now && this->expiryQueue.size() < this->limit) {
            return;
        }
        const auto found = this->entries.find(oldest.name);
        const auto isLastUpdate = found != this->entries.end() && found->second.expiry == oldest.at;
        if (isLastUpdate) {
            this->entries.erase(found);
        }
        this->expiryQueue.pop_front();
    }
}

} // namespace sapphirespool::sessions
