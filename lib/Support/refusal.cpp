#include "sapphirespool/Support/refusal.h"

#include <array>
#include <cassert>
#include <cstddef>

namespace sapphirespool
{

namespace
{

constexpr auto descriptions = std::to_array<RefusalDescription>({
    {RefusalReason::MalformedRequest, "malformed_request", 400, "correct the request as the detail says and send it again"},
    {RefusalReason::RequestTooLarge, "request_too_large", 413, "send a smaller request or raise the limit in the settings"},
    {RefusalReason::UnknownService, "unknown_service", 404, "use a service of the configuration or add it with apply"},
    {RefusalReason::UnknownTransaction, "unknown_transaction", 404, "begin a new transaction"},
    {RefusalReason::UnknownPath, "unknown_path", 404, "use a path of the API as the README lists them"},
    {RefusalReason::TransactionEnded, "transaction_ended", 409, "begin a new transaction and repeat all of its statements"},
    {RefusalReason::QueueFull, "queue_full", 503, "send it again after the time in Retry-After"},
    {RefusalReason::DeadlineUnreachable, "deadline_unreachable", 503, "send it again after the time in Retry-After or allow more time"},
    {RefusalReason::DeadlineExceeded, "deadline_exceeded", 504, "allow more time or send it again later"},
    {RefusalReason::NoPrimary, "no_primary", 503, "send it again after the time in Retry-After; a promotion is under way"},
    {RefusalReason::NoUpstream, "no_upstream", 503, "check that the upstreams of the group run and announce themselves"},
    {RefusalReason::ConnectionLimit, "connection_limit", 503, "send it again after the time in Retry-After"},
    {RefusalReason::ConnectFailed, "connect_failed", 503, "send it again; check the upstream if it persists"},
    {RefusalReason::StaleView, "stale_view", 503, "send it again, to another proxy if it persists"},
    {RefusalReason::Draining, "draining", 503, "send it again; the balancer picks another proxy"},
    {RefusalReason::DependencyRefusing, "dependency_refusing", 503, "send it again after the time in Retry-After"},
    {RefusalReason::KeyHoldersUnreachable, "key_holders_unreachable", 503, "send it again with the same key"},
    {RefusalReason::KeyInProgress, "key_in_progress", 409, "send it again with the same key after the time in Retry-After"},
    {RefusalReason::KeyReused, "key_reused", 422, "use a new key for a different request"},
    {RefusalReason::AnswerLost, "answer_lost", 502, "read the data to learn whether it ran before sending it anew"},
    {RefusalReason::NotConfirmed, "not_confirmed", 504, "read the data to learn whether it ran before sending it anew"},
    {RefusalReason::TransactionHolderLost, "transaction_holder_lost", 410, "it was rolled back; begin a new transaction and repeat all of it"},
    {RefusalReason::StatementFailed, "statement_failed", 422, "correct the statement as the detail says"},
    {RefusalReason::PeerUnreachable, "peer_unreachable", 503, "send it again"},
    {RefusalReason::UnknownKey, "unknown_key", 401, "send an API key of a customer of the configuration"},
    {RefusalReason::CallerOverQuota, "caller_over_quota", 429, "send less or wait for the time in Retry-After"},
    {RefusalReason::RetryBudgetSpent, "retry_budget_spent", 503, "wait before sending it again; too many of the service's requests are retries"},
    {RefusalReason::ControlUnreachable, "control_unreachable", 503, "send it again with the same change id; check the control VMs if it persists"},
    {RefusalReason::RevisionConflict, "revision_conflict", 412, "read the current configuration, apply the change to it and send it on its revision"},
    {RefusalReason::ConfigurationInvalid, "configuration_invalid", 422, "correct the text as the detail says"},
    {RefusalReason::Internal, "internal", 500, "report it with the log of the proxy"},
});

} // namespace

auto describe(RefusalReason reason) -> const RefusalDescription &
{
    const auto index = static_cast<std::size_t>(reason);
    assert(index < descriptions.size() && "each reason has a description");
    assert(descriptions[index].reason == reason && "descriptions stand in the order of the enumeration");
    return descriptions[index];
}

auto refusalDescriptions() -> std::span<const RefusalDescription>
{
    return descriptions;
}

auto name(Executed executed) -> std::string_view
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace sapphirespool
