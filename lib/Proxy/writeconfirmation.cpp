#include "writeconfirmation.h"

#include <utility>

namespace sapphirespool::proxy
{

SessionIds::SessionIds(std::uint64_t seed)
    : random(seed)
{
}

auto SessionIds::draw() -> SessionId
{
    return sessions::makeSessionId(this->random());
}

WriteConfirmation::WriteConfirmation(std::shared_ptr<UpstreamAccess> access,
                                     std::shared_ptr<upstreams::PositionWatch> watch,
                                     std::shared_ptr<HomeGuard> homes,
                                     std::shared_ptr<SessionIds> ids)
    : access(std::move(access))
    , watch(std::move(watch))
    , homes(std::move(homes))
    , ids(std::move(ids))
{
}

auto WriteConfirmation::confirm(RanWrite write, sessions::SessionToken &token, TimePoint deadline) -> boost::asio::awaitable<std::optional<OutcomeUnknown>>
{
    const auto seen = sessions::TermPosition{write.term, write.position};
    const auto view = this->access->view();
    auto recording = this->homes->record(*view, {token.id(), write.group, seen});
    token.merge({write.group, write.term, write.position});
    const auto confirmation = co_await this->watch->confirm(write.group, write.term, write.position, deadline);
    const auto told = co_await recording.finish();
    if (!told) {
        // Homes that could not be told would later answer with a position from before this write, and a read that brings only the
        // session id would miss it. Nobody knows the new id yet, so such a read goes to the primary.
        this->renew(token, nullptr);
    }
    if (confirmation == upstreams::Confirmation::TimedOut) {
        co_return OutcomeUnknown{RefusalReason::NotConfirmed, "it ran at the primary; no second member confirmed it in time"};
    }
    if (confirmation == upstreams::Confirmation::TermEnded) {
        co_return OutcomeUnknown{RefusalReason::NotConfirmed, "it ran at a primary that was replaced; it may be lost"};
    }
    // Between the confirmation and this line the primary may have been replaced. Under a live lease it has not: a promotion
    // waits until each proxy has confirmed the end of the term or lost its lease. Without one an old primary's write would be acknowledged.
    if (!this->isCurrent(write)) {
        co_return OutcomeUnknown{RefusalReason::NotConfirmed, "it ran, but the lease on the view ran out before it could be acknowledged"};
    }
    co_return std::nullopt;
}

auto WriteConfirmation::noteLost(const GroupId &group, sessions::SessionToken &token) -> void
{
    this->renew(token, &group);
}

auto WriteConfirmation::renew(sessions::SessionToken &token, const GroupId *without) -> void
{
    auto renewed = sessions::SessionToken(this->ids->draw());
    for (const auto &seen : token.positions()) {
        if (without == nullptr || seen.group != *without) {
            renewed.merge(seen);
        }
    }
    if (!token.isComplete() || without != nullptr) {
        renewed.markIncomplete();
    }
    token = std::move(renewed);
}

auto WriteConfirmation::isCurrent(const RanWrite &write) const -> bool
{
    const auto view = this->access->view();
    const auto *const group = view->findGroup(write.group);
    return group != nullptr && group->term == write.term && this->access->leaseCovers(std::chrono::milliseconds(0));
}

} // namespace sapphirespool::proxy
