// linkpool.h: this proxy's links to upstreams, shared by its sessions.
#pragma once

#include "sapphirespool/Interactive/positionproofs.h"
#include "sapphirespool/Interactive/upstreamlink.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
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

/// A lease, or why there is none; nothing was run then.
using LeaseResult = std::variant<LinkLease, FailureReply>;

/// What the links to one upstream are doing.
struct LinkCounts
{
    std::size_t idle = 0;
    /// In use or being opened.
    std::size_t busy = 0;
    std::size_t waiting = 0;
};

/// Links by upstream, never more than the limit of each. All calls come on the executor.
class LinkPool
{
public:
    /// Requests that may wait for a link to one upstream. Some hundred statements of tens of milliseconds on a handful of links are
    /// seconds of work: who would wait behind them is better served elsewhere.
    static constexpr auto waitingLimit = std::size_t{128};

    LinkPool() = default;
    LinkPool(const LinkPool &) = delete;
    auto operator=(const LinkPool &) -> LinkPool & = delete;
    virtual ~LinkPool() = default;

    /// Takes a link, the one that has the values \p wanted if there is one; opens one if the limit allows; else waits.
    /// \param patience longest wait for a link to come free
    /// \param connectLimit time that opening one may take
    virtual auto acquire(GroupId group, membership::UpstreamView upstream, const SessionValues &wanted, Duration patience, Duration connectLimit)
        -> boost::asio::awaitable<LeaseResult>
        = 0;

    /// Opens a connection to \p upstream beside the pool, and closes it at once.
    /// \return why it did not come about; nothing if it did
    virtual auto probe(GroupId group, membership::UpstreamView upstream, Duration limit) -> boost::asio::awaitable<std::optional<FailureReply>> = 0;

    /// Has \p upstream prove how far its group's log has come, if it is the primary: a transaction that may write is begun and rolled back,
    /// which only a primary accepts and which takes none of its slots.
    /// \param oldest age of a proof that will do
    /// \return nothing if it is not the primary, or does not say so within \p limit
    virtual auto prove(GroupId group, membership::UpstreamView upstream, Duration oldest, Duration limit)
        -> boost::asio::awaitable<std::optional<PositionProof>>
        = 0;

    /// \param limit links that this proxy may have open to \p upstream; with 0 nothing of it is kept
    virtual auto setLimit(const UpstreamId &upstream, std::size_t limit) -> void = 0;

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
