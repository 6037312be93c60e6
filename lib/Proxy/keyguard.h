// keyguard.h: runs a request with an idempotency key at most once.
#pragma once

#include "peercalls.h"

#include "sapphirespool/Proxy/limits.h"
#include "sapphirespool/Sessions/keyattempt.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sapphirespool::proxy
{

/// Permission to send a request once.
struct KeyTicket
{
    sessions::KeyName key;
    sessions::AttemptId attempt;
    std::vector<membership::ProxyView> holders;
};

/// A ticket, or how the request ends without being sent.
using KeyStartOutcome = std::variant<KeyTicket, Reply>;

/// Records the start of a request with its holders before it is sent, and its end afterwards.
class KeyGuard
{
public:
    KeyGuard(VmId self, Incarnation incarnation, std::shared_ptr<PeerCalls> peers, boost::asio::any_io_executor executor, ProxyLimits limits);

    auto begin(std::shared_ptr<const membership::ClusterView> view, StatementRequest request, TimePoint deadline) -> boost::asio::awaitable<KeyStartOutcome>;

    /// Records \p reply, or frees the key if the request was not run.
    auto end(const KeyTicket &ticket, const Reply &reply) -> void;

private:
    auto decide(KeyTicket ticket, sessions::KeyStart start) -> boost::asio::awaitable<sessions::KeyDecision>;
    auto abandon(const KeyTicket &ticket) -> void;
    [[nodiscard]] static auto refused(sessions::KeyRefusal refusal) -> Outcome;

    VmId self;
    Incarnation incarnation;
    std::shared_ptr<PeerCalls> peers;
    boost::asio::any_io_executor executor;
    ProxyLimits limits;
    std::uint64_t attempts = 0;
};

} // namespace sapphirespool::proxy
