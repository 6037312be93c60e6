// controlload.h: counts the work of a leading control VM for its log.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sapphirespool::control
{

/// Work of one reporting interval.
struct LoadSample
{
    std::uint64_t heartbeats = 0;
    std::uint64_t announcements = 0;
    /// Views taken for sending; each one costs a copy and a comparison of the whole.
    std::uint64_t viewsBuilt = 0;
    std::uint64_t viewsSent = 0;
    /// Those of viewsSent that were not deltas.
    std::uint64_t wholeViewsSent = 0;
    std::uint64_t viewBytes = 0;
    /// Longest time by which a timer of the control thread was late.
    Duration longestDelay{};
};

/// Sums up the work of the control thread over intervals of a second.
class ControlLoad
{
public:
    static constexpr auto reportInterval = std::chrono::seconds(1);

    auto addHeartbeat(std::size_t announcements) -> void;
    auto addBuiltView() -> void;
    auto addSentView(std::size_t bytes, bool isDelta) -> void;
    auto addDelay(Duration delay) -> void;

    /// \return the work since the last report if one is due at \p now
    [[nodiscard]] auto report(TimePoint now) -> std::optional<LoadSample>;

private:
    LoadSample sample;
    std::optional<TimePoint> reportedAt;
};

} // namespace sapphirespool::control
