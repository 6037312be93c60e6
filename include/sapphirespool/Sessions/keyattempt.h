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

/// No other attempt has been sent, and none will be: send now.
struct MaySend
{
};

/// An earlier attempt ended; this is its outcome.
struct AlreadyFinished
{
    std::string outcome;
};

/// Why an attempt must not send.
enum class KeyRefusal {
    /// Too few holders answered, or too few could vouch.
    HoldersUnreachable,
    InProgress,
    OutcomeUnknown,
    Reused,
};

using KeyDecision = std::variant<MaySend, AlreadyFinished, KeyRefusal>;

/// One attempt at its coordinator. Any two sets of replies that allow a send share a holder, which recorded only one attempt;
/// so of all attempts with one key at most one is sent within the life of a record.
class KeyAttempt
{
public:
    /// \param holders how many holders were asked
    explicit KeyAttempt(std::size_t holders);

    /// Takes in what the holder of number \p holder said; nothing if it did not answer in time.
    auto handle(std::size_t holder, std::optional<KeyReply> reply) -> void;

    /// \return the decision as soon as it stands; it does not change afterwards
    [[nodiscard]] auto decision() const -> const std::optional<KeyDecision> &;

private:
    [[nodiscard]] auto decide() const -> std::optional<KeyDecision>;
    [[nodiscard]] auto maySend() const -> bool;
    [[nodiscard]] auto count(KeyState state) const -> std::size_t;
    [[nodiscard]] auto neededVouchers() const -> std::size_t;

    std::size_t majority;
    std::size_t outstanding;
    std::vector<bool> heard;
    std::vector<KeyReply> replies;
    std::optional<KeyDecision> decided;
};

} // namespace sapphirespool::sessions
