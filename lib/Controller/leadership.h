// leadership.h: state and actions of a control VM during one leadership.
#pragma once

#include "memberregistry.h"
#include "orderauthority.h"

#include "sapphirespool/Controller/controller.h"
#include "sapphirespool/Controller/observers.h"
#include "sapphirespool/Controller/promotionduty.h"
#include "sapphirespool/Controller/vmsettling.h"
#include "sapphirespool/Controller/vmtable.h"
#include "sapphirespool/Promotion/promoter.h"
#include "sapphirespool/Support/logbudget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace sapphirespool::controller
{

/// Records the newest grant of the promotion duty and logs a change of its holder.
auto noteGrant(const ControllerParts &parts, PromotionDuty &duty) -> void;

/// Proposes changes of the replicated state and sends orders to members. Destroyed when the leadership ends; callbacks hold weak pointers,
/// so later answers are ignored.
class Leadership : public std::enable_shared_from_this<Leadership>
{
public:
    /// \param duty must outlive this object
    Leadership(const ControllerParts &parts, PromotionDuty &duty);

    /// \return whether this VM still holds the leadership for which the object was created
    [[nodiscard]] auto isCurrent(TimePoint now) const -> bool;

    /// Takes back the orders that have not left yet, for when the lead ends before its lease would have.
    auto revoke() -> void;

    auto tick() -> void;
    auto heartbeat(const control::VmHeartbeat &heartbeat, std::function<void(control::HeartbeatOutcome)> done) -> void;
    [[nodiscard]] auto status() const -> membership::ClusterStatus;

private:
    // leadership.cpp
    auto updateProxies(TimePoint now) -> void;
    auto grant() const -> control::LeaseGrant;
    auto registerVm(const control::VmHeartbeat &heartbeat) -> void;
    auto registerUpstream(const platform::Announcement &announcement) -> void;
    auto ejectUpstream(const GroupId &group, const UpstreamId &upstream) -> void;
    auto ejectUpstreams(TimePoint now) -> void;
    /// \return whether the health report may change the replicated state or a promotion
    auto isRelevant(const platform::Announcement &announcement) -> bool;
    /// Marks VMs without recent heartbeats as silent in the view, so that the proxies use other owners for their connections.
    auto markSilentVms(TimePoint now) -> void;
    /// Allows VMs that joined long enough ago to allocate quota.
    auto settleVms(TimePoint now) -> void;
    auto ejectSilentVms() -> void;
    /// Handles a suspicion that \p vm in \p zone reported.
    auto suspected(const VmId &vm, const ZoneId &zone, const membership::Suspicion &suspicion) -> void;
    /// Probes a suspected primary from this VM.
    auto probePrimary(const membership::Suspicion &suspicion) -> void;
    auto handle(const promotion::Event &event) -> void;
    auto propose(const state::Command &command, const GroupId &group) -> void;
    /// Logs and counts a proposal that the replicated state ignored.
    auto recordIgnored(const state::Command &command, const GroupId &group, state::IgnoredReason reason) -> void;
    /// \return whether a registration under \p name may be proposed now, which is at most once every registrationRetry
    auto tryRegister(const std::string &name) -> bool;

    // leadershiporders.cpp
    auto carryOut(const promotion::Actions &actions) -> void;
    auto carryOut(const promotion::SendFence &action) -> void;
    auto carryOut(const promotion::SendPromote &action) -> void;
    auto carryOut(const promotion::SendFollow &action) -> void;
    auto carryOut(const promotion::ProposeTerm &action) -> void;
    auto carryOut(const promotion::ProposePrimary &action) -> void;
    auto carryOut(const promotion::AwaitDuty &action) -> void;
    auto carryOut(const promotion::ReportOverdueElection &action) -> void;
    auto carryOut(const promotion::AskPosition &action) -> void;
    auto carryOut(const promotion::ReportAwaitedMembers &action) -> void;
    auto carryOut(const promotion::ReportLostMembers &action) -> void;
    auto carryOut(const promotion::ReportLateOrders &action) -> void;
    auto carryOut(const promotion::ProposeResume &action) -> void;
    /// \return whether orders to promote members of \p group require the promotion duty
    [[nodiscard]] auto isUnderDuty(const GroupId &group) const -> bool;
    /// Updates the promoter and the authorities of orders in flight from the promotion duty and the leader lease.
    auto updateDuty(TimePoint now) -> void;
    /// Proposes a grant or renewal of the duty to this VM if that is allowed now.
    auto requestDuty(const GroupId &group) -> void;
    [[nodiscard]] auto addressOf(const GroupId &group, const UpstreamId &member, const Endpoint &endpoint) const -> platform::MemberAddress;
    /// \return a callback that posts the report to the control thread
    auto answerTo(promotion::Order order, const GroupId &group, std::uint64_t term, const UpstreamId &member) -> platform::ReportCallback;

    const ControllerParts &parts;
    PromotionDuty &duty;
    /// Number of the last grant of another VM that prevented an order; each is logged once.
    std::uint64_t awaitedGrant = 0;
    /// Start and number of this leadership.
    TimePoint since;
    std::uint64_t number;
    VmTable vms;
    VmSettling settling;
    promotion::Promoter promoter;
    MemberRegistry registry;
    Observers observers;
    /// Upstreams with a probe in flight.
    std::set<UpstreamId> probesInFlight;
    TimePoint lastEjectionSearch{};
    TimePoint lastSilenceSearch{};
    std::map<std::string, TimePoint> registrations;
    /// Proposals of this leadership that the replicated state ignored.
    std::uint64_t ignoredProposals = 0;
    /// Log lines per second for ignored proposals.
    support::LogBudget ignoredLines{5.0};
    /// Authorities that end with the leader lease, and with the promotion duty under it.
    std::shared_ptr<ExpiringAuthority> leadershipAuthority;
    std::shared_ptr<ExpiringAuthority> dutyAuthority;
    OpenOrders openOrders;
};

} // namespace sapphirespool::controller
