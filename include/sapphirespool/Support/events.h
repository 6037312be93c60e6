// events.h: the catalogue of log events; docs/EVENTS.md explains each to operators.
#pragma once

#include <span>
#include <string_view>

namespace sapphirespool::support
{

/// How much an event matters to an operator.
enum class Severity {
    Info,
    Warning,
    Error,
};

/// Each event by its number. Hundreds: 10 process, 11 callers, 12 upstreams, 13 sessions and keys, 14 peers,
/// 20 consensus, 21 storage, 22 configuration, 23 membership, 24 promotion, 30 stand-in.
enum class Event {
    ProcessStarted = 1001,
    ProcessDraining = 1002,
    ProcessStopped = 1003,
    SettingsRejected = 1004,
    ListenFailed = 1005,
    SettingsReloaded = 1006,
    RequestsCut = 1007,
    CallerRequestRefused = 1101,
    CallerConnectionRefused = 1102,
    StatementFailed = 1103,
    StatementMoved = 1104,
    StatementServed = 1105,
    SessionRefused = 1106,
    UpstreamConnectionClosed = 1201,
    PrimarySuspected = 1202,
    ViewFollowed = 1203,
    PrimaryFound = 1204,
    UpstreamAway = 1205,
    UpstreamBack = 1206,
    OwnerAway = 1401,
    OwnerBack = 1402,
    ControlLeaderChanged = 2001,
    GroupFounded = 2002,
    ConsensusTaskFailed = 2003,
    ControlLeadLost = 2004,
    ElectionStarted = 2005,
    ControlLoad = 2006,
    ToleranceReduced = 2007,
    OtherGroupSeen = 2008,
    ControlVmListed = 2009,
    ControlSeedMissing = 2010,
    ControlVmReleased = 2011,
    ControlVmEndsUnreleased = 2012,
    StorageFailed = 2101,
    DiskFull = 2102,
    DiskWritesAgain = 2103,
    ConfigurationAccepted = 2201,
    AnnouncementRejected = 2301,
    TermEnded = 2401,
    PrimaryChosen = 2402,
    OrderNotDelivered = 2403,
    PromotionOrdered = 2404,
    DutyGranted = 2405,
    DutyAwaited = 2406,
    OrderWithdrawn = 2407,
    ProposalIgnored = 2408,
    ElectionOverdue = 2409,
    ReportsAwaited = 2410,
    WritesMayBeLost = 2411,
    LateOrdersAwaited = 2412,
    StandinStarted = 3001,
};

/// Catalogue entry of one event.
struct EventDescription
{
    Event event;
    Severity severity;
    /// Words that follow the number in the log line.
    std::string_view text;
};

/// \return the catalogue, ordered by number
[[nodiscard]] auto eventDescriptions() -> std::span<const EventDescription>;

/// \return the catalogue entry of \p event
[[nodiscard]] auto describe(Event event) -> const EventDescription &;

} // namespace sapphirespool::support
