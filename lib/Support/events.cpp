#include "sapphirespool/Support/events.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace sapphirespool::support
{

namespace
{

constexpr auto descriptions = std::to_array<EventDescription>({
    {Event::ProcessStarted, Severity::Info, "process started"},
    {Event::ProcessDraining, Severity::Info, "process draining"},
    {Event::ProcessStopped, Severity::Info, "process stopped"},
    {Event::SettingsRejected, Severity::Error, "settings rejected"},
    {Event::ListenFailed, Severity::Error, "listen failed"},
    {Event::SettingsReloaded, Severity::Info, "settings reloaded"},
    {Event::RequestsCut, Severity::Warning, "requests cut by the end of a stop"},
    {Event::CallerRequestRefused, Severity::Warning, "caller request refused"},
    {Event::CallerConnectionRefused, Severity::Warning, "caller connection refused"},
    {Event::StatementFailed, Severity::Warning, "statement failed"},
    {Event::StatementMoved, Severity::Info, "statement tried elsewhere"},
    {Event::StatementServed, Severity::Info, "statement served"},
    {Event::SessionRefused, Severity::Warning, "session refused"},
    {Event::UpstreamConnectionClosed, Severity::Warning, "upstream connection closed"},
    {Event::PrimarySuspected, Severity::Warning, "primary suspected"},
    {Event::ViewFollowed, Severity::Info, "view followed"},
    {Event::PrimaryFound, Severity::Info, "primary found by asking the members"},
    {Event::UpstreamAway, Severity::Warning, "upstream takes no connections"},
    {Event::UpstreamBack, Severity::Info, "upstream takes connections again"},
    {Event::OwnerAway, Severity::Warning, "owner of connections does not answer"},
    {Event::OwnerBack, Severity::Info, "owner of connections answers again"},
    {Event::ControlLeaderChanged, Severity::Info, "control leader changed"},
    {Event::GroupFounded, Severity::Info, "control group founded"},
    {Event::ConsensusTaskFailed, Severity::Warning, "consensus task failed"},
    {Event::ControlLeadLost, Severity::Warning, "control lead lost"},
    {Event::ElectionStarted, Severity::Warning, "election started"},
    {Event::ControlLoad, Severity::Info, "control load"},
    {Event::ToleranceReduced, Severity::Warning, "losses tolerated by control"},
    {Event::OtherGroupSeen, Severity::Error, "other control group seen"},
    {Event::ControlVmListed, Severity::Info, "control VM listed or no longer listed"},
    {Event::ControlSeedMissing, Severity::Error, "no control VM among the seeds"},
    {Event::ControlVmReleased, Severity::Info, "control VM may end"},
    {Event::ControlVmEndsUnreleased, Severity::Warning, "control VM ends without the consent of its group"},
    {Event::StorageFailed, Severity::Error, "storage failed"},
    {Event::DiskFull, Severity::Warning, "disk full"},
    {Event::DiskWritesAgain, Severity::Info, "disk writes again"},
    {Event::ConfigurationAccepted, Severity::Info, "configuration accepted"},
    {Event::AnnouncementRejected, Severity::Warning, "announcement rejected"},
    {Event::TermEnded, Severity::Warning, "term ended"},
    {Event::PrimaryChosen, Severity::Info, "primary chosen"},
    {Event::OrderNotDelivered, Severity::Warning, "order not delivered"},
    {Event::PromotionOrdered, Severity::Info, "promotion ordered"},
    {Event::DutyGranted, Severity::Info, "promotion duty granted"},
    {Event::DutyAwaited, Severity::Warning, "promotion duty awaited"},
    {Event::OrderWithdrawn, Severity::Info, "order withdrawn"},
    {Event::ProposalIgnored, Severity::Warning, "proposal ignored"},
    {Event::ElectionOverdue, Severity::Error, "group without a primary for too long"},
    {Event::ReportsAwaited, Severity::Warning, "choice of a primary waits for members"},
    {Event::WritesMayBeLost, Severity::Error, "primary chosen without members that left"},
    {Event::LateOrdersAwaited, Severity::Warning, "choice of a primary waits for late orders"},
    {Event::StandinStarted, Severity::Info, "stand-in started"},
});

} // namespace

auto eventDescriptions() -> std::span<const EventDescription>
{
    return descriptions;
}

auto describe(Event event) -> const EventDescription &
{
    const auto *const found = std::find_if(descriptions.begin(), descriptions.end(), [event](const EventDescription &entry) {
        return entry.event == event;
    });
    assert(found != descriptions.end() && "each event stands in the catalogue");
    return *found;
}

} // namespace sapphirespool::support
