#include "model.h"

#include "sapphirespool/Decisions/retrybudget.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::loadmodel
{

namespace
{

/// Attempts of the proxy for a read that failed at its upstream.
constexpr std::uint32_t readAttempts = 3;

auto exponential(std::mt19937_64 &random, double mean) -> Duration
{
    auto distribution = std::exponential_distribution<double>(1.0 / mean);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(distribution(random)));
}

} // namespace

auto Model::scheduleArrival(std::size_t caller) -> void
{
    auto &state = this->callers[caller];
    const auto next = this->events.now() + exponential(state.random, 1.0 / state.load.perSecond);
    if (next >= this->begin + this->partOfRun(state.load.until)) {
        return;
    }
    this->events.at(next, [this, caller]() {
        this->arrive(caller);
        this->scheduleArrival(caller);
    });
}

auto Model::arrive(std::size_t caller) -> void
{
    auto &state = this->callers[caller];
    auto uniform = std::uniform_real_distribution<double>(0, 1);
    auto request = Request{.caller = caller};
    request.group = std::stoul(state.load.serviceName.substr(1));
    const auto kind = uniform(state.random);
    if (kind < state.load.writes) {
        request.access = Access::Write;
    } else if (kind < state.load.writes + state.load.tolerant) {
        request.maxAge = this->scenario.maxAge;
    }
    request.service = exponential(state.random, std::chrono::duration<double>(state.load.service).count());
    request.entry = state.random() % this->proxies.size();
    this->send(std::move(request));
}

auto Model::send(Request request) -> void
{
    auto &state = this->callers[request.caller];
    request.sentAt = this->events.now();
    request.owner = this->chooseOwner(request);
    const auto hop = request.owner == request.entry ? Duration::zero() : this->latency(request.entry, request.owner);
    const auto way = this->scenario.clientLatency + hop;
    request.deadline = request.sentAt + this->scenario.allowed - way;
    const auto seen = state.seen.find(request.group);
    if (request.access == Access::Read && seen != state.seen.end()) {
        request.needed = seen->second;
    }
    this->recorder.offered(state.load.name, request.sentAt, request.returns > 0);
    this->events.after(way, [this, request = std::move(request)]() mutable {
        this->submit(std::move(request));
    });
}

auto Model::answer(WorkId id, bool served) -> void
{
    auto node = this->requests.extract(id);
    auto request = std::move(node.mapped());
    this->leaveOwner(request, this->events.now() - request.submittedAt);
    if (!served) {
        if (request.access == Access::Read) {
            this->retryRead(std::move(request));
        } else {
            this->recorder.failed(request.sentAt);
        }
        return;
    }
    auto &state = this->callers[request.caller];
    auto &group = this->groups[request.group];
    if (request.access == Access::Write) {
        ++group.position;
        group.positions.emplace_back(this->events.now(), group.position);
        state.seen[request.group] = {group.term, LogPosition(group.position)};
    }
    const auto hop = request.owner == request.entry ? Duration::zero() : this->latency(request.entry, request.owner);
    const auto latency = this->events.now() + hop + this->scenario.clientLatency - request.sentAt;
    const auto read = request.access == Access::Read;
    this->recorder.answered({.caller = state.load.name,
                             .latency = latency,
                             .inTime = latency <= this->scenario.allowed,
                             .write = !read,
                             .read = read,
                             .byReplica = read && this->view.groups[request.group].primary != request.upstream,
                             .returned = request.returns > 0,
                             .at = request.sentAt});
}

auto Model::retryRead(Request request) -> void
{
    if (request.attempt + 1 >= readAttempts) {
        this->recorder.failed(request.sentAt);
        return;
    }
    ++request.attempt;
    auto uniform = std::uniform_real_distribution<double>(0, 1);
    const auto delay = decisions::retryDelay(request.attempt, uniform(this->random));
    this->events.after(delay, [this, request = std::move(request)]() mutable {
        this->submit(std::move(request));
    });
}

auto Model::leaveOwner(const Request &request, Duration latency) -> void
{
    if (request.target && request.attempt == 0) {
        this->proxies[request.entry].router.recordEnded(*request.target, latency, this->events.now());
    }
}

auto Model::refuse(WorkId id, const decisions::Refuse &refusal) -> void
{
    auto node = this->requests.extract(id);
    auto request = std::move(node.mapped());
    this->leaveOwner(request, request.deadline - request.submittedAt);
    // submit() marks accepted work after the fact; what is refused in the same call was never accepted.
    this->recorder.refused(std::string(describe(refusal.reason).label), request.sentAt, !request.accepted);
    if (this->scenario.returns == 0) {
        return;
    }
    const auto most = std::abs(this->scenario.returns);
    if (request.returns >= most) {
        return;
    }
    const auto told = this->scenario.returns > 0 && refusal.retryAfter;
    const auto back = this->scenario.clientLatency + (told ? Duration(*refusal.retryAfter) : Duration::zero());
    this->comeBack(std::move(request), back);
}

auto Model::comeBack(Request request, Duration wait) -> void
{
    ++request.returns;
    request.attempt = 0;
    request.accepted = false;
    request.needed.reset();
    this->events.after(wait, [this, request = std::move(request)]() mutable {
        this->send(std::move(request));
    });
}

} // namespace sapphirespool::loadmodel
