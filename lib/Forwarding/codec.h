// codec.h: the messages between proxies and their Cap'n Proto form.
#pragma once

#include "sapphirespool/Decisions/quotaallocator.h"
#include "sapphirespool/Interactive/upstreamconnection.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphirespool::forwarding
{

/// Requests a lease of a connection to an upstream.
struct Acquire
{
    GroupId group;
    UpstreamId upstream;
    interactive::SessionValues values;
    std::chrono::milliseconds waitLimit{0};
    std::chrono::milliseconds connectLimit{0};
    /// Time within which the caller wants the answer.
    std::chrono::milliseconds objective{0};
    std::uint32_t priority = 0;
    CustomerId customer;
};

struct Acquired
{
    interactive::AppliedState state;
    /// Statements that the owner is running at the upstream, and those that wait for a connection to it.
    std::uint32_t load = 0;
};

/// No lease was granted; nothing was run.
struct Refused
{
    interactive::FailureReply why;
    /// Whether the proxy is not an owner according to its own view; another proxy may be.
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
    interactive::AppliedState state;
};

/// Requests a proof of the current end of the group's log.
struct Prove
{
    GroupId group;
    UpstreamId upstream;
    /// Maximum age of an acceptable proof.
    std::chrono::milliseconds maxAge{0};
    std::chrono::milliseconds limit{0};
};

struct Proved
{
    /// Empty if the upstream gave no proof.
    std::optional<interactive::DataPosition> position;
    /// Time between the request to the upstream and this answer, by the clock of the proxy that answers. The clocks of two proxies cannot
    /// be compared, durations can.
    std::chrono::milliseconds age{0};
};

/// Checks that the receiver is responsive.
struct Ping
{
};

struct Pong
{
};

/// Takes one operation out of the part of a customer's quota that the receiver allocates.
struct TakeQuota
{
    CustomerId customer;
    /// Longest time that the operation may wait for room.
    std::chrono::microseconds maxWait{0};
};

struct QuotaTaken
{
    decisions::QuotaDecision decision;
};

using Body = std::variant<Acquire, Acquired, Refused, Exchange, Exchanged, Release, Prove, Proved, Ping, Pong, TakeQuota, QuotaTaken>;

struct Message
{
    /// Number of the lease, or of the request for Prove, Ping and TakeQuota; assigned by the requesting proxy.
    std::uint64_t lease = 0;
    Body body;
};

[[nodiscard]] auto encode(const Message &message) -> std::string;

/// \return the message, or nothing if \p bytes are not a valid message
[[nodiscard]] auto decode(std::string_view bytes) -> std::optional<Message>;

} // namespace sapphirespool::forwarding
