// linkpool.h: this proxy's links to upstreams, shared by its sessions.
#pragma once

#include "sapphirespool/Interactive/positionproofs.h"
#include "sapphirespool/Interactive/upstreamlink.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>

namespace sapphirespool::interactive
{

class LinkPool;

/// The right to use a link. A lease that is dropped closes its link, so that a session that ends in the middle of anything leaves no
/// half-done transaction to the next one; giveBack() is for links that are known to be clean.
class LinkLease
{
public:
    LinkLease(std::weak_ptr<LinkPool> pool, UpstreamId upstream, std::shared_ptr<UpstreamLink> link);
    ~LinkLease();
    LinkLease(const LinkLease &) = delete;
    auto operator=(const LinkLease &) -> LinkLease & = delete;
    LinkLease(LinkLease &&) noexcept = default;
    auto operator=(LinkLease &&other) noexcept -> LinkLease &;

    [[nodiscard]] auto link() const -> UpstreamLink &;
    [[nodiscard]] auto upstream() const -> const UpstreamId &;

    /// Returns the link, outside any transaction, for other sessions to use.
    auto giveBack() -> void;

private:
    auto drop() -> void;

    std::weak_ptr<LinkPool> pool;
    UpstreamId upstreamId;
    std::shared_ptr<UpstreamLink> held;
};

/// What a statement wants of a link, and how its wait is ordered among others'.
struct LinkClaim
{
    /// A link that has these values is preferred.
    SessionValues values;
    /// Longest wait for a link to come free.
    Duration patience{};
    /// Time that opening one may take.
    Duration connectLimit{};
    /// Time until the caller wants the answer.
    Duration objective = std::chrono::hours(1);
    /// As the service says; 0 is served first.
    std::uint32_t priority = 0;
    /// Whether what runs first on the link takes one of the upstream's slots.
    bool takesSlot = true;
};

/// How much of an upstream one proxy may use at a time.
struct LinkLimits
{
    std::size_t links = 0;
    /// Statements that it works on. Few more than it has slots: what waits there waits in its order, not in that of the callers' need.
    std::size_t statements = 0;
};

/// A lease, or why there is none; nothing was run then.
using LeaseResult = std::variant<LinkLease, FailureReply>;

/// What the links to one upstream are doing.
struct LinkCounts
{
    std::size_t idle = 0;
    /// In use or being opened.
    std::size_t busy = 0;
    std::size_t waiting = 0;
    /// Busy links that rest inside a transaction whose caller pauses.
    std::size_t resting = 0;
};

/// Links by upstream, never more than the limit of each. All calls come on the executor.
class LinkPool
{
public:
    LinkPool() = default;
    LinkPool(const LinkPool &) = delete;
    auto operator=(const LinkPool &) -> LinkPool & = delete;
    virtual ~LinkPool() = default;

    /// Takes a link once the upstream has room for another statement; opens one if the limit allows; else waits (decisions::StatementQueue).
    virtual auto acquire(GroupId group, membership::UpstreamView upstream, LinkClaim claim) -> boost::asio::awaitable<LeaseResult> = 0;

    /// Looks from this proxy, beside the pool, whether \p upstream takes connections.
    /// \param thorough whether it must also greet, which takes it some work
    /// \return why it does not, after \p limit at most; nothing if it does
    virtual auto probe(GroupId group, membership::UpstreamView upstream, Duration limit, bool thorough) -> boost::asio::awaitable<std::optional<FailureReply>>
        = 0;

    /// Has \p upstream prove how far its group's log has come, if it is the primary: a transaction that may write is begun and rolled back,
    /// which only a primary accepts and which takes none of its slots.
    /// \param oldest age of a proof that will do
    /// \return nothing if it is not the primary, or does not say so within \p limit
    virtual auto prove(GroupId group, membership::UpstreamView upstream, Duration oldest, Duration limit)
        -> boost::asio::awaitable<std::optional<PositionProof>>
        = 0;

    /// \param limits what this proxy may use of \p upstream; with no links nothing of it is kept
    virtual auto setLimits(const UpstreamId &upstream, const LinkLimits &limits) -> void = 0;

    /// Closes the idle links to \p upstream, and the others as they are given back.
    virtual auto retire(const UpstreamId &upstream) -> void = 0;

    [[nodiscard]] virtual auto counts(const UpstreamId &upstream) const -> LinkCounts = 0;
    [[nodiscard]] virtual auto counts() const -> LinkCounts = 0;

private:
    friend class LinkLease;
    virtual auto returned(const UpstreamId &upstream, std::shared_ptr<UpstreamLink> link, bool clean) -> void = 0;
};

[[nodiscard]] auto makeLinkPool(std::shared_ptr<LinkConnector> connector, boost::asio::any_io_executor executor) -> std::shared_ptr<LinkPool>;

} // namespace sapphirespool::interactive
