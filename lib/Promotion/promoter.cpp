#include "sapphirespool/Promotion/promoter.h"

#include <iterator>
#include <utility>

namespace sapphirespool::promotion
{

namespace
{

auto groupOf(const Announced &event) -> GroupId
{
    return GroupId(event.announcement.group);
}

auto groupOf(const Suspected &event) -> GroupId
{
    return event.suspicion.group;
}

auto groupOf(const OrderAnswered &event) -> GroupId
{
    return event.group;
}

auto groupOf(const GroupChanged &event) -> GroupId
{
    return event.group;
}

auto groupOf(const ProposalIgnored &event) -> GroupId
{
    return event.group;
}

auto groupOf(const PositionTold &event) -> GroupId
{
    return event.group;
}

template <typename Kind>
auto noteIn(GroupPromotion &promotion, const Kind &event, TimePoint now) -> void
{
    promotion.note(event, now);
}

auto noteIn(GroupPromotion &, const GroupChanged &, TimePoint) -> void
{
}

} // namespace

auto name(TermEnd reason) -> std::string_view
{
    switch (reason) {
    case TermEnd::First:
        return "first";
    case TermEnd::Silent:
        return "silent";
    case TermEnd::Suspected:
        return "suspected";
    case TermEnd::Restarted:
        return "restarted";
    case TermEnd::Overtaken:
        return "overtaken";
    case TermEnd::Leaving:
        return "leaving";
    case TermEnd::Gone:
        return "gone";
    }
    return "unknown";
}

Promoter::Promoter(const state::ClusterState &state, TimePoint since, std::chrono::milliseconds contactTimeout)
    : state(state)
    , since(since)
    , contactTimeout(contactTimeout)
{
}

auto Promoter::handle(const Event &event, TimePoint now) -> Actions
{
    return std::visit(
        [this, now](const auto &kind) {
            const auto group = groupOf(kind);
            if (this->state.findGroup(group) == nullptr) {
                return Actions();
            }
            noteIn(this->promotionOf(group), kind, now);
            return this->advance(group, now);
        },
        event);
}

auto Promoter::tick(TimePoint now) -> Actions
{
    auto actions = Actions();
    for (const auto &record : this->state.groups()) {
        if (this->promotionOf(record.view.id).wakeAt() > now) {
            continue;
        }
        auto steps = this->advance(record.view.id, now);
        std::move(steps.begin(), steps.end(), std::back_inserter(actions));
    }
    return actions;
}

auto Promoter::setProxies(const ProxyStanding &standing) -> void
{
    this->proxies = standing;
}

auto Promoter::setDuty(bool held) -> void
{
    this->holdsDuty = held;
}

auto Promoter::advance(const GroupId &group, TimePoint now) -> Actions
{
    const auto *const record = this->state.findGroup(group);
    auto &promotion = this->promotionOf(group);
    promotion.setDuty(this->holdsDuty);
    return promotion.advance(*record, this->proxies, now);
}

auto Promoter::promotionOf(const GroupId &group) -> GroupPromotion &
{
    return this->groups.try_emplace(group, this->since, this->contactTimeout).first->second;
}

} // namespace sapphirespool::promotion
