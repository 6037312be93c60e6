// ownerchannel.h: client side of the connection to another proxy that owns connections to upstreams.
#pragma once

#include "framedconnection.h"

#include "sapphirespool/Decisions/quotaallocator.h"
#include "sapphirespool/Interactive/positionproofs.h"
#include "sapphirespool/Interactive/upstreamconnection.h"
#include "sapphirespool/Support/logbudget.h"
#include "sapphirespool/Support/presence.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace sapphirespool::forwarding
{

/// Releases a connection that is leased from another proxy; does nothing for other connections.
/// \param clean whether the owner may reuse the connection; otherwise it closes it
auto releaseRemote(interactive::UpstreamConnection &connection, bool clean) -> void;

/// Leases connections from one owner and runs commands on them. Connects on first use, and again after a failure.
///
/// Failure: an owner freezes, or a network partition separates it from this proxy, and its connections stay open. Without pings each
/// statement would wait for it until the time limit. An owner that failed is probed in the background until it answers, so that no
/// statement has to wait in order to detect that it is reachable again.
class OwnerChannel : public std::enable_shared_from_this<OwnerChannel>
{
public:
    /// A connection, or the reason why there is none, with the owner's load at the upstream.
    struct AcquireResult
    {
        std::variant<std::shared_ptr<interactive::UpstreamConnection>, interactive::FailureReply> connection;
        /// Whether the owner answered at all.
        bool answered = false;
        /// Whether it is not an owner according to its own view.
        bool notOwner = false;
        std::uint32_t load = 0;
    };

    OwnerChannel(const boost::asio::any_io_executor &executor, Endpoint endpoint);

    auto acquire(Acquire request) -> boost::asio::awaitable<AcquireResult>;

    /// Runs commands on the connection of \p lease.
    auto exchange(std::uint64_t lease, Exchange request) -> boost::asio::awaitable<interactive::ExchangeResult>;

    auto release(std::uint64_t lease, Release request) -> void;

    /// Requests a proof of the current end of a group's log from the owner.
    auto prove(Prove request) -> boost::asio::awaitable<std::optional<interactive::PositionProof>>;

    /// Takes one operation out of the part of a customer's quota that the proxy allocates. A proxy that does not answer counts as none
    /// that allocates.
    auto takeQuota(CustomerId customer, Duration maxWait, Duration limit) -> boost::asio::awaitable<decisions::QuotaDecision>;

    auto close() -> void;

    /// \return whether no failure was recorded since the last message from the owner
    [[nodiscard]] auto isReachable() const -> bool;

    /// Clears the recorded failure of the owner, which has restarted since.
    auto ownerRestarted() -> void;

    /// \return the number of the current connection, or 0 while there is none; leases do not outlive their connection
    [[nodiscard]] auto generation() const -> std::uint64_t;

private:
    /// How a request treats an owner that becomes unresponsive.
    enum class UnresponsivePolicy {
        /// Abandons the request: nothing was run, or the effects of what was run do not last.
        Abandon,
        /// Waits for the answer until the time limit, since without it the outcome is in doubt for the caller.
        KeepWaiting,
    };

    /// A pending request whose coroutine waits for the answer.
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }

        boost::asio::steady_timer timer;
        std::optional<Message> answer;
    };

    /// Connects, or waits for the attempt that is in progress.
    /// \return whether there is a connection
    auto connect(Duration limit) -> boost::asio::awaitable<bool>;
    auto received(Message message) -> void;
    auto ended() -> void;
    auto noteFailure() -> void;
    auto noteReachable() -> void;
    /// Probes an owner that failed until it answers, with increasing pauses.
    static auto probeUntilReachable(std::shared_ptr<OwnerChannel> self) -> boost::asio::awaitable<void>;
    /// Connects if necessary, and pings the owner.
    auto probe() -> boost::asio::awaitable<void>;
    auto answersPing() -> boost::asio::awaitable<bool>;
    /// Sends \p message and waits for its answer.
    /// \param onUnresponsive what to do if the owner becomes unresponsive
    /// \return the answer, or nothing if none arrived in time
    auto sendRequest(Message message, Duration limit, UnresponsivePolicy onUnresponsive) -> boost::asio::awaitable<std::optional<Message>>;
    /// Waits until \p waiter has its answer, \p limit has passed, the connection ends, or the owner fails to answer a ping.
    auto awaitWithPings(std::shared_ptr<Waiter> waiter, Duration limit) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto isPending(const Waiter &waiter, std::uint64_t atGeneration) const -> bool;

    boost::asio::any_io_executor executor;
    Endpoint endpoint;
    /// Time of the last message from the owner.
    TimePoint lastContactAt{};
    std::shared_ptr<FramedConnection> connection;
    std::uint64_t connectionNumber = 0;
    std::uint64_t lastLease = 0;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    /// Wakes the coroutines that wait for the connection attempt in progress; null while there is none.
    std::shared_ptr<boost::asio::steady_timer> connecting;
    support::Presence presence;
    /// Limits the log lines on an owner that keeps failing and recovering.
    support::LogBudget logBudget{1.0};
    /// Whether the background probe is running.
    bool probing = false;
    bool closed = false;
};

} // namespace sapphirespool::forwarding
