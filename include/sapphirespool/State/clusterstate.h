// clusterstate.h: the replicated state of the system.
#pragma once

#include "sapphirespool/Consensus/statemachine.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/State/commands.h"
#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace sapphirespool::state
{

/// Configuration, database groups and VMs. Lives on the control thread.
class ClusterState : public consensus::StateMachine
{
public:
    /// Changes whose ids are remembered, the newest ones.
    ///
    /// The controller lets through at most controller::changesPerSecond changes, so an id is remembered for at least 54 minutes; clients
    /// resend for 10 at most. An id that was forgotten all the same meets a base that has passed and gets a conflict: it is never
    /// accepted twice. 65,536 ids of the longest kind take 11 MB.
    static constexpr auto rememberedChanges = std::size_t{65'536};
    /// Terms of a group whose starts are kept. A position of an older term is judged by the oldest start that is left, which at worst
    /// sends a read to the primary.
    static constexpr auto rememberedTerms = std::size_t{256};

    ClusterState();
    ~ClusterState() override;

    auto apply(consensus::LogIndex index, std::span<const std::byte> command) -> consensus::Bytes override;
    [[nodiscard]] auto snapshot() const -> consensus::Bytes override;
    auto restore(std::span<const std::byte> snapshot) -> void override;

    /// Applies a decoded command.
    auto execute(const Command &command) -> Result;

    /// \return the newest view, never null
    [[nodiscard]] auto view() const -> std::shared_ptr<const membership::ClusterView>;

    /// Has \p listener called after each change of view(). One listener; an empty one removes it.
    auto onChange(std::function<void()> listener) -> void;

    [[nodiscard]] auto text() const -> const std::string &;

    /// \return all groups that a configuration ever named, ordered by name
    [[nodiscard]] auto groups() const -> std::span<const GroupRecord>;
    /// \return the newest grant of the right to order promotions; it is not part of the view
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

    auto decide(const ChangeConfiguration &command) -> Result;
    auto replace(const ChangeConfiguration &command) -> Result;
    auto adopt(const ChangeConfiguration &command) -> void;
    auto remember(const ChangeConfiguration &command, const Result &result) -> void;
    auto group(const GroupId &id) -> GroupRecord *;
    /// Counts a change and builds the view that shows it.
    auto changed() -> Applied;
    auto buildView() -> void;

    StateContent content;
    std::shared_ptr<const membership::ClusterView> builtView;
    std::function<void()> listener;
};

} // namespace sapphirespool::state
