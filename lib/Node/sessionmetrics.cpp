#include "sessionmetrics.h"

#include <utility>

namespace sapphirespool::node
{

namespace
{

using interactive::Failure;

/// \return the reason under which the refusals page lists \p failure
auto reasonOf(Failure failure) -> RefusalReason
{
    switch (failure) {
    case Failure::Busy:
        return RefusalReason::QueueFull;
    case Failure::Aborted:
        return RefusalReason::TransactionEnded;
    case Failure::Lagging:
        return RefusalReason::NoUpstream;
    case Failure::ReadOnly:
        return RefusalReason::NoPrimary;
    case Failure::WrongUpstream:
    case Failure::Unreachable:
        return RefusalReason::ConnectFailed;
    case Failure::ConnectionLimit:
        return RefusalReason::ConnectionLimit;
    case Failure::InDoubt:
        return RefusalReason::AnswerLost;
    case Failure::TimedOut:
        return RefusalReason::DeadlineExceeded;
    case Failure::Failed:
        return RefusalReason::StatementFailed;
    case Failure::Malformed:
    case Failure::UnknownName:
        return RefusalReason::MalformedRequest;
    case Failure::UnknownDatabase:
        return RefusalReason::UnknownService;
    case Failure::Denied:
        return RefusalReason::UnknownKey;
    case Failure::OverQuota:
        return RefusalReason::CallerOverQuota;
    }
    return RefusalReason::Internal;
}

auto retryReasonOf(Failure failure) -> metrics::RetryReason
{
    switch (failure) {
    case Failure::ReadOnly:
        return metrics::RetryReason::WrongTerm;
    case Failure::Busy:
    case Failure::ConnectionLimit:
        return metrics::RetryReason::UpstreamBusy;
    case Failure::TimedOut:
        return metrics::RetryReason::ReadAnswerLost;
    case Failure::WrongUpstream:
    case Failure::Unreachable:
        return metrics::RetryReason::ConnectFailed;
    default:
        return metrics::RetryReason::NotSent;
    }
}

class SessionMetrics : public interactive::SessionRecorder
{
public:
    explicit SessionMetrics(std::shared_ptr<metrics::Metrics> metrics)
        : metrics(std::move(metrics))
    {
    }

    auto served(const ServiceId &service, Access access, bool byPrimary, Duration latency) -> void override
    {
        this->metrics->recordLatency(service, access, byPrimary ? metrics::ServedRole::Primary : metrics::ServedRole::Replica, latency);
    }

    auto refused(const ServiceId &service, Failure failure) -> void override
    {
        this->metrics->countRefusal(service, reasonOf(failure));
    }

    auto retried(const ServiceId &service, Failure because) -> void override
    {
        this->metrics->countRetry(service, retryReasonOf(because));
    }

private:
    std::shared_ptr<metrics::Metrics> metrics;
};

} // namespace

auto makeSessionMetrics(std::shared_ptr<metrics::Metrics> metrics) -> std::shared_ptr<interactive::SessionRecorder>
{
    return std::make_shared<SessionMetrics>(std::move(metrics));
}

} // namespace sapphirespool::node
