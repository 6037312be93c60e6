// homeguard.h: reads and writes the positions that a session's homes keep.
#pragma once

#include "gathering.h"
#include "peercalls.h"

#include "sapphirespool/Sessions/home.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace sapphirespool::proxy
{

/// An update on its way to both homes.
class HomeRecording
{
public:
    HomeRecording(std::shared_ptr<Gathering<bool>> calls, TimePoint deadline);

    /// \return whether at least one home took it in
    auto finish() -> boost::asio::awaitable<bool>;

private:
    std::shared_ptr<Gathering<bool>> calls;
    TimePoint deadline;
};

/// Keeps read-your-writes for callers that bring their session id and no token.
///
/// A write is told to both homes and counts as told if one took it in; a read asks both and believes them only if both know the
/// session. So a home that missed a write is either corrected by the other one or not believed.
class HomeGuard
{
public:
    HomeGuard(std::shared_ptr<PeerCalls> peers, boost::asio::any_io_executor executor);

    auto record(const membership::ClusterView &view, const HomeUpdate &update) -> HomeRecording;

    /// \return what the session has seen, or nothing if that is not certain
    auto find(std::shared_ptr<const membership::ClusterView> view, HomeQuery query) -> boost::asio::awaitable<std::optional<sessions::TermPosition>>;

private:
    std::shared_ptr<PeerCalls> peers;
    boost::asio::any_io_executor executor;
};

} // namespace sapphirespool::proxy
