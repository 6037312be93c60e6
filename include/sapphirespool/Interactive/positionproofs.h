// positionproofs.h: proofs of how far a group's log extended at a point in time.
#pragma once

#include "sapphirespool/Interactive/position.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace sapphirespool::interactive
{

/// Proves that each write acknowledged before `sent` is at or below `position`.
struct PositionProof
{
    TimePoint sent;
    DataPosition position;
};

/// Keeps the recent position proofs of a group.
///
/// A primary that answers a write, or a statement of a transaction that only a primary may run, was primary when it answered. Therefore the
/// end of its log at that time covers all writes acknowledged before the request was sent, and a replica whose log contains that position
/// has applied all of them. A read that accepts data of some age needs only a proof that is no older than that. Without kept proofs each
/// such read would cost a round trip to the primary.
class PositionProofs
{
public:
    /// Minimum time between two kept proofs; a closer one would hardly admit additional reads.
    static constexpr auto spacing = std::chrono::milliseconds(20);
    /// Age after which a proof is dropped. It would admit no read, since the longest age that callers accept is a few seconds.
    static constexpr auto longestAge = std::chrono::milliseconds(10'000);

    /// \param sent when the request was sent to the primary
    /// \param position end of the log in its answer
    auto record(TimePoint sent, const DataPosition &position) -> void;

    /// \return the lowest position that covers all writes acknowledged before \p moment; nothing if no proof does
    ///
    /// The lowest position admits the most replicas, since a lagging replica serves only what it has received.
    [[nodiscard]] auto covering(TimePoint moment) const -> std::optional<DataPosition>;

    /// \return time since the first known proof of a position beyond \p position; zero if there is none
    [[nodiscard]] auto behind(const DataPosition &position, TimePoint now) const -> Duration;

    /// \return the proof with the latest send time
    [[nodiscard]] auto newest() const -> std::optional<PositionProof>;

private:
    /// Ascending by time, with positions that never decrease.
    std::deque<PositionProof> proofs;
};

} // namespace sapphirespool::interactive
