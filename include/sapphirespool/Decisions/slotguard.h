// slotguard.h: keeps one kind of work from taking all slots of an upstream.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Decisions/serviceestimate.h"
#include "sapphirespool/Decisions/settings.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace sapphirespool::decisions
{

/// Bulkheads within one database group.
///
/// Load patterns: a caller sends ten times what others send; a caller's reports take a hundred times as long as bookings; writes crowd on one row; one service
/// of several on the same databases becomes slow. Without it all slots are held by the long, blocked or slow work, however fairly it was queued: a statement
/// that runs cannot be interrupted. Lengths are unknown beforehand; a caller's past statements tell which callers are long.
class SlotGuard
{
public:
    explicit SlotGuard(BulkheadSettings settings);

    /// \param usable slots of \p upstream that may be used now, \p running of them in use
    [[nodiscard]] auto admits(const Work &work, const UpstreamId &upstream, std::uint32_t usable, std::uint32_t running, TimePoint now) const -> bool;

    auto started(const Work &work, const UpstreamId &upstream, TimePoint now) -> void;
    auto ended(const Work &work, const UpstreamId &upstream, Duration took, TimePoint now) -> void;

    /// \return whether a write on this key would only wait for the one that runs
    [[nodiscard]] auto keyBusy(const Work &work) const -> bool;

    [[nodiscard]] auto isLong(const CallerId &caller) const -> bool;

    /// \return 0 for a caller that uses up to hotFactor times what the mean active caller uses, 1 up to \p spacing times that, and so on
    [[nodiscard]] auto useLevel(const CallerId &caller, std::uint32_t spacing, TimePoint now) const -> std::uint32_t;

    /// \return whether the caller uses several times what the mean active caller uses
    [[nodiscard]] auto isHot(const CallerId &caller, TimePoint now) const -> bool;

private:
    struct UpstreamUse
    {
        std::uint32_t longRunning = 0;
        std::unordered_map<ServiceId, std::uint32_t> byService;
    };

    struct CallerRecord
    {
        ServiceEstimate length;
        /// Slot time used, in seconds, fading.
        double used = 0;
        TimePoint usedAt{};
    };

    [[nodiscard]] static auto faded(double used, TimePoint usedAt, TimePoint now) -> double;
    auto countActive(const CallerId &caller, TimePoint now) -> void;
    [[nodiscard]] auto otherServicesActive(const ServiceId &service, TimePoint now) const -> std::uint32_t;
    auto forgetCallers() -> void;

    BulkheadSettings settings;
    ServiceEstimate shortService;
    std::optional<TimePoint> shortSeen;
    std::unordered_map<CallerId, CallerRecord> callers;
    double usedByAll = 0;
    TimePoint usedByAllAt{};
    /// Callers seen in this second and in the one before.
    std::unordered_set<CallerId> activeNow;
    std::unordered_set<CallerId> activeBefore;
    TimePoint activeSince{};
    std::unordered_map<UpstreamId, UpstreamUse> upstreams;
    std::unordered_map<ServiceId, TimePoint> serviceSeen;
    std::unordered_map<std::string, std::uint32_t> keys;
    /// Running work that was counted as long when it started.
    std::unordered_set<WorkId> longWork;
};

} // namespace sapphirespool::decisions
