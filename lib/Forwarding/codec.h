// codec.h: the messages between proxies and their Cap'n Proto form.
#pragma once

#include "sapphirespool/Interactive/upstreamlink.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphirespool::forwarding
{

/// Asks for a link.
struct Acquire
{
    GroupId group;
    UpstreamId upstream;
    interactive::SessionValues values;
    std::chrono::milliseconds patience{0};
    std::chrono::milliseconds connectLimit{0};
    /// Time until the caller wants the answer.
    std::chrono::milliseconds objective{0};
    std::uint32_t priority = 0;
};

struct Acquired
{
    interactive::LinkState state;
    /// Statements that the owner has at the upstream, or that wait for it.
    std::uint32_t load = 0;
};

/// No link; nothing was run.
struct Refused
{
    interactive::FailureReply why;
    /// Whether the proxy is no owner by its own view; another one may be.
    bool notOwner = false;
};

struct Exchange
{
    std::vector<interactive::Command> commands;
    std::chrono::milliseconds limit{0};
};

struct Exchanged
{
    interactive::ExchangeResult result;
};

struct Release
{
    bool clean = false;
    interactive::LinkState state;
};

/// Asks for a proof of how far the group's log has come.
struct Prove
{
    GroupId group;
    UpstreamId upstream;
    /// Age of a proof that will do.
    std::chrono::milliseconds oldest{0};
    std::chrono::milliseconds limit{0};
};

struct Proved
{
    /// Nothing: the upstream gave no proof.
    std::optional<interactive::DataPosition> position;
    /// How long before the answer the upstream was asked, by the clock of the proxy that answers. Clocks of two proxies cannot be
    /// compared, lengths of time can.
    std::chrono::milliseconds age{0};
};

/// Asks whether the receiver is there.
struct Ping
{
};

struct Pong
{
};

using Body = std::variant<Acquire, Acquired, Refused, Exchange, Exchanged, Release, Prove, Proved, Ping, Pong>;

struct Message
{
    /// Number of the lease, drawn by the proxy that asks.
    std::uint64_t lease = 0;
    Body body;
};

[[nodiscard]] auto encode(const Message &message) -> std::string;

/// \return the message, or nothing if the bytes are none
[[nodiscard]] auto decode(std::string_view bytes) -> std::optional<Message>;

} // namespace sapphirespool::forwarding
