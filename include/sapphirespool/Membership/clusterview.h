// clusterview.h: what the traffic path knows of the system, as one immutable value.
//
// The control thread builds a new view for each revision; traffic threads hold it by a shared pointer to const and never see
// half of a change.
#pragma once

#include "sapphirespool/Support/sharedlist.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace sapphirespool::membership
{

/// One member of a database group, as it last announced itself.
struct UpstreamView
{
    UpstreamId id;
    Endpoint endpoint;
    ZoneId zone;
    Incarnation incarnation;
    /// Statements that it runs at a time.
    std::uint32_t slots = 1;
    /// Connections that it accepts from all proxies together.
    std::uint32_t connectionLimit = 1;
    /// No new work goes to a leaving upstream.
    bool leaving = false;

    auto operator==(const UpstreamView &) const -> bool = default;
};

/// Where a term of a group began.
struct TermStart
{
    Term term;
    /// Last position of the earlier terms that the new primary kept; what lies above it in an earlier term is void.
    LogPosition keptUpTo;

    auto operator==(const TermStart &) const -> bool = default;
};

/// A database group: one primary and the replicas that follow it.
struct GroupView
{
    GroupId id;
    Term term;
    /// Absent while a promotion is under way.
    std::optional<UpstreamId> primary;
    /// Ended and current terms, ascending; decides whether a session's position still stands.
    std::vector<TermStart> history;
    std::vector<UpstreamView> members;
    /// Connections that each member accepts from all proxies together; 0: as the member announces.
    std::uint32_t connectionLimit = 0;

    auto operator==(const GroupView &) const -> bool = default;
    [[nodiscard]] auto findMember(const UpstreamId &member) const -> const UpstreamView *;
    [[nodiscard]] auto primaryMember() const -> const UpstreamView *;
};

/// What the reads of a service may miss.
enum class Consistency : std::uint8_t {
    /// Whatever the request itself says.
    PerRequest,
    /// Nothing: a read sees each write that was acknowledged before it.
    Strong,
    /// Writes younger than the read age.
    BoundedStaleness,
    /// Writes younger than the read age, but none of the caller's own session.
    ReadYourWrites,
};

/// \return the consistency that is encoded as \p number; an unknown number gives the strictest one
[[nodiscard]] auto consistencyOf(std::uint8_t number) -> Consistency;

/// A service of the operators' text, with defaults filled in.
struct ServiceView
{
    ServiceId id;
    GroupId group;
    std::vector<ServiceId> dependsOn;
    /// Age that its reads accept unless the caller says otherwise; zero: only what is current.
    std::chrono::milliseconds readAge{0};
    /// Time that a request may take unless the caller says otherwise.
    std::chrono::milliseconds timeout{2000};
    /// Requests of this service that may wait in one proxy.
    std::uint32_t queueLimit = 256;
    /// Retries that one first attempt earns, 0 to 1.
    double retryRatio = 0.1;
    Consistency consistency = Consistency::PerRequest;
    /// Time within which a caller wants a whole operation served; zero: as long as the timeout.
    std::chrono::milliseconds objective{0};
    /// 0 is served first.
    std::uint32_t priority = 0;
    /// A transaction whose caller says nothing for this long may be rolled back; zero: as the proxy's limits say.
    std::chrono::milliseconds transactionIdle{0};
    /// Whether a caller must present the API key of a customer.
    bool requiresKey = false;

    auto operator==(const ServiceView &) const -> bool = default;
};

/// Digest of an API key. Views carry digests, so that the keys stay in the operators' text.
using KeyDigest = support::StrongType<struct KeyDigestTag, std::string>;

/// \return the digest of \p key: the first half of its SHA-256
[[nodiscard]] auto digestOf(std::string_view key) -> KeyDigest;

/// Limit on the operations of a customer over all proxies.
struct Quota
{
    double ratePerSecond = 0;
    /// Operations that may run at once after a pause.
    double burst = 0;

    auto operator==(const Quota &) const -> bool = default;
};

/// A customer of the operators' text.
struct CustomerView
{
    CustomerId id;
    /// Each of its API keys identifies it.
    std::vector<KeyDigest> keys;
    /// Absent: unlimited.
    std::optional<Quota> quota;
    /// 0 is served first.
    std::uint32_t priority = 0;

    auto operator==(const CustomerView &) const -> bool = default;
};

/// A VM that runs the proxy role.
struct ProxyView
{
    VmId id;
    ZoneId zone;
    Incarnation incarnation;
    /// Where it accepts callers.
    Endpoint callers;
    /// Where it accepts other proxies.
    Endpoint peers;
    bool leaving = false;
    /// Control has heard nothing of it for a while: it is down, frozen or cut off.
    bool silent = false;
    /// Whether it may allocate quota: any proxy that held its part of a quota before it joined has stopped.
    bool settled = false;

    auto operator==(const ProxyView &) const -> bool = default;

    /// \return whether this is no proxy but a directory: it takes no callers, and its peers are control VMs and other directories
    [[nodiscard]] auto isDirectory() const -> bool
    {
        return this->callers.port == 0 && this->peers.port != 0;
    }
};

/// The whole view at one revision.
struct ClusterView
{
    Revision revision;
    /// Revision of the operators' text that is in this view.
    Revision configuration;
    support::SharedList<ServiceView> services;
    std::vector<GroupView> groups;
    std::vector<ProxyView> proxies;
    support::SharedList<CustomerView> customers = {};

    auto operator==(const ClusterView &) const -> bool = default;
    [[nodiscard]] auto findService(const ServiceId &service) const -> const ServiceView *;
    [[nodiscard]] auto findGroup(const GroupId &group) const -> const GroupView *;
    [[nodiscard]] auto findProxy(const VmId &vm) const -> const ProxyView *;
};

/// Hands the newest view from the control thread to the traffic threads, with the lease under which it may be used.
class ViewHolder
{
public:
    /// Replaces the view. A view of a lower revision than the present one is ignored: a view never goes back.
    /// \return false if it was ignored
    auto publish(std::shared_ptr<const ClusterView> view) -> bool;

    /// Extends the lease to \p expiry; an earlier expiry than the present one is ignored.
    auto extendLease(TimePoint expiry) -> void;

    /// Notes that control answered at \p now.
    auto noteContact(TimePoint now) -> void;

    /// \return when control last answered
    [[nodiscard]] auto lastContact() const -> TimePoint;

    /// Has \p listener called after each new view, on the thread that brought it. One
    /// listener; an empty one removes it.
    auto onChange(std::function<void()> listener) -> void;

    /// \return the newest view; never null
    [[nodiscard]] auto current() const -> std::shared_ptr<const ClusterView>;

    /// \return whether control confirmed this view recently enough for an acknowledgement at \p now
    [[nodiscard]] auto leaseLive(TimePoint now) const -> bool;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const ClusterView> view = std::make_shared<const ClusterView>();
    TimePoint leaseExpiry{};
    TimePoint contact{};
    std::function<void()> listener;

    auto notify() const -> void;
};

} // namespace sapphirespool::membership
