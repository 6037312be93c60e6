// positionwatch.h: learns how far the members of a group have come.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace sapphirespool::upstreams
{

/// How the wait for a second member ended.
enum class Confirmation {
    /// A member other than the primary holds the position durably, in the same term.
    Confirmed,
    /// The deadline passed first.
    TimedOut,
    /// The group is in a later term: the write may be lost.
    TermEnded,
};

/// Watches the members of all groups that have work; one watch for each member carries all writes in flight.
/// All calls on the dispatch thread.
class PositionWatch
{
public:
    PositionWatch() = default;
    PositionWatch(const PositionWatch &) = delete;
    auto operator=(const PositionWatch &) -> PositionWatch & = delete;
    virtual ~PositionWatch() = default;

    /// Waits until a second member of \p group confirms \p position in \p term.
    virtual auto confirm(GroupId group, Term term, LogPosition position, TimePoint deadline) -> boost::asio::awaitable<Confirmation> = 0;

    /// Tells the watch which members to ask.
    virtual auto viewChanged(std::shared_ptr<const membership::ClusterView> view) -> void = 0;

    /// Calls \p observer with each report, so that reads can be routed by what replicas hold.
    virtual auto observe(std::function<void(const GroupId &, const platform::PositionReport &)> observer) -> void = 0;
};

/// Asks one member for its position; the seam at which tests put their own members.
class PositionSource
{
public:
    PositionSource() = default;
    PositionSource(const PositionSource &) = delete;
    auto operator=(const PositionSource &) -> PositionSource & = delete;
    virtual ~PositionSource() = default;

    /// \return the report, as soon as the member's term differs from \p term or its position is above \p above, or after
    /// \p wait; nothing if none came
    virtual auto poll(Term term, LogPosition above, std::chrono::milliseconds wait) -> boost::asio::awaitable<std::optional<platform::PositionReport>> = 0;
};

using PositionSourceMaker = std::function<std::shared_ptr<PositionSource>(const Endpoint &)>;

/// \return a watch that asks members by what \p makeSource gives
[[nodiscard]] auto makePositionWatch(boost::asio::any_io_executor executor, PositionSourceMaker makeSource) -> std::shared_ptr<PositionWatch>;

/// \return a watch that asks members over HTTP by long polls
[[nodiscard]] auto makeHttpPositionWatch(boost::asio::any_io_executor executor) -> std::shared_ptr<PositionWatch>;

} // namespace sapphirespool::upstreams
