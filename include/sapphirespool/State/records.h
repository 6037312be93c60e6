// records.h: what the replicated state holds.
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

/// A database group. It outlives its services: a term, once used, must never be used again.
struct GroupRecord
{
    membership::GroupView view;
    /// Members that the group has, whether or not all of them have announced themselves.
    std::uint32_t size = configuration::usualGroupSize;
    /// As the configuration says.
    bool selfReplicating = false;
    std::uint32_t confirmations = 0;
    /// Process of the primary when it was chosen. A restart ends the term: a member that comes back with less than it answered would
    /// give positions of the term to other writes, and their confirmation would be taken for one of the lost writes.
    Incarnation primaryIncarnation;

    /// \return how many members must be fenced before the group has a new primary: each two members, as many as confirm a write, are met
    [[nodiscard]] auto quorum() const -> std::uint32_t;
};

/// Who may order promotions. Whether the grant still holds depends on when it was proposed and seen; see controller::PromotionDuty.
struct DutyGrant
{
    VmId holder;
    /// Number of the leadership for which it was granted.
    std::uint64_t leadership = 0;
    /// Rises with each grant; 0 before the first one.
    std::uint64_t number = 0;
};

/// First answer to a change of the configuration.
struct ChangeRecord
{
    ChangeId id;
    Revision base;
    /// Hash of the text, so that the id is not taken for another one.
    std::uint64_t digest = 0;
    Result result;
};

/// The newest changes by their ids.
class ChangeLog
{
public:
    explicit ChangeLog(std::size_t limit);

    [[nodiscard]] auto find(const ChangeId &id) const -> const ChangeRecord *;

    /// Adds \p record and forgets the oldest one beyond the limit.
    auto add(ChangeRecord record) -> void;

    /// \return the records, oldest first
    [[nodiscard]] auto records() const -> const std::deque<ChangeRecord> &;

private:
    std::size_t limit;
    std::deque<ChangeRecord> ordered;
    /// Number of each record since the first one.
    std::unordered_map<ChangeId, std::uint64_t> places;
    std::uint64_t forgotten = 0;
};

/// Everything that a snapshot carries.
struct StateContent
{
    explicit StateContent(std::size_t changeLimit);

    Revision revision;
    Revision configuration;
    /// Number of the text, if the operators number their texts; 0 before the first one.
    ConfigurationVersion version;
    std::string text;
    support::SharedList<membership::ServiceView> services;
    std::vector<GroupRecord> groups;
    std::vector<membership::ProxyView> vms;
    DutyGrant duty;
    ChangeLog changes;
};

/// Equal contents give equal bytes.
[[nodiscard]] auto encode(const StateContent &content) -> consensus::Bytes;

/// \throws std::runtime_error if the bytes are no snapshot
[[nodiscard]] auto decodeContent(std::span<const std::byte> bytes, std::size_t changeLimit) -> StateContent;

} // namespace sapphirespool::state
