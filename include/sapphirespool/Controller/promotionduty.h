// promotionduty.h: a lease on the right to order promotions.
//
// An order may be carried out seconds after it was sent. Fencing tokens keep a late order from undoing a newer one, but two control VMs
// that gain and lose the lead by turns would still drive a database group to and fro. So the right to order is a lease of its own: it
// outlasts the lead under which it was granted, and a VM that is elected meanwhile waits until orders of the holder have had their
// time, unless the holder is lost.
#pragma once

#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sapphirespool::controller
{

/// Length of a grant. The holder counts it from its proposal, everybody else from when the grant is seen, which is later. A commit that
/// takes longer leaves no time to order anything.
constexpr auto dutyLength = std::chrono::milliseconds(2'000);

/// Age from which on a holder that still gives orders has its grant renewed.
constexpr auto dutyRenewal = std::chrono::milliseconds(1'000);

/// How long after it was sent an order may still take effect, its way and clocks of different rates included.
constexpr auto orderLife = std::chrono::milliseconds(3'500);

/// How long a VM that sees a grant leaves the duty to a holder that is alive.
constexpr auto dutyHandover = dutyLength + orderLife;

/// Silence after which a new leader takes the holder for failed: ten heartbeats without an answer.
constexpr auto holderLostAfter = std::chrono::milliseconds(500);

/// A grant that was proposed and is not seen after this time is proposed again.
constexpr auto dutyProposalLife = std::chrono::milliseconds(250);

/// What one control VM knows of the right to order promotions; pure.
class PromotionDuty
{
public:
    explicit PromotionDuty(VmId self);

    /// Takes in the newest grant of the replicated state.
    /// \return whether it names another holder than the one before
    auto note(const state::DutyGrant &newest, TimePoint now) -> bool;

    /// \return until when this VM may give orders under \p leadership; the earliest time if it may not
    [[nodiscard]] auto heldUntil(std::uint64_t leadership) const -> TimePoint;
    [[nodiscard]] auto isHeld(std::uint64_t leadership, TimePoint now) const -> bool;

    /// \return whether a grant for \p leadership is missing or due for renewal
    [[nodiscard]] auto isWanted(std::uint64_t leadership, TimePoint now) const -> bool;

    /// \param holderSilence for how long nothing was heard of the present holder
    /// \return whether this VM, which leads, may have the duty granted to itself
    [[nodiscard]] auto mayTake(Duration holderSilence, TimePoint now) const -> bool;

    /// Notes that this VM proposes the next grant.
    auto proposed(TimePoint now) -> void;

    [[nodiscard]] auto grant() const -> const state::DutyGrant &;

    /// \return how long ago the newest grant was seen here
    [[nodiscard]] auto age(TimePoint now) const -> Duration;

private:
    /// A grant that this VM has proposed: when for the first time, and when last.
    struct Proposal
    {
        std::uint64_t number = 0;
        TimePoint first;
        TimePoint last;
    };

    VmId self;
    state::DutyGrant newest;
    TimePoint seen{};
    /// When another VM last followed a holder, as seen here.
    std::optional<TimePoint> passedOn;
    /// When the newest grant began; nothing if this process did not propose it.
    std::optional<TimePoint> began;
    std::optional<Proposal> proposal;
};

} // namespace sapphirespool::controller
