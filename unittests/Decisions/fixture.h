// fixture.h: a small cluster and a dispatcher that a test drives event by event.
#pragma once

#include "sapphirespool/Decisions/factory.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::decisions
{

using std::chrono::milliseconds;

/// One service over one group: primary `p`, replicas `r1` and `r2`.
struct Fixture
{
    explicit Fixture(DispatcherSettings settings = {}, std::uint32_t slots = 2)
        : dispatcher(makeDispatcher(std::move(settings)))
    {
        auto view = membership::ClusterView();
        view.services.append({.id = ServiceId("orders"), .group = GroupId("g"), .queueLimit = 1000});
        auto group = membership::GroupView{.id = GroupId("g"), .term = Term(1), .primary = UpstreamId("p")};
        for (const auto *const name : {"p", "r1", "r2"}) {
            group.members.push_back({.id = UpstreamId(name), .slots = slots, .connectionLimit = 10});
        }
        view.groups.push_back(group);
        view.proxies.push_back({.id = VmId("v1")});
        this->cluster = view;
        this->publish();
    }

    auto publish() -> Dispatcher::Actions
    {
        return this->dispatcher->viewChanged(std::make_shared<const membership::ClusterView>(this->cluster), this->now);
    }

    auto report(const std::string &upstream, std::uint64_t applied, std::uint64_t term = 1, milliseconds age = milliseconds(0)) -> Dispatcher::Actions
    {
        return this->dispatcher->observe({GroupId("g"), UpstreamId(upstream), Term(term), LogPosition(applied), age}, this->now);
    }

    auto work(Access access, const std::string &caller = "c", milliseconds allowed = milliseconds(1000)) -> Work
    {
        ++this->lastId;
        return {.id = WorkId(this->lastId), .service = ServiceId("orders"), .caller = CallerId(caller), .access = access, .deadline = this->now + allowed};
    }

    auto write(const std::string &caller = "c", milliseconds allowed = milliseconds(1000)) -> Dispatcher::Actions
    {
        return this->dispatcher->submit(this->work(Access::Write, caller, allowed), this->now);
    }

    auto tolerant(milliseconds maxAge, std::optional<NeededPosition> needed = {}) -> Dispatcher::Actions
    {
        auto read = this->work(Access::Read);
        read.maxAge = maxAge;
        read.needed = needed;
        return this->dispatcher->submit(read, this->now);
    }

    auto finish(std::uint64_t id, WorkOutcome outcome = WorkOutcome::Answered) -> Dispatcher::Actions
    {
        return this->dispatcher->finished(WorkId(id), outcome, this->now);
    }

    TimePoint now = TimePoint(std::chrono::hours(1));
    std::uint64_t lastId = 0;
    membership::ClusterView cluster;
    std::unique_ptr<Dispatcher> dispatcher;
};

/// \return the upstream of the only action, or "-" if it is not one start
inline auto startedOn(const Dispatcher::Actions &actions) -> std::string
{
    if (actions.size() != 1 || !std::holds_alternative<Start>(actions.front())) {
        return "-";
    }
    return std::get<Start>(actions.front()).upstream.value();
}

/// \return the only action if it is a refusal
inline auto refusal(const Dispatcher::Actions &actions) -> std::optional<Refuse>
{
    if (actions.size() != 1 || !std::holds_alternative<Refuse>(actions.front())) {
        return std::nullopt;
    }
    return std::get<Refuse>(actions.front());
}

} // namespace sapphirespool::decisions
