#include "model.h"

#include <algorithm>

namespace sapphirespool::loadmodel
{

namespace
{

/// Time until the view leaves out an upstream that has stopped.
constexpr auto detection = std::chrono::milliseconds(200);

} // namespace

auto Model::scheduleFaults() -> void
{
    for (const auto &fault : this->scenario.faults) {
        this->scheduleFault(fault);
    }
}

auto Model::scheduleFault(const Fault &fault) -> void
{
    const auto id = upstreamName(0, fault.upstream);
    const auto at = this->begin + this->partOfRun(fault.at);
    const auto until = this->begin + this->partOfRun(fault.until);
    if (fault.kind == Fault::Kind::Slow) {
        this->events.at(at, [this, id, factor = fault.factor]() {
            this->upstreams.at(id)->setFactor(factor);
        });
        this->events.at(until, [this, id]() {
            this->upstreams.at(id)->setFactor(1);
        });
        return;
    }
    const auto whole = this->view.groups.front().members;
    this->events.at(at, [this, id]() {
        this->upstreams.at(id)->stop();
    });
    this->events.at(at + detection, [this, id]() {
        auto &group = this->view.groups.front();
        std::erase_if(group.members, [&id](const auto &member) {
            return member.id == id;
        });
        if (group.primary == id) {
            group.primary.reset();
        }
        this->publishView();
    });
    if (fault.kind == Fault::Kind::PromotionGap) {
        this->events.at(at + fault.duration, [this]() {
            auto &group = this->view.groups.front();
            group.primary = group.members.front().id;
            group.term = group.term.next();
            group.history = {{Term(1), LogPosition(0)}, {group.term, LogPosition(this->groups.front().position)}};
            this->groups.front().term = group.term;
            this->publishView();
        });
    }
    this->events.at(until, [this, id, whole]() {
        this->upstreams.at(id)->restart();
        this->view.groups.front().members = whole;
        this->publishView();
    });
}

} // namespace sapphirespool::loadmodel
