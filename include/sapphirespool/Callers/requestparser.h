// requestparser.h: checks what callers send, before anything else sees it.
#pragma once

#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Support/refusal.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sapphirespool::callers
{

/// The parts of an HTTP request that matter here; absent headers are nothing.
struct RawRequest
{
    std::string_view method;
    std::string_view target;
    std::optional<std::string_view> session;
    std::optional<std::string_view> cookie;
    std::optional<std::string_view> key;
    std::optional<std::string_view> maxAge;
    std::optional<std::string_view> timeout;
    /// A header of ours that came more than once; its name.
    std::optional<std::string_view> repeatedHeader;
    std::string_view body;
};

/// Name of the cookie that carries the session token.
inline constexpr auto sessionCookie = std::string_view("Sapphirespool-Session");

/// Longest `Idempotency-Key`; enough for any UUID or hash in use, and small beside the answer that is kept with it.
inline constexpr auto longestKey = std::size_t{255};

/// A request that is refused with nothing sent anywhere.
struct BadRequest
{
    RefusalReason reason;
    std::string detail;
};

using ParsedRequest = std::variant<proxy::StatementRequest, proxy::BeginRequest, proxy::TransactionRequest, BadRequest>;

/// \return the request in \p raw, or what is wrong with it. Reads nothing but \p raw.
[[nodiscard]] auto parseStatementRequest(const RawRequest &raw) -> ParsedRequest;

} // namespace sapphirespool::callers
