// leadership.h: what a control VM keeps while it leads, and loses with the lead.
#pragma once

#include "memberregistry.h"
#include "orderauthority.h"

#include "sapphirespool/Controller/controller.h"
#include "sapphirespool/Controller/observers.h"
#include "sapphirespool/Controller/promotionduty.h"
#include "sapphirespool/Controller/vmsettling.h"
#include "sapphirespool/Controller/vmtable.h"
#include "sapphirespool/Promotion/promoter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace sapphirespool::controller
{

/// Takes in the newest grant of the promotion duty and logs a change of its holder.
auto noteGrant(const ControllerParts &parts, PromotionDuty &duty) -> void;

/// One time of leading. It proposes changes of the replicated state and orders members about; it is never told to stop in the
/// middle, it is dropped. Answers that come later find it gone.
class Leadership : public std::enable_shared_from_this<Leadership>
{
public:
    /// \param duty outlasts this time of leading, and the leadership itself
    Leadership(const ControllerParts &parts, PromotionDuty &duty);

    /// \return whether the log still holds the lead under which this began
    [[nodiscard]] auto isCurrent(TimePoint now) const -> bool;

    /// Takes back the orders that have not left yet, for when the lead ends before its lease would have.
    auto revoke() -> void;

    auto tick() -> void;
    auto heartbeat(const control::VmHeartbeat &heartbeat, std::function<void(control::HeartbeatOutcome)> done) -> void;
    [[nodiscard]] auto status() const -> membership::ClusterStatus;

private:
    // leadership.cpp
    auto noteProxies(TimePoint now) -> void;
    auto grant() const -> control::LeaseGrant;
    auto registerVm(const control::VmHeartbeat &heartbeat) -> void;
    auto registerUpstream(const platform::Announcement &announcement) -> void;
    auto forgetUpstream(const GroupId &group, const UpstreamId &upstream) -> void;
    auto forgetGoneUpstreams(TimePoint now) -> void;
    /// \return whether the announcement may change anything
    auto isNews(const platform::Announcement &announcement) -> bool;
    /// Has the proxies give the work of VMs that control does not hear to others.
    auto markSilentVms(TimePoint now) -> void;
    /// Lets VMs that joined a while ago allocate quota.
    auto settleVms(TimePoint now) -> void;
    auto forgetSilentVms() -> void;
    /// Takes in that a VM of \p zone got no service from a primary.
    auto suspected(const VmId &vm, const ZoneId &zone, const membership::Suspicion &suspicion) -> void;
    /// Looks from this VM at a primary that another one suspects.
    auto look(const membership::Suspicion &suspicion) -> void;
    auto handle(const promotion::Event &event) -> void;
    auto propose(const state::Command &command, const GroupId &group) -> void;
    /// \return whether a registration under \p name may be proposed now; repeated ones wait for proposalLife
    auto tryRegister(const std::string &name) -> bool;

    // leadershiporders.cpp
    auto carryOut(const promotion::Actions &actions) -> void;
    auto carryOut(const promotion::SendFence &action) -> void;
    auto carryOut(const promotion::SendPromote &action) -> void;
    auto carryOut(const promotion::SendFollow &action) -> void;
    auto carryOut(const promotion::ProposeTerm &action) -> void;
    auto carryOut(const promotion::ProposePrimary &action) -> void;
    auto carryOut(const promotion::AwaitDuty &action) -> void;
    /// \return whether promotions of \p group are ordered under the promotion duty
    [[nodiscard]] auto isUnderDuty(const GroupId &group) const -> bool;
    /// Tells the promoter whether orders may be given, and orders under way until when.
    auto noteDuty(TimePoint now) -> void;
    /// Has the duty granted to this VM, or renewed, once that may be.
    auto seekDuty(const GroupId &group) -> void;
    [[nodiscard]] auto addressOf(const GroupId &group, const UpstreamId &member, const Endpoint &endpoint) const -> platform::MemberAddress;
    /// \return a callback that brings the report to the control thread
    auto answerTo(promotion::Order order, const GroupId &group, std::uint64_t term, const UpstreamId &member) -> platform::ReportCallback;

    const ControllerParts &parts;
    PromotionDuty &duty;
    /// Number of the last grant that was waited for; logged once.
    std::uint64_t awaited = 0;
    /// When this VM took the lead, and the number under which it leads.
    TimePoint since;
    std::uint64_t number;
    VmTable vms;
    VmSettling settling;
    promotion::Promoter promoter;
    MemberRegistry registry;
    Observers observers;
    /// Upstreams that are looked at just now.
    std::set<UpstreamId> lookedAt;
    TimePoint lookedForGone{};
    TimePoint lookedForSilent{};
    std::map<std::string, TimePoint> registrations;
    /// Of the lead, and of the promotion duty under it.
    std::shared_ptr<ExpiringAuthority> leadAuthority;
    std::shared_ptr<ExpiringAuthority> dutyAuthority;
    OpenOrders openOrders;
};

} // namespace sapphirespool::controller
