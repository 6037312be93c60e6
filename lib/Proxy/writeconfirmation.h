// writeconfirmation.h: decides whether a write that ran may be acknowledged.
#pragma once

#include "homeguard.h"
#include "upstreamaccess.h"

#include "sapphirespool/Sessions/token.h"
#include "sapphirespool/Upstreams/positionwatch.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>

namespace sapphirespool::proxy
{

/// A write that its primary has run.
struct RanWrite
{
    GroupId group;
    Term term;
    LogPosition position;
};

/// Draws session ids that nobody can guess from earlier ones by counting.
class SessionIds
{
public:
    explicit SessionIds(std::uint64_t seed);

    auto draw() -> SessionId;

private:
    std::mt19937_64 random;
};

class WriteConfirmation
{
public:
    WriteConfirmation(std::shared_ptr<UpstreamAccess> access,
                      std::shared_ptr<upstreams::PositionWatch> watch,
                      std::shared_ptr<HomeGuard> homes,
                      std::shared_ptr<SessionIds> ids);

    /// Waits until \p write survives a promotion, and tells the session's homes and \p token of it.
    /// \return nothing if it may be acknowledged
    auto confirm(RanWrite write, sessions::SessionToken &token, TimePoint deadline) -> boost::asio::awaitable<std::optional<OutcomeUnknown>>;

    /// Makes \p token say that a write in \p group may have run at a position that nobody knows.
    auto noteLost(const GroupId &group, sessions::SessionToken &token) -> void;

private:
    auto renew(sessions::SessionToken &token, const GroupId *without) -> void;
    [[nodiscard]] auto isCurrent(const RanWrite &write) const -> bool;

    std::shared_ptr<UpstreamAccess> access;
    std::shared_ptr<upstreams::PositionWatch> watch;
    std::shared_ptr<HomeGuard> homes;
    std::shared_ptr<SessionIds> ids;
};

} // namespace sapphirespool::proxy
