// positionproofs.h: what is known of how far a group's log had come at a moment.
#pragma once

#include "sapphirespool/Interactive/position.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace sapphirespool::interactive
{

/// "Each write that was acknowledged before this moment lies at or below this position."
struct PositionProof
{
    TimePoint sent;
    DataPosition position;
};

/// Remembers proofs of the kind "each write acknowledged before this moment lies at or below this position".
///
/// A primary that answers a write, or a statement of a transaction that only a primary may run, was primary when it answered. So the
/// end of its log then covers all that was acknowledged before the request was sent. A replica whose log holds that position shows
/// all of it: a read with an accepted age needs no word with the primary, only a proof that is no older than the age.
class PositionProofs
{
public:
    /// A proof younger than this after the one before adds nothing that a read could use.
    static constexpr auto spacing = std::chrono::milliseconds(20);
    /// Proofs older than this serve no read: the longest age that callers accept is a few seconds.
    static constexpr auto longestAge = std::chrono::milliseconds(10'000);

    /// \param sent when the request was sent to the primary
    /// \param position end of the log in its answer
    auto note(TimePoint sent, const DataPosition &position) -> void;

    /// \return the lowest position that covers what was acknowledged before \p moment; nothing if no proof does
    ///
    /// The lowest, since a replica that lags can serve only what it has received.
    [[nodiscard]] auto covering(TimePoint moment) const -> std::optional<DataPosition>;

    /// \return how long ago the log grew beyond \p position, as far as is known; zero if it is not known to have
    [[nodiscard]] auto behind(const DataPosition &position, TimePoint now) const -> Duration;

    /// \return the proof of the latest moment
    [[nodiscard]] auto newest() const -> std::optional<PositionProof>;

private:
    /// Ascending by time; their positions never fall.
    std::deque<PositionProof> proofs;
};

} // namespace sapphirespool::interactive
