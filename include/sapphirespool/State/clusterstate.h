// clusterstate.h: the state machine that the control VMs replicate through the consensus log.
#pragma once

#include "sapphirespool/Consensus/statemachine.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/State/commands.h"
#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace sapphirespool::state
{

/// Replicated state machine that holds the configuration, the database groups and the VMs.
///
/// It applies the committed commands in log order, so that all control VMs hold equal states. The immutable view for readers is built
/// when it is asked for, not after each change: a control VM that replays its log applies thousands of changes that nobody reads in
/// between, and a view copies the whole state. It is used on the control thread only.
class ClusterState : public consensus::StateMachine
{
public:
    /// Number of configuration changes, the newest ones, whose ids and results are kept to deduplicate resent changes.
    ///
    /// The controller admits at most controller::changesPerSecond changes, so an id is kept for at least 54 minutes; clients resend for
    /// 10 minutes at most. A change that is resent after its id was evicted names an outdated base and gets a conflict, so it is never
    /// accepted twice. 65,536 ids of the maximum length take 11 MB.
    static constexpr auto changeLogLimit = std::size_t{65'536};
    /// Number of terms of a group, the newest ones, whose start positions are kept. A position of an older term is compared with the
    /// oldest start that is kept, which at worst routes a read to the primary.
    static constexpr auto termHistoryLimit = std::size_t{256};

    ClusterState();
    ~ClusterState() override;

    auto apply(consensus::LogIndex index, std::span<const std::byte> command) -> consensus::Bytes override;
    [[nodiscard]] auto snapshot() const -> consensus::Bytes override;
    auto restore(std::span<const std::byte> snapshot) -> void override;

    /// Applies a decoded command; apply() decodes and calls it.
    auto execute(const Command &command) -> Result;

    /// \return the view of the latest revision, never null; it lists only groups that a service names
    [[nodiscard]] auto view() const -> std::shared_ptr<const membership::ClusterView>;
    /// \return the number of views built so far
    [[nodiscard]] auto viewsBuilt() const -> std::uint64_t;

    /// Registers \p listener, which is called after each change of the state behind view(). It replaces the previous listener; an empty
    /// one removes it.
    auto onChange(std::function<void()> listener) -> void;

    /// \return the revision of view()
    [[nodiscard]] auto revision() const -> Revision;
    /// \return the revision of the configuration in force
    [[nodiscard]] auto configuration() const -> Revision;
    /// \return all registered VMs, ordered by id
    [[nodiscard]] auto vms() const -> std::span<const membership::ProxyView>;
    [[nodiscard]] auto findVm(const VmId &vm) const -> const membership::ProxyView *;

    /// \return the text of the configuration in force, as the operators sent it
    [[nodiscard]] auto text() const -> const std::string &;

    /// \return all groups that any configuration has named, also those that the current one omits, ordered by id
    [[nodiscard]] auto groups() const -> std::span<const GroupRecord>;
    /// \return the latest grant of the right to order promotions; it is not part of the view
    [[nodiscard]] auto promotionDuty() const -> const DutyGrant &;
    [[nodiscard]] auto findGroup(const GroupId &group) const -> const GroupRecord *;

private:
    auto run(const ChangeConfiguration &command) -> Result;
    auto run(const RegisterUpstream &command) -> Result;
    auto run(const BeginTerm &command) -> Result;
    auto run(const ChoosePrimary &command) -> Result;
    auto run(const RegisterVm &command) -> Result;
    auto run(const ForgetVm &command) -> Result;
    auto run(const ForgetUpstream &command) -> Result;
    auto run(const GrantDuty &command) -> Result;
    auto run(const NoteResume &command) -> Result;

    /// Applies a change without a version if its base is the current configuration.
    auto applyToBase(const ChangeConfiguration &command) -> Result;
    /// Applies a change with a version if the version is the highest so far.
    auto applyVersioned(const ChangeConfiguration &command) -> Result;
    /// Puts the configuration of \p command into force and creates the groups that it names for the first time.
    auto installConfiguration(const ChangeConfiguration &command) -> void;
    /// Keeps \p result for resends of \p command.
    auto recordResult(const ChangeConfiguration &command, const Result &result) -> void;
    auto group(const GroupId &id) -> GroupRecord *;
    /// Increments the revision.
    auto advanceRevision() -> Applied;
    /// Discards the view of an earlier state and notifies the listener.
    auto invalidateView() -> void;
    [[nodiscard]] auto buildView() const -> std::shared_ptr<const membership::ClusterView>;

    StateContent content;
    /// Null until view() is called after a change.
    mutable std::shared_ptr<const membership::ClusterView> builtView;
    mutable std::uint64_t builtViews = 0;
    std::function<void()> listener;
};

} // namespace sapphirespool::state
