// keyattempt.h: decides from the holders' replies whether a request with an idempotency key may be sent.
#pragma once

#include "sapphirespool/Sessions/keyrecord.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphirespool::sessions
{

/// No other attempt has been sent or will be, so this one may be sent.
struct MaySend
{
};

/// An earlier attempt has finished with this outcome.
struct AlreadyFinished
{
    std::string outcome;
};

/// Why an attempt must not be sent.
enum class KeyRefusal {
    /// Too few holders replied, or too few of them were authoritative.
    HoldersUnreachable,
    InProgress,
    OutcomeUnknown,
    Reused,
};

using KeyDecision = std::variant<MaySend, AlreadyFinished, KeyRefusal>;

/// State of one attempt at its coordinator, the proxy that received the request.
///
/// Any two sets of replies that allow a send have a holder in common, which recorded only one of the attempts. Of all attempts with
/// one key at most one is therefore sent within the retention time of a record.
class KeyAttempt
{
public:
    /// \param holders number of holders that the KeyStart was sent to
    explicit KeyAttempt(std::size_t holders);

    /// Processes the reply of the holder with index \p holder.
    /// \param reply nothing if the holder did not reply in time
    auto handle(std::size_t holder, std::optional<KeyReply> reply) -> void;

    /// \return the decision once it is made; it does not change afterwards
    [[nodiscard]] auto decision() const -> const std::optional<KeyDecision> &;

private:
    [[nodiscard]] auto decide() const -> std::optional<KeyDecision>;
    [[nodiscard]] auto maySend() const -> bool;
    [[nodiscard]] auto count(KeyState state) const -> std::size_t;
    [[nodiscard]] auto requiredAuthoritativeReplies() const -> std::size_t;

    std::size_t majority;
    std::size_t outstanding;
    std::vector<bool> hasReplied;
    std::vector<KeyReply> replies;
    std::optional<KeyDecision> decided;
};

} // namespace sapphirespool::sessions
