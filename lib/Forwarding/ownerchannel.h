// ownerchannel.h: this proxy's connection to another one that owns links.
#pragma once

#include "framedconnection.h"

#include "sapphirespool/Interactive/positionproofs.h"
#include "sapphirespool/Interactive/upstreamlink.h"
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

/// Returns a link that another proxy holds; does nothing with other links.
auto giveBack(interactive::UpstreamLink &link, bool clean) -> void;

/// Asks one owner for links and runs commands on them. Connects when it is first needed, and again after a failure.
class OwnerChannel : public std::enable_shared_from_this<OwnerChannel>
{
public:
    /// A link, or why there is none, with the owner's load at the upstream.
    struct AcquireResult
    {
        std::variant<std::shared_ptr<interactive::UpstreamLink>, interactive::FailureReply> link;
        /// Whether the owner answered at all.
        bool answered = false;
        /// Whether it is no owner by its own view.
        bool notOwner = false;
        std::uint32_t load = 0;
    };

    OwnerChannel(const boost::asio::any_io_executor &executor, Endpoint endpoint);

    auto acquire(Acquire request) -> boost::asio::awaitable<AcquireResult>;

    /// Runs commands on the link of \p lease.
    auto exchange(std::uint64_t lease, Exchange request) -> boost::asio::awaitable<interactive::ExchangeResult>;

    auto release(std::uint64_t lease, Release request) -> void;

    /// Asks the owner for a proof of how far a group's log has come.
    auto prove(Prove request) -> boost::asio::awaitable<std::optional<interactive::PositionProof>>;

    auto close() -> void;

    /// \return whether the owner is worth asking: it has not failed since it was last heard
    [[nodiscard]] auto isWorthAsking() const -> bool;

    /// The owner has started anew: what was noted of it before counts no more.
    auto startedAnew() -> void;

    /// \return number of the connection, which leases do not outlive; 0 while there is none
    [[nodiscard]] auto generation() const -> std::uint64_t;

private:
    /// What an owner's silence means for a question.
    enum class Silence {
        /// The question is given up: nothing was run, or what was run does not last.
        GivesUp,
        /// The answer is waited for to the end of its time, since without it a caller is left in doubt.
        IsEndured,
    };

    /// A coroutine that waits for an answer.
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }

        boost::asio::steady_timer timer;
        std::optional<Message> answer;
    };

    /// \return whether there is a connection
    auto connect(Duration limit) -> boost::asio::awaitable<bool>;
    auto received(Message message) -> void;
    auto ended() -> void;
    auto noteFailure() -> void;
    auto noteBack() -> void;
    /// Looks for an owner that failed until it answers.
    static auto lookForOwner(std::shared_ptr<OwnerChannel> self) -> boost::asio::awaitable<void>;
    /// Connects if need be, and waits for a sign of life.
    auto look() -> boost::asio::awaitable<void>;
    auto answersPing() -> boost::asio::awaitable<bool>;
    /// Sends \p message and waits for its answer.
    /// \param silence whether to go on waiting for an owner that gives no sign of life
    /// \return nothing if none came in time
    auto ask(Message message, Duration limit, Silence silence) -> boost::asio::awaitable<std::optional<Message>>;
    /// Waits until \p waiter has its answer, \p limit is over, the connection ends, or the owner proves to be silent.
    auto awaitSignOfLife(std::shared_ptr<Waiter> waiter, Duration limit) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto isPending(const Waiter &waiter, std::uint64_t atGeneration) const -> bool;

    boost::asio::any_io_executor executor;
    Endpoint endpoint;
    /// When the owner last sent anything.
    TimePoint heardAt{};
    std::shared_ptr<FramedConnection> connection;
    std::uint64_t connectionNumber = 0;
    std::uint64_t lastLease = 0;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    /// Coroutines that wait for the connection that is being made.
    std::shared_ptr<boost::asio::steady_timer> connecting;
    support::Presence presence;
    /// Lines on an owner that comes and goes by turns.
    support::LogBudget lines{1.0};
    /// Whether the owner is being looked for.
    bool looking = false;
    bool closed = false;
};

} // namespace sapphirespool::forwarding
