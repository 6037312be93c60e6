// refusal.h: the reasons for which a request gets no ordinary answer.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sapphirespool
{

/// Whether a request took effect, as far as the system knows.
enum class Executed {
    No,
    Yes,
    Unknown,
};

/// Each reason for a refusal. Answers, counter labels and docs take their words from describe().
enum class RefusalReason {
    MalformedRequest,
    RequestTooLarge,
    UnknownService,
    UnknownTransaction,
    UnknownPath,
    TransactionEnded,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExceeded,
    NoPrimary,
    NoUpstream,
    ConnectionLimit,
    ConnectFailed,
    StaleView,
    Draining,
    DependencyRefusing,
    KeyHoldersUnreachable,
    KeyInProgress,
    KeyReused,
    AnswerLost,
    NotConfirmed,
    TransactionHolderLost,
    StatementFailed,
    PeerUnreachable,
    UnknownKey,
    CallerOverQuota,
    RetryBudgetSpent,
    ControlUnreachable,
    RevisionConflict,
    ConfigurationInvalid,
    Internal,
};

/// What an answer and the docs say about a reason.
struct RefusalDescription
{
    RefusalReason reason;
    /// Label of the counter and value of `reason` in the answer.
    std::string_view label;
    /// HTTP status of the answer.
    int status;
    /// What the caller can do about it.
    std::string_view remedy;
};

/// \return the description of \p reason
[[nodiscard]] auto describe(RefusalReason reason) -> const RefusalDescription &;

/// \return the descriptions of all reasons, in the order of the enumeration
[[nodiscard]] auto refusalDescriptions() -> std::span<const RefusalDescription>;

/// \return "no", "yes" or "unknown"
[[nodiscard]] auto name(Executed executed) -> std::string_view;

/// Refusal of a request of which no byte can have reached an upstream.
///
/// Only code that has not yet sent may create it: it is what makes "not run" true.
struct NotRun
{
    RefusalReason reason;
    /// What happened, lower case, without a full stop.
    std::string detail;
    /// When a resend has a chance, if that is known.
    std::optional<std::chrono::milliseconds> retryAfter = {};
};

/// End of a request that was sent and whose outcome cannot be known.
struct OutcomeUnknown
{
    RefusalReason reason;
    std::string detail;
};

/// End of a request that the upstream ran or rejected with an error of its own.
struct StatementError
{
    RefusalReason reason;
    std::string detail;
    /// Executed::No when the upstream rejected the statement as a whole.
    Executed executed;
};

} // namespace sapphirespool
