// primarywatch.h: decides when a primary that does not answer is worth a look.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace sapphirespool::interactive
{

/// Notices an upstream that falls silent while statements wait for it.
///
/// Failure: a primary loses its power or its way. Nothing is reset, so that each statement waits for its whole time, a second or more,
/// and only then somebody learns of it; the promotion begins that much later for all callers. A single statement may just be slow, and
/// a single answer may be lost: only an upstream that has answered nothing at all for a while is looked at, by a new connection. One
/// that takes the connection is well; only one that does not is suspected.
class PrimaryWatch
{
public:
    /// Silence after which an upstream is looked at, and again as long as it lasts: several times what most statements take.
    static constexpr auto silence = std::chrono::milliseconds(150);
    /// Silence after which it must also greet: one that takes connections and does no work would else never be noticed.
    static constexpr auto longSilence = std::chrono::milliseconds(400);

    /// An upstream to look at.
    struct Look
    {
        UpstreamId upstream;
        bool thorough = false;

        auto operator==(const Look &) const -> bool = default;
    };

    auto sent(const UpstreamId &upstream, TimePoint now) -> void;
    /// A statement came to an end.
    /// \param answered whether by an answer of the upstream
    auto ended(const UpstreamId &upstream, bool answered, TimePoint now) -> void;

    /// \return the upstreams to look at now; each of them counts as looked at
    [[nodiscard]] auto due(TimePoint now) -> std::vector<Look>;

    /// \return whether any statement is under way
    [[nodiscard]] auto isActive() const -> bool;

private:
    struct Upstream
    {
        std::size_t outstanding = 0;
        /// When it last answered, or the oldest statement since then was sent.
        TimePoint since{};
        /// When it was last looked at.
        TimePoint looked{};
    };

    std::map<UpstreamId, Upstream> upstreams;
};

} // namespace sapphirespool::interactive
