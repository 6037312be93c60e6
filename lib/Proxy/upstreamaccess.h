// upstreamaccess.h: gets work to the point where it may be sent: admitted, under a live lease, with a connection.
#pragma once

#include "admission.h"

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Metrics/metrics.h"
#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Proxy/recorder.h"
#include "sapphirespool/Upstreams/pool.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <variant>

namespace sapphirespool::proxy
{

/// A slot and a clean connection of an upstream. Nothing was sent yet.
struct Grant
{
    Slot slot;
    std::shared_ptr<upstreams::Connection> connection;
    UpstreamId upstream;
    GroupId group;
    Term term;
    bool isPrimary = false;
};

/// An attempt that may be repeated.
struct TryAgain
{
    /// Counter of the retry; absent for a stale answer, which is no fault.
    std::optional<metrics::RetryReason> reason;
    /// How the request ends if there is no further attempt.
    Outcome lastResort;
    /// A byte may have reached an upstream; from now on "not run" would be untrue.
    bool sent = false;
    bool toPrimary = false;
    bool afterPause = false;
    /// The primary cannot be reached; a promotion may be on its way.
    bool awaitsPrimary = false;
};

using GrantOutcome = std::variant<Grant, NotRun, TryAgain>;

class UpstreamAccess
{
public:
    UpstreamAccess(std::shared_ptr<membership::ViewHolder> views,
                   std::shared_ptr<membership::ControlLink> control,
                   std::shared_ptr<Admission> admission,
                   std::shared_ptr<upstreams::Pool> pool,
                   std::shared_ptr<Recorder> recorder,
                   std::uint64_t seed);

    /// Waits for a promotion while the primary cannot be reached, up to the work's deadline.
    /// \param group of the service that the work is for
    auto obtain(decisions::Work work, GroupId group) -> boost::asio::awaitable<GrantOutcome>;

    /// \return whether what was asked under \p grant may still count as current, \p age ago at the worst
    [[nodiscard]] auto leaseCovers(std::chrono::milliseconds age) const -> bool;

    /// From \p end on nothing is obtained.
    auto endForwardingAt(TimePoint end) -> void;

    [[nodiscard]] auto hasForwardingEnded() const -> bool;

    /// Tells control that a primary did not answer.
    auto suspect(const Grant &grant) -> void;

    [[nodiscard]] auto view() const -> std::shared_ptr<const membership::ClusterView>;

private:
    auto tryObtain(decisions::Work work, GroupId group) -> boost::asio::awaitable<GrantOutcome>;
    /// \return false if \p deadline or too many others that wait leave no room for a pause
    auto pauseForPromotion(std::uint32_t round, TimePoint deadline) -> boost::asio::awaitable<bool>;
    auto connect(Grant grant, membership::UpstreamView member, decisions::Work work) -> boost::asio::awaitable<GrantOutcome>;

    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<upstreams::Pool> pool;
    std::shared_ptr<Recorder> recorder;
    std::mt19937_64 random;
    std::size_t pausing = 0;
    TimePoint forwardingEnd = TimePoint::max();
};

/// \return the refusal of work at a proxy that is about to stop
[[nodiscard]] auto stopping() -> NotRun;

/// \return the refusal of work under a view that control has not confirmed for too long
[[nodiscard]] auto staleView() -> NotRun;

} // namespace sapphirespool::proxy
