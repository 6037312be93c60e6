// commands.h: the commands of the replicated state machine and their results.
//
// A command that depends on earlier state names the state that its proposer saw: a compare-and-set. It has no effect if another command
// has changed that state in between, so stale commands of a former leader and repeated commands are harmless.
#pragma once

#include "sapphirespool/Configuration/configuration.h"
#include "sapphirespool/Consensus/statemachine.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphirespool::state
{

/// Replaces the configuration. The proposer validates and parses the text before it proposes the command: if each VM did so when it applies
/// the command, VMs of different versions could disagree on what is valid and their states would diverge.
struct ChangeConfiguration
{
    ChangeId change;
    Revision base;
    std::string text;
    /// Parsed form of \a text.
    configuration::Configuration content;
};

/// Adds a member to its group or updates its record.
struct RegisterUpstream
{
    GroupId group;
    membership::UpstreamView upstream;
};

/// Starts the next term of a group. The group has no primary until ChoosePrimary names one for the new term.
struct BeginTerm
{
    GroupId group;
    /// Term that the proposer saw; the command is ignored if the group has left it.
    Term previous;
    Term next;
};

/// Makes a member the primary of a term that has none yet.
struct ChoosePrimary
{
    GroupId group;
    Term term;
    UpstreamId primary;
    Incarnation incarnation;
    LogPosition keptUpTo;
    /// Members of a self-replicating group that the election may have paused.
    std::vector<UpstreamId> paused = {};
};

/// What is known of the orders by which a paused member receives writes again.
enum class ResumePhase : std::uint8_t {
    /// Such an order may be sent from now on, and be carried out at any time until Done.
    Begun,
    /// The member receives writes, and no such order is left that could still be carried out.
    Done,
};

/// Notes the progress of the orders by which a paused member of a self-replicating group receives writes again.
struct NoteResume
{
    GroupId group;
    UpstreamId member;
    ResumePhase phase = ResumePhase::Begun;
};

/// Adds a VM with the proxy role or updates its record.
struct RegisterVm
{
    membership::ProxyView vm;
};

/// Removes a member that has left its group permanently.
struct ForgetUpstream
{
    GroupId group;
    UpstreamId upstream;
    Incarnation incarnation;
};

/// Removes a VM that has been unresponsive for a long time.
struct ForgetVm
{
    VmId vm;
    Incarnation incarnation;
};

/// Grants a control VM the right to order promotions. controller::PromotionDuty determines how long the grant is valid.
struct GrantDuty
{
    VmId holder;
    /// Number of the leadership for which the right is granted.
    std::uint64_t leadership = 0;
    /// Number of the latest grant that the proposer saw; the command is ignored if another grant has followed it.
    std::uint64_t previous = 0;
};

using Command = std::variant<ChangeConfiguration, RegisterUpstream, BeginTerm, ChoosePrimary, RegisterVm, ForgetVm, ForgetUpstream, GrantDuty, NoteResume>;

/// \return the name of the kind of \p command in log events
[[nodiscard]] auto name(const Command &command) -> std::string_view;

/// The change was accepted. The revision is that of the resulting configuration; a resent change gets the revision of its first result, and
/// a versioned change that a higher or equal version preceded gets the current revision.
struct Accepted
{
    Revision revision;
};

/// The base of the change is not the current revision: another change was accepted on it, or it has not been reached yet.
struct Conflict
{
    Revision current;
};

/// The change id was used before with another text or base.
struct ChangeIdReused
{
};

/// The command took effect.
struct Applied
{
};

/// Why a command had no effect.
enum class IgnoredReason : std::uint8_t {
    /// It could not be decoded, or the result was recorded by an earlier build, which kept no reason.
    Unreadable,
    UnknownGroup,
    /// The upstream is not a member of the group (any more).
    UnknownMember,
    UnknownVm,
    /// The group has left the term that the proposer saw.
    OtherTerm,
    /// The term already has a primary.
    PrimaryChosen,
    /// The group already has its configured number of members.
    GroupFull,
    /// The command is about an earlier process.
    FormerProcess,
    /// Another grant of the promotion duty has followed the one that the proposer saw.
    OtherGrant,
    /// The state is as the command demands.
    Unchanged,
};

/// \return the name of \p reason in log events
[[nodiscard]] auto name(IgnoredReason reason) -> std::string_view;

/// The command had no effect.
struct Ignored
{
    IgnoredReason reason = IgnoredReason::Unreadable;
};

using Result = std::variant<Accepted, Conflict, ChangeIdReused, Applied, Ignored>;

[[nodiscard]] auto encode(const Command &command) -> consensus::Bytes;
[[nodiscard]] auto encode(const Result &result) -> consensus::Bytes;

/// \return the command, or nothing if \p bytes are not a valid command
[[nodiscard]] auto decodeCommand(std::span<const std::byte> bytes) -> std::optional<Command>;

/// \return the result, or nothing if \p bytes are not a valid result
[[nodiscard]] auto decodeResult(std::span<const std::byte> bytes) -> std::optional<Result>;

} // namespace sapphirespool::state
