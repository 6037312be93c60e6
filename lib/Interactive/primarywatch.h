// primarywatch.h: decides when an unresponsive primary is probed.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace sapphirespool::interactive
{

/// Detects an upstream that becomes unresponsive while statements wait for it.
///
/// Failure: a primary loses power or its network path. No connection is reset, so each statement waits until its deadline, a second or
/// more, and the failure is detected only then; the promotion begins that much later for all callers. A single statement may just be slow,
/// and a single answer may be lost. So only an upstream that has answered nothing at all for a while is probed, by a new connection. It is
/// suspected only if the probe fails.
class PrimaryWatch
{
public:
    /// Time without an answer after which an upstream is probed, and interval of further probes while it stays unresponsive: several
    /// times the duration of most statements.
    static constexpr auto probeAfter = std::chrono::milliseconds(150);
    /// Time without an answer after which the probe also requires the upstream's greeting. Without it, an upstream that accepts connections
    /// and does no work would never be detected.
    static constexpr auto thoroughProbeAfter = std::chrono::milliseconds(400);

    /// An upstream to probe.
    /// `thorough` says whether it must also send its greeting.
    struct Probe
    {
        UpstreamId upstream;
        bool thorough = false;

        auto operator==(const Probe &) const -> bool = default;
    };

    /// Records that a statement was sent.
    auto sent(const UpstreamId &upstream, TimePoint now) -> void;

    /// Records the end of a statement.
    /// \param answered whether the upstream answered it
    auto ended(const UpstreamId &upstream, bool answered, TimePoint now) -> void;

    /// \return the upstreams to probe now; \p now is recorded as the time of their last probe
    [[nodiscard]] auto due(TimePoint now) -> std::vector<Probe>;

    /// \return whether any statement is outstanding
    [[nodiscard]] auto isActive() const -> bool;

private:
    struct Upstream
    {
        std::size_t outstanding = 0;
        /// When it last answered, or when the first statement was sent after a time without outstanding ones.
        TimePoint lastActivity{};
        TimePoint lastProbe{};
    };

    std::map<UpstreamId, Upstream> upstreams;
};

} // namespace sapphirespool::interactive
