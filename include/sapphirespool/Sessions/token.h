// token.h: the token by which a caller carries what its session has seen.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphirespool::sessions
{

/// How far a session has come in one group.
struct SeenPosition
{
    GroupId group;
    Term term;
    LogPosition position;

    auto operator==(const SeenPosition &) const -> bool = default;
};

/// A session and the positions that its reads must not fall behind.
///
/// Its size is bounded: beyond the bound the group that was seen longest ago is dropped and the token is marked as incomplete.
/// A group that an incomplete token does not name is read at the primary only.
class SessionToken
{
public:
    /// Groups in one token. At about 40 characters each the header stays near 1.3 kB, far below the 16 KiB of a request's headers.
    static constexpr auto groupLimit = std::size_t{32};

    explicit SessionToken(SessionId id);

    [[nodiscard]] auto id() const -> const SessionId &;
    [[nodiscard]] auto positions() const -> const std::vector<SeenPosition> &;

    /// \return the position in \p group, or nothing if none is known
    [[nodiscard]] auto find(const GroupId &group) const -> const SeenPosition *;

    /// \return whether a group that is not named was never seen by the session
    [[nodiscard]] auto isComplete() const -> bool;
    auto markIncomplete() -> void;

    /// Takes in that the session has seen \p seen. The later of two positions stays; a later term is later at any position.
    auto merge(SeenPosition seen) -> void;

    auto operator==(const SessionToken &) const -> bool = default;

private:
    SessionId sessionId;
    /// Ordered by last use.
    std::vector<SeenPosition> seen;
    bool complete = true;
};

/// Why a text is no token.
enum class TokenError {
    Malformed,
    ChecksumMismatch,
    UnknownVersion,
};

/// What is wrong with a token, and what to do.
[[nodiscard]] auto describe(TokenError error) -> std::string_view;

using DecodedToken = std::variant<SessionToken, TokenError>;

/// \return \p token as text of letters, digits, dots and dashes, fit for headers, cookies and addresses; it begins with the session id
[[nodiscard]] auto encode(const SessionToken &token) -> std::string;

/// Reads what encode() wrote. A session id alone gives an incomplete token without positions.
[[nodiscard]] auto decode(std::string_view text) -> DecodedToken;

/// \return a session id made of \p random
[[nodiscard]] auto makeSessionId(std::uint64_t random) -> SessionId;

} // namespace sapphirespool::sessions
