// promotionduty.h: the promotion duty, a lease on the right to order promotions.
//
// An order may be carried out seconds after it was sent. Fencing tokens prevent a late order from replacing a newer one, but two control VMs
// that alternate in leadership would still move the primary of a database group back and forth. Therefore the right to order promotions is
// a lease of its own, which may outlast the leadership under which it was granted. A VM that is elected meanwhile sends no order until the
// orders of the holder can no longer take effect, unless the holder is lost.
#pragma once

#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sapphirespool::controller
{

/// Length of a grant. The holder counts from its proposal, and the other VMs from when they apply the grant, which is later. If the commit
/// takes longer, no time for orders is left.
constexpr auto dutyLength = std::chrono::milliseconds(2'000);

/// Age of a grant at which a holder that still sends orders requests its renewal.
constexpr auto dutyRenewal = std::chrono::milliseconds(1'000);

/// Time after sending for which an order may still take effect, including network delay and clock drift.
constexpr auto orderLifetime = std::chrono::milliseconds(3'500);

/// Time after applying a grant for which other VMs leave the duty to a holder that is alive.
constexpr auto dutyHandover = dutyLength + orderLifetime;

/// Time since the last contact after which a new leader counts the holder as failed: ten heartbeats without an answer.
constexpr auto holderLostAfter = std::chrono::milliseconds(500);

/// Time after which a proposed grant that has not been applied is proposed again.
constexpr auto dutyProposalRetry = std::chrono::milliseconds(250);

/// State of the promotion duty on one control VM; a state machine without I/O.
class PromotionDuty
{
public:
    explicit PromotionDuty(VmId self);

    /// Records the newest grant of the replicated state.
    /// \return whether its holder differs from that of the previous grant
    auto note(const state::DutyGrant &newest, TimePoint now) -> bool;

    /// \return the end of the time in which this VM may send orders under \p leadership; TimePoint::min() if it may not
    [[nodiscard]] auto heldUntil(std::uint64_t leadership) const -> TimePoint;
    [[nodiscard]] auto isHeld(std::uint64_t leadership, TimePoint now) const -> bool;

    /// \return whether a grant for \p leadership is missing or due for renewal
    [[nodiscard]] auto isWanted(std::uint64_t leadership, TimePoint now) const -> bool;

    /// \param timeSinceContact time since the last contact with the current holder
    /// \return whether this VM, which is leader, may propose a grant to itself
    [[nodiscard]] auto mayTake(Duration timeSinceContact, TimePoint now) const -> bool;

    /// Records that this VM proposes the next grant.
    auto proposed(TimePoint now) -> void;

    [[nodiscard]] auto grant() const -> const state::DutyGrant &;

    /// \return the time since this VM applied the newest grant
    [[nodiscard]] auto age(TimePoint now) const -> Duration;

private:
    /// A grant that this VM has proposed, with the times of the first and the last proposal.
    struct Proposal
    {
        std::uint64_t number = 0;
        TimePoint first;
        TimePoint last;
    };

    VmId self;
    state::DutyGrant newest;
    TimePoint seen{};
    /// When this VM last applied a change of the holder.
    std::optional<TimePoint> lastTransfer;
    /// When the newest grant began; absent if this process did not propose it.
    std::optional<TimePoint> began;
    std::optional<Proposal> proposal;
};

} // namespace sapphirespool::controller
