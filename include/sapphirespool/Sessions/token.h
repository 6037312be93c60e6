// token.h: the token with which a caller carries the positions that its session has seen.
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

/// The latest position that a session has seen in one group.
struct SeenPosition
{
    GroupId group;
    Term term;
    LogPosition position;

    auto operator==(const SeenPosition &) const -> bool = default;
};

/// A session id and the positions that the session's reads must reach.
///
/// The size is bounded: beyond groupLimit the least recently used group is dropped and the token is marked as incomplete.
/// A group that is missing from an incomplete token is read from the primary only.
class SessionToken
{
public:
    /// Maximum number of groups in one token. At about 40 characters each the header stays near 1.3 kB, far below the limit of 16 KiB for a
    /// request's headers.
    static constexpr auto groupLimit = std::size_t{32};

    explicit SessionToken(SessionId id);

    [[nodiscard]] auto id() const -> const SessionId &;
    [[nodiscard]] auto positions() const -> const std::vector<SeenPosition> &;

    /// \return the position in \p group, or nothing if none is known
    [[nodiscard]] auto find(const GroupId &group) const -> const SeenPosition *;

    /// \return whether a group that is missing from the token was never seen by the session
    [[nodiscard]] auto isComplete() const -> bool;
    auto markIncomplete() -> void;

    /// Records that the session has seen \p seen. Keeps the later of two positions in a group; positions compare by term first.
    auto merge(SeenPosition seen) -> void;

    auto operator==(const SessionToken &) const -> bool = default;

private:
    SessionId sessionId;
    /// Ordered by last use, least recent first.
    std::vector<SeenPosition> seen;
    bool complete = true;
};

/// Why a text cannot be decoded as a token.
enum class TokenError {
    Malformed,
    ChecksumMismatch,
    UnknownVersion,
};

/// \return the error message for the caller: what is wrong with the token and how to proceed
[[nodiscard]] auto describe(TokenError error) -> std::string_view;

using DecodedToken = std::variant<SessionToken, TokenError>;

/// \return \p token as text of letters, digits, dots and dashes, valid in headers, cookies and URLs; it begins with the session id
[[nodiscard]] auto encode(const SessionToken &token) -> std::string;

/// Decodes the output of encode(). A session id alone decodes to an incomplete token without positions.
[[nodiscard]] auto decode(std::string_view text) -> DecodedToken;

/// \return a session id that encodes \p random
[[nodiscard]] auto makeSessionId(std::uint64_t random) -> SessionId;

} // namespace sapphirespool::sessions
