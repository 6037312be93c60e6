#include "keyguard.h"

#include "gathering.h"

#include "sapphirespool/Proxy/outcomecodec.h"

#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <utility>

namespace sapphirespool::proxy
{

namespace
{

/// When a resend after unreachable holders has a chance: control takes a proxy that died out of the view within seconds.
constexpr auto holdersRetry = std::chrono::milliseconds(1000);

auto fingerprintOf(const StatementRequest &request) -> sessions::Fingerprint
{
    auto text = request.statement.sql + "\n" + boost::json::serialize(request.statement.params);
    text += request.statement.access == Access::Write ? "w" : "r";
    return sessions::Fingerprint(XXH64(text.data(), text.size(), 0));
}

/// Whether a resend under the same key may run: only after an end that proves that nothing ran for want of an upstream.
auto leavesKeyFree(const Outcome &outcome) -> bool
{
    if (std::holds_alternative<NotRun>(outcome)) {
        return true;
    }
    const auto *const error = std::get_if<StatementError>(&outcome);
    return error != nullptr && error->executed == Executed::No && error->reason != RefusalReason::StatementFailed;
}

} // namespace

KeyGuard::KeyGuard(VmId self, Incarnation incarnation, std::shared_ptr<PeerCalls> peers, boost::asio::any_io_executor executor, ProxyLimits limits)
    : self(std::move(self))
    , incarnation(incarnation)
    , peers(std::move(peers))
    , executor(std::move(executor))
    , limits(limits)
{
}

auto KeyGuard::begin(std::shared_ptr<const membership::ClusterView> view, StatementRequest request, TimePoint deadline)
    -> boost::asio::awaitable<KeyStartOutcome>
{
    auto ticket = KeyTicket();
    ticket.key = sessions::makeKeyName(request.service, *request.key);
    const auto number = ++this->attempts;
    ticket.attempt = sessions::AttemptId(this->self.value() + "~" + std::to_string(this->incarnation.value()) + "~" + std::to_string(number));
    ticket.holders = holdersOf(*view, ticket.key.value(), sessions::keyCopies);
    auto start = sessions::KeyStart();
    start.key = ticket.key;
    start.attempt = ticket.attempt;
    start.fingerprint = fingerprintOf(request);
    start.allowed = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto decision = co_await this->decide(ticket, std::move(start));
    if (std::holds_alternative<sessions::MaySend>(decision)) {
        co_return ticket;
    }
    this->abandon(ticket);
    if (const auto *const finished = std::get_if<sessions::AlreadyFinished>(&decision)) {
        auto recorded = decodeReply(finished->outcome);
        if (recorded) {
            co_return std::move(*recorded);
        }
        co_return Reply{StatementError{RefusalReason::AnswerLost, "it ran; its answer was too large to be kept for the key", Executed::Yes}, {}};
    }
    co_return Reply{refused(std::get<sessions::KeyRefusal>(decision)), {}};
}

auto KeyGuard::end(const KeyTicket &ticket, const Reply &reply) -> void
{
    if (leavesKeyFree(reply.outcome)) {
        this->abandon(ticket);
        return;
    }
    auto text = encodeReply(reply);
    if (text.size() > this->limits.keyAnswerBytes) {
        text.clear();
    }
    const auto finish = sessions::KeyFinish{ticket.key, ticket.attempt, std::move(text)};
    for (const auto &holder : ticket.holders) {
        this->peers->finishKey(holder, finish);
    }
}

auto KeyGuard::decide(KeyTicket ticket, sessions::KeyStart start) -> boost::asio::awaitable<sessions::KeyDecision>
{
    using Gathered = Gathering<std::optional<sessions::KeyReply>>;
    const auto gathering = std::make_shared<Gathered>(this->executor, ticket.holders.size());
    for (auto index = std::size_t{0}; index < ticket.holders.size(); ++index) {
        gathering->spawn(index, this->peers->startKey(ticket.holders[index], start));
    }
    auto attempt = sessions::KeyAttempt(ticket.holders.size());
    const auto until = std::chrono::steady_clock::now() + this->peers->timeout();
    auto more = true;
    while (more && !attempt.decision()) {
        more = co_await gathering->waitForOne(until);
        for (auto index = std::size_t{0}; index < ticket.holders.size(); ++index) {
            const auto &answer = gathering->answers()[index];
            if (answer) {
                attempt.handle(index, *answer);
            }
        }
    }
    for (auto index = std::size_t{0}; index < ticket.holders.size(); ++index) {
        attempt.handle(index, std::nullopt);
    }
    co_return *attempt.decision();
}

auto KeyGuard::abandon(const KeyTicket &ticket) -> void
{
    const auto abandon = sessions::KeyAbandon{ticket.key, ticket.attempt};
    for (const auto &holder : ticket.holders) {
        this->peers->abandonKey(holder, abandon);
    }
}

auto KeyGuard::refused(sessions::KeyRefusal refusal) -> Outcome
{
    switch (refusal) {
    case sessions::KeyRefusal::HoldersUnreachable:
        return NotRun{RefusalReason::KeyHoldersUnreachable, "too few of the proxies that keep the key could say whether it was used", holdersRetry};
    case sessions::KeyRefusal::InProgress:
        return OutcomeUnknown{RefusalReason::KeyInProgress, "a request with this key is under way"};
    case sessions::KeyRefusal::OutcomeUnknown:
        return OutcomeUnknown{RefusalReason::AnswerLost, "a request with this key was started and its outcome was lost"};
    case sessions::KeyRefusal::Reused:
        return NotRun{RefusalReason::KeyReused, "the key belongs to a different request"};
    }
    return NotRun{RefusalReason::Internal, "no decision for the key"};
}

} // namespace sapphirespool::proxy
