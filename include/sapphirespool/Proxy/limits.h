// limits.h: the figures of the traffic path that operators may set.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sapphirespool::proxy
{

/// Bounds on what a caller may ask for, and how long the proxy keeps what it knows.
struct ProxyLimits
{
    /// Longest time that a caller may allow for one request; a longer one is cut to it. Ten minutes hold a nightly report.
    std::chrono::milliseconds longestTimeout{600'000};
    /// Attempts of one request, the first included. Three reach another upstream twice; more only add load to a group in trouble.
    std::uint32_t attempts = 3;
    /// Pause before a request is tried again after an upstream answered that it is in another term: about one heartbeat of control.
    std::chrono::milliseconds retryPause{20};
    /// Time that a transaction may stay without a statement. It holds one of 2 to 5 slots meanwhile.
    std::chrono::milliseconds transactionIdle{10'000};
    /// Time for which the outcome of an ended transaction is kept for a resent commit.
    std::chrono::milliseconds transactionMemory{60'000};
    /// Time for which an `Idempotency-Key` is remembered. Callers that resend later may run the request twice.
    std::chrono::milliseconds keyLife{600'000};
    /// Time after its start in which a proxy does not vouch that it has never seen a key. Below keyLife only where no proxy ran before.
    std::chrono::milliseconds keyWarmup{600'000};
    /// Largest answer that is kept for a key; a resend of a larger one learns that it ran.
    std::size_t keyAnswerBytes = 64 * 1024;
    /// Keys that a proxy holds; at 64 KiB each they stay below the 128 MB of a node only because most answers are short.
    std::size_t keys = 20'000;
    /// Sessions whose positions a proxy holds for callers without a token.
    std::size_t homeSessions = 200'000;
    /// Time that a call to another proxy may take, apart from forwarded statements. Far above the 3 ms of a round trip between zones.
    std::chrono::milliseconds peerTimeout{250};
};

} // namespace sapphirespool::proxy
