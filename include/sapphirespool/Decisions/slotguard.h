// slotguard.h: bulkheads that prevent one kind of work from taking all slots of an upstream.
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
/// Load patterns: a caller sends ten times what others send; a caller's reports take a hundred times as long as short statements; writes
/// contend for one row; one of several services on the same databases becomes slow.
/// Without it the long, blocked or slow work holds all slots, however fair the queue is, because a running statement cannot be
/// interrupted. Service times are unknown in advance, so a caller is classified as long by its past statements.
class SlotGuard
{
public:
    explicit SlotGuard(BulkheadSettings settings);

    /// \param usableSlots slots of \p upstream that may be used now
    /// \param running slots of \p upstream in use
    /// \return whether \p work may take a slot of \p upstream
    [[nodiscard]] auto admits(const Work &work, const UpstreamId &upstream, std::uint32_t usableSlots, std::uint32_t running, TimePoint now) const -> bool;

    auto started(const Work &work, const UpstreamId &upstream, TimePoint now) -> void;
    auto ended(const Work &work, const UpstreamId &upstream, Duration took, TimePoint now) -> void;

    /// \return whether a write on this key would block behind the one that is running
    [[nodiscard]] auto keyBusy(const Work &work) const -> bool;

    [[nodiscard]] auto isLong(const CallerId &caller) const -> bool;

    /// \return 0 for a caller whose usage is at most hotFactor times that of the mean active caller, 1 up to \p spacing times that, and so on
    [[nodiscard]] auto useLevel(const CallerId &caller, std::uint32_t spacing, TimePoint now) const -> std::uint32_t;

    /// \return whether the caller's usage exceeds hotFactor times that of the mean active caller
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
        /// Slot time used, in seconds, with exponential decay.
        double used = 0;
        TimePoint usedAt{};
    };

    [[nodiscard]] static auto decayed(double used, TimePoint usedAt, TimePoint now) -> double;
    auto countActive(const CallerId &caller, TimePoint now) -> void;
    [[nodiscard]] auto otherServicesActive(const ServiceId &service, TimePoint now) const -> std::uint32_t;
    auto limitCallerRecords() -> void;

    BulkheadSettings settings;
    ServiceEstimate shortService;
    std::optional<TimePoint> shortLastSeen;
    std::unordered_map<CallerId, CallerRecord> callers;
    double totalUsed = 0;
    TimePoint totalUsedAt{};
    /// Callers whose work ended in the current and in the previous window of one second.
    std::unordered_set<CallerId> activeCallers;
    std::unordered_set<CallerId> previouslyActiveCallers;
    TimePoint activeWindowStart{};
    std::unordered_map<UpstreamId, UpstreamUse> upstreams;
    std::unordered_map<ServiceId, TimePoint> serviceLastSeen;
    std::unordered_map<std::string, std::uint32_t> keys;
    /// Running work whose caller was classified as long when it started.
    std::unordered_set<WorkId> longRunningWork;
};

} // namespace sapphirespool::decisions
