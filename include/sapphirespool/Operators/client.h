// client.h: an operator's side of the API, for the command line.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <string>
#include <variant>

namespace sapphirespool::operators
{

/// The answer to a request.
struct Reply
{
    /// HTTP status.
    unsigned status = 0;
    std::string body;
};

/// The server gave no whole answer.
struct Unreachable
{
    std::string detail;
};

using ReplyOutcome = std::variant<Reply, Unreachable>;

/// A new text, as it goes out.
struct TextChange
{
    std::string text;
    std::uint64_t base = 0;
    std::string change;
};

/// Speaks to one VM; each call waits for its answer.
class Client
{
public:
    Client(Endpoint server, std::chrono::milliseconds timeout);

    [[nodiscard]] auto putConfiguration(const TextChange &change) const -> ReplyOutcome;
    [[nodiscard]] auto getConfiguration() const -> ReplyOutcome;
    [[nodiscard]] auto getStatus() const -> ReplyOutcome;

private:
    Endpoint server;
    std::chrono::milliseconds timeout;
};

} // namespace sapphirespool::operators
