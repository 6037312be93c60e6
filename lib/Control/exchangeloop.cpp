#include "exchangeloop.h"

#include "codec.h"
#include "sapphirespool/Rpc/connection.h"
#include "sapphirespool/Support/clock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sapphirespool::control
{

namespace
{

/// Longest interval of the calls; jitter makes it shorter by up to a fifth.
constexpr auto longestInterval = std::chrono::milliseconds(1000);
/// Timeout of a call on an open connection. With the timeout of the connection it is shorter than an interval, so that calls to a VM that
/// does not respond do not accumulate.
constexpr auto callLimit = 500 * kj::MILLISECONDS;
/// VMs that start together listen within 0.3 s of each other; failed calls are repeated at once for longer than that.
constexpr auto startPhase = std::chrono::seconds(2);
constexpr auto startRetryInterval = 100 * kj::MILLISECONDS;

} // namespace

auto distinctOthers(std::vector<Endpoint> endpoints, const Endpoint &self) -> std::vector<Endpoint>
{
    std::sort(endpoints.begin(), endpoints.end());
    endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
    std::erase(endpoints, self);
    return endpoints;
}

ExchangeLoop::ExchangeLoop(rpc::LoopContext &context, ExchangeParts parts)
    : context(context)
    , parts(std::move(parts))
    , random(this->parts.seed)
    , startedAt(support::now())
    , tasks(*this)
{
    this->callNow();
    this->scheduleRound();
}

auto ExchangeLoop::taskFailed(kj::Exception &&) -> void
{
}

auto ExchangeLoop::callNow() -> void
{
    for (const auto &callee : this->parts.callees()) {
        this->call(callee);
    }
}

auto ExchangeLoop::scheduleRound() -> void
{
    const auto longest = longestInterval.count();
    const auto wait = std::uniform_int_distribution<std::int64_t>(longest * 4 / 5, longest)(this->random);
    this->tasks.add(this->context.timer.afterDelay(wait * kj::MILLISECONDS).then([this] {
        this->scheduleRound();
        this->callNow();
    }));
}

auto ExchangeLoop::call(const Endpoint &callee) -> void
{
    this->tasks.add(this->exchange(callee).catch_([this, callee](kj::Exception &&) {
        this->retryAtStart(callee);
    }));
}

auto ExchangeLoop::exchange(const Endpoint &callee) -> kj::Promise<void>
{
    return rpc::connect(this->context, callee, rpc::connectLimit).then([this](kj::Own<rpc::Connection> connected) {
        auto request = connected->bootstrap().castAs<schema::Directory>().exchangeRequest();
        const auto known = this->parts.known();
        write(this->parts.directory, request.initDirectory());
        writeKnown(known, request.initKnown(static_cast<unsigned>(known.size())));
        const auto sentAt = support::now();
        auto answered
            = this->context.timer.timeoutAfter(callLimit, request.send()).then([this, sentAt](capnp::Response<schema::Directory::ExchangeResults> &&response) {
                  auto answer = readKnown(response.getKnown());
                  for (auto &one : answer) {
                      one.age += support::now() - sentAt;
                  }
                  this->parts.onAnswer(std::move(answer));
              });
        return answered.attach(kj::mv(connected));
    });
}

auto ExchangeLoop::retryAtStart(const Endpoint &callee) -> void
{
    if (support::now() - this->startedAt >= startPhase || !this->retried.insert(callee).second) {
        return;
    }
    this->tasks.add(this->context.timer.afterDelay(startRetryInterval).then([this, callee] {
        this->retried.erase(callee);
        this->call(callee);
    }));
}

} // namespace sapphirespool::control
