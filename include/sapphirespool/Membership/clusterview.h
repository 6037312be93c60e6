// clusterview.h: immutable view of the system for the traffic path.
//
// The control thread builds a new view for each revision. Traffic threads hold a shared pointer to a const view and never observe a
// partial change.
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

/// One member of a database group, according to its last health report.
struct UpstreamView
{
    UpstreamId id;
    Endpoint endpoint;
    ZoneId zone;
    Incarnation incarnation;
    /// Limit on concurrent statements.
    std::uint32_t slots = 1;
    /// Limit on the connections of all proxies together.
    std::uint32_t connectionLimit = 1;
    /// Whether the upstream is shutting down; it gets no new requests.
    bool leaving = false;

    auto operator==(const UpstreamView &) const -> bool = default;
};

/// Start of a term in the log of a group.
struct TermStart
{
    Term term;
    /// Last position of earlier terms in the log of the new primary; higher positions of earlier terms are discarded.
    LogPosition keptUpTo;

    auto operator==(const TermStart &) const -> bool = default;
};

/// A database group: one primary and the replicas that follow it.
struct GroupView
{
    GroupId id;
    Term term;
    /// Absent while a promotion is in progress.
    std::optional<UpstreamId> primary;
    /// Ended and current terms in ascending order; determines whether the position of a session was discarded.
    std::vector<TermStart> history;
    std::vector<UpstreamView> members;
    /// Limit on the connections of all proxies together to each member; 0: the limit in the health reports of the member.
    std::uint32_t connectionLimit = 0;

    auto operator==(const GroupView &) const -> bool = default;
    [[nodiscard]] auto findMember(const UpstreamId &member) const -> const UpstreamView *;
    [[nodiscard]] auto primaryMember() const -> const UpstreamView *;
};

/// Writes that the reads of a service may miss.
enum class Consistency : std::uint8_t {
    /// As each request specifies.
    PerRequest,
    /// None: a read sees each write that was acknowledged before it.
    Strong,
    /// Writes younger than the read age.
    BoundedStaleness,
    /// Writes younger than the read age, except those of the caller's own session.
    ReadYourWrites,
};

/// \return the consistency encoded as \p number; Strong for an unknown number
[[nodiscard]] auto consistencyOf(std::uint8_t number) -> Consistency;

/// A service in the configuration, with defaults applied.
struct ServiceView
{
    ServiceId id;
    GroupId group;
    std::vector<ServiceId> dependsOn;
    /// Default limit on the age of data that reads accept; zero: only current data.
    std::chrono::milliseconds readAge{0};
    /// Default timeout of a request.
    std::chrono::milliseconds timeout{2000};
    /// Limit on the queued requests of this service in one proxy.
    std::uint32_t queueLimit = 256;
    /// Retries that each first attempt adds to the retry budget, 0 to 1.
    double retryRatio = 0.1;
    Consistency consistency = Consistency::PerRequest;
    /// Latency objective for a whole operation of a caller; zero: the timeout.
    std::chrono::milliseconds objective{0};
    /// 0 is served first.
    std::uint32_t priority = 0;
    /// Time without a request after which a transaction may be rolled back; zero: the limit of the proxy.
    std::chrono::milliseconds transactionIdle{0};
    /// Whether a caller must present the API key of a customer.
    bool requiresKey = false;

    auto operator==(const ServiceView &) const -> bool = default;
};

/// Digest of an API key. Views contain digests instead of keys, so that the keys do not leave the configuration.
using KeyDigest = support::StrongType<struct KeyDigestTag, std::string>;

/// \return the digest of \p key: the first half of its SHA-256
[[nodiscard]] auto digestOf(std::string_view key) -> KeyDigest;

/// Rate limit on the operations of a customer, summed over all proxies.
struct Quota
{
    double ratePerSecond = 0;
    /// Operations that a customer may start at once after a time without operations.
    double burst = 0;

    auto operator==(const Quota &) const -> bool = default;
};

/// A customer in the configuration.
struct CustomerView
{
    CustomerId id;
    /// Digests of its API keys, each of which identifies it.
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
    /// Endpoint for callers.
    Endpoint callers;
    /// Endpoint for other proxies.
    Endpoint peers;
    bool leaving = false;
    /// Whether control has received no heartbeat for a while: the VM is down, frozen or partitioned.
    bool silent = false;
    /// Whether it may allocate quota: every proxy that allocated its shares before it joined has stopped.
    bool settled = false;

    auto operator==(const ProxyView &) const -> bool = default;

    /// \return whether this is no proxy but a directory: it takes no callers, and its peers are control VMs and other directories
    [[nodiscard]] auto isDirectory() const -> bool
    {
        return this->callers.port == 0 && this->peers.port != 0;
    }
};

/// The view at one revision.
struct ClusterView
{
    Revision revision;
    /// Revision of the configuration in this view.
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

/// Passes the newest view and its lease from the control thread to the traffic threads.
class ViewHolder
{
public:
    /// Replaces the view. A view of a lower revision than the current one is ignored, so that the revision never decreases.
    /// \return false if the view was ignored
    auto publish(std::shared_ptr<const ClusterView> view) -> bool;

    /// Extends the lease to \p expiry; an earlier expiry than the current one is ignored.
    auto extendLease(TimePoint expiry) -> void;

    /// Records an answer of control at \p now.
    auto noteContact(TimePoint now) -> void;

    /// \return the time of the last answer of control
    [[nodiscard]] auto lastContact() const -> TimePoint;

    /// Sets the listener, which is called after each new view on the thread that published it. There is only one listener; an empty
    /// one removes it.
    auto onChange(std::function<void()> listener) -> void;

    /// \return the newest view; never null
    [[nodiscard]] auto current() const -> std::shared_ptr<const ClusterView>;

    /// \return whether the lease, without which nothing may be acknowledged, is valid at \p now
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
