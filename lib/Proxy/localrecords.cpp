#include "localrecords.h"

namespace sapphirespool::proxy
{

LocalRecords::LocalRecords(const VmId &vm, const ProxyLimits &limits, TimePoint now)
    : history(vm, limits.keyLife, limits.keyWarmup, now)
    , keys(limits.keys, limits.keyLife)
    , home(limits.homeSessions, limits.keyLife)
{
}

auto LocalRecords::viewChanged(const membership::ClusterView &view, TimePoint now) -> void
{
    this->history.viewChanged(sessions::candidates(view), now);
}

auto LocalRecords::missedViews(TimePoint now) -> void
{
    this->history.missedViews(now);
    this->home.clear();
}

auto LocalRecords::startKey(const sessions::KeyStart &start, TimePoint now) -> sessions::KeyReply
{
    return this->keys.start(start, this->history, now);
}

auto LocalRecords::finishKey(const sessions::KeyFinish &finish, TimePoint now) -> void
{
    this->keys.finish(finish, now);
}

auto LocalRecords::abandonKey(const sessions::KeyAbandon &abandon) -> void
{
    this->keys.abandon(abandon);
}

auto LocalRecords::updateHome(const HomeUpdate &update, TimePoint now) -> void
{
    this->home.update(update.session, update.group, update.seen, now);
}

auto LocalRecords::findHome(const HomeQuery &query, TimePoint now) const -> std::optional<sessions::TermPosition>
{
    // A proxy that was the session's home, was not, and is again, would answer with a position from before; the caller's write of
    // the time between would be missing from its own read.
    if (!this->history.heldThroughout(query.session.value(), sessions::homeCopies, now)) {
        return std::nullopt;
    }
    return this->home.find(query.session, query.group, now);
}

} // namespace sapphirespool::proxy
