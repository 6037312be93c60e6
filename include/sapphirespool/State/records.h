// records.h: the records of the replicated state and its snapshot.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/State/commands.h"
#include "sapphirespool/Support/sharedlist.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace sapphirespool::state
{

/// A member of a self-replicating group that receives no writes, as an election paused it, until it is ordered to.
struct PausedMember
{
    UpstreamId id;
    /// Whether an order to receive writes may have been sent. It has no term: a later election cannot rely on a pause while it may still be
    /// carried out.
    bool mayResume = false;

    auto operator==(const PausedMember &) const -> bool = default;
};

/// State of a database group. It is kept after the last service of the group leaves the configuration, because a term must never be
/// reused.
struct GroupRecord
{
    membership::GroupView view;
    /// Configured number of members, which may exceed the number that have registered.
    std::uint32_t size = configuration::usualGroupSize;
    /// Copied from the configuration; see configuration::GroupConfiguration.
    bool selfReplicating = false;
    /// Copied from the configuration: replicas that must confirm a write of a self-replicating group.
    std::uint32_t confirmations = 0;
    /// Incarnation of the primary's process when it was chosen. A restart of the primary ends the term: if it restarted without some of
    /// the writes that it acknowledged, it would assign their positions in the term to other writes, and a confirmation of the new writes
    /// would be taken for a confirmation of the lost ones.
    Incarnation primaryIncarnation;
    /// The primary that was chosen last, also after its term has ended; empty before the first choice.
    UpstreamId lastPrimary;
    /// Members of a self-replicating group that have left it and may hold the only confirmation of a write. An empty id stands for a
    /// confirmation that writes before a change of the configuration did not need. Oldest first.
    std::vector<UpstreamId> departed;
    /// Members that elections may have paused and that are not known to receive writes again. Ordered by id.
    std::vector<PausedMember> paused;

    /// \return how many members of a group that is not self-replicating must be fenced before it may get a new primary. Such a quorum
    /// intersects each pair of members, and two members suffice to acknowledge a write.
    [[nodiscard]] auto quorum() const -> std::uint32_t;

    /// \return whether a write is acknowledged as soon as the primary has it
    [[nodiscard]] auto acknowledgesAlone() const -> bool;

    /// Records that the replica \p member has left, if writes of the group are confirmed by replicas.
    auto noteDeparture(const UpstreamId &member) -> void;

    /// Records that \p members may be paused.
    auto notePaused(std::span<const UpstreamId> members) -> void;

    /// \return the record of \p member, or null if it receives writes
    [[nodiscard]] auto findPaused(const UpstreamId &member) const -> const PausedMember *;

    /// Records that writes from now on need \p count confirmations.
    auto changeConfirmations(std::uint32_t count) -> void;
};

/// Right of a control VM to order promotions. Whether the grant is still valid depends on when it was proposed and observed; see
/// controller::PromotionDuty.
struct DutyGrant
{
    VmId holder;
    /// Number of the leadership for which it was granted.
    std::uint64_t leadership = 0;
    /// Increases with each grant; 0 before the first one.
    std::uint64_t number = 0;
};

/// Result of a configuration change when it was first applied.
struct ChangeRecord
{
    ChangeId id;
    Revision base;
    /// Hash of the text, which detects a reuse of the id for another text.
    std::uint64_t digest = 0;
    Result result;
};

/// Results of the newest configuration changes, by change id. It makes changes idempotent: an operator that lost the response resends the
/// change and gets its first result instead of a conflict with itself.
class ChangeLog
{
public:
    explicit ChangeLog(std::size_t limit);

    [[nodiscard]] auto find(const ChangeId &id) const -> const ChangeRecord *;

    /// Adds \p record and evicts the oldest one if the limit is exceeded.
    auto add(ChangeRecord record) -> void;

    /// \return the records, oldest first
    [[nodiscard]] auto records() const -> const std::deque<ChangeRecord> &;

private:
    std::size_t limit;
    std::deque<ChangeRecord> ordered;
    /// Sequence number of each record, counted from the first one ever added.
    std::unordered_map<ChangeId, std::uint64_t> sequenceNumbers;
    /// Number of evicted records, which is the sequence number of the oldest record in \a ordered.
    std::uint64_t evictedCount = 0;
};

/// The whole replicated state; a snapshot contains exactly this.
struct StateContent
{
    explicit StateContent(std::size_t changeLimit);

    /// Revision of the view: increases with each change of the state that the view is built from, so not with promotion grants.
    Revision revision;
    /// Revision of the configuration: increases each time a new configuration takes effect.
    Revision configuration;
    /// Highest version among the configurations that carry an operator's version; 0 before the first one.
    ConfigurationVersion version;
    std::string text;
    support::SharedList<membership::ServiceView> services;
    /// Ordered by name, as views list them.
    support::SharedList<membership::CustomerView> customers;
    std::vector<GroupRecord> groups;
    std::vector<membership::ProxyView> vms;
    DutyGrant duty;
    ChangeLog changes;
};

/// Encodes a snapshot. The encoding is deterministic: equal contents give equal bytes.
[[nodiscard]] auto encode(const StateContent &content) -> consensus::Bytes;

/// \throws std::runtime_error if \p bytes are not a valid snapshot
[[nodiscard]] auto decodeContent(std::span<const std::byte> bytes, std::size_t changeLimit) -> StateContent;

} // namespace sapphirespool::state
