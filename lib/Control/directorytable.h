// directorytable.h: what a directory knows of the control VMs.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace sapphirespool::control
{

/// What a control VM announces of itself.
struct ControlVmEntry
{
    VmId vm;
    ZoneId zone;
    Endpoint endpoint;
    consensus::ReplicaId replica;
    /// Members of its group; 0 if it is in none.
    std::uint32_t groupSize = 0;
    bool leads = false;

    auto operator==(const ControlVmEntry &) const -> bool = default;
};

/// An entry with the time since the control VM itself announced it.
struct KnownControlVm
{
    ControlVmEntry entry;
    Duration age{};

    auto operator==(const KnownControlVm &) const -> bool = default;
};

/// Answer of a directory to a control VM that asks to join.
struct DirectoryJoinAnswer
{
    /// Whether the directory knows of no group.
    bool empty = false;
    std::vector<consensus::ControlMember> members;
};

/// A control VM that the table lists since now, or no longer.
struct DirectoryChange
{
    VmId vm;
    Endpoint endpoint;
    bool isListed = false;
};

/// Soft state of a directory; pure. Its entries grant nothing: they are only places to connect to.
class DirectoryTable
{
public:
    /// An entry is dropped if the control VM has not confirmed it for this long, directly or through other directories.
    static constexpr auto entryLifetime = std::chrono::seconds(5);
    static constexpr auto maxEntries = std::size_t{16};
    /// A directory that called is called back for this long.
    static constexpr auto callerLifetime = std::chrono::seconds(5);
    /// A directory that started more recently does not say that there is no group: the control VMs of one may not have announced
    /// themselves yet, which they do once a second.
    static constexpr auto learningTime = std::chrono::milliseconds(1500);
    /// Added to the age of an entry that another process passes on, which does not include the time on the way. Otherwise directories
    /// would keep the entry of a lost VM fresh for each other.
    static constexpr auto hopAge = std::chrono::milliseconds(100);

    explicit DirectoryTable(TimePoint startedAt);

    /// Takes what a control VM announces or another directory passes on.
    auto learn(std::span<const KnownControlVm> known, TimePoint now) -> void;

    /// Takes the control VMs that a lease of the directory's own connection to control names.
    auto noteLease(std::vector<Endpoint> controlVms, TimePoint now) -> void;

    /// Notes that the directory at \p endpoint called.
    auto noteCaller(const Endpoint &endpoint, TimePoint now) -> void;

    /// \return the entries with their ages, those in a group first
    [[nodiscard]] auto known(TimePoint now) const -> std::vector<KnownControlVm>;
    /// \return where the leader was when it last announced itself
    [[nodiscard]] auto leader(TimePoint now) const -> std::optional<Endpoint>;
    /// \return where control VMs are reached, those in a group first
    [[nodiscard]] auto controlVms(TimePoint now) const -> std::vector<Endpoint>;
    /// \return the directories that called recently
    [[nodiscard]] auto callers(TimePoint now) const -> std::vector<Endpoint>;
    [[nodiscard]] auto joinAnswer(TimePoint now) const -> DirectoryJoinAnswer;

    /// Drops what is outdated.
    /// \return the control VMs that were listed or dropped since the last call
    auto takeChanges(TimePoint now) -> std::vector<DirectoryChange>;

private:
    struct Record
    {
        ControlVmEntry entry;
        TimePoint confirmedAt;
    };

    auto learnOne(const KnownControlVm &known, TimePoint now) -> void;
    auto boundEntries() -> void;

    TimePoint startedAt;
    std::map<VmId, Record> records;
    std::map<VmId, Endpoint> listed;
    std::map<Endpoint, TimePoint> calledAt;
    std::vector<Endpoint> leaseNamed;
    TimePoint leaseAt;
};

} // namespace sapphirespool::control
