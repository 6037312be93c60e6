// commands.h: the changes that the replicated state accepts, and what they give.
//
// A command names the state that its proposer saw. One that comes after another command changed that state does nothing, so that
// commands of a former leader and repeated ones are harmless.
#pragma once

#include "sapphirespool/Configuration/configuration.h"
#include "sapphirespool/Consensus/statemachine.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

namespace sapphirespool::state
{

/// Replaces the operators' text. The proposer has checked it: VMs of different versions would else disagree on what is valid.
struct ChangeConfiguration
{
    ChangeId change;
    Revision base;
    std::string text;
    /// What \a text says.
    configuration::Configuration content;
};

/// Adds a member to its group or replaces what is known of it.
struct RegisterUpstream
{
    GroupId group;
    membership::UpstreamView upstream;
};

/// Ends the term of a group; from now on it has no primary.
struct BeginTerm
{
    GroupId group;
    /// Term that the proposer saw.
    Term previous;
    Term next;
};

/// Makes a member the primary of a term that has none.
struct ChoosePrimary
{
    GroupId group;
    Term term;
    UpstreamId primary;
    Incarnation incarnation;
    LogPosition keptUpTo;
};

/// Adds a VM with the proxy role or replaces what is known of it.
struct RegisterVm
{
    membership::ProxyView vm;
};

/// Removes a member that has left its group for good.
struct ForgetUpstream
{
    GroupId group;
    UpstreamId upstream;
    Incarnation incarnation;
};

/// Removes a VM that has been silent for long.
struct ForgetVm
{
    VmId vm;
    Incarnation incarnation;
};

/// Grants the right to order promotions to a control VM. For how long: see controller::PromotionDuty.
struct GrantDuty
{
    VmId holder;
    /// Number of the leadership for which it is granted.
    std::uint64_t leadership = 0;
    /// Number of the grant that the proposer saw.
    std::uint64_t previous = 0;
};

using Command = std::variant<ChangeConfiguration, RegisterUpstream, BeginTerm, ChoosePrimary, RegisterVm, ForgetVm, ForgetUpstream, GrantDuty>;

/// The text is the configuration of this revision, or was when the change was first sent.
struct Accepted
{
    Revision revision;
};

/// Another text was accepted on the same base, or the base has not been reached.
struct Conflict
{
    Revision current;
};

/// The change id was used for another text.
struct ChangeIdReused
{
};

/// The command took effect.
struct Applied
{
};

/// The command does not fit the state any more, or changes nothing.
struct Ignored
{
};

using Result = std::variant<Accepted, Conflict, ChangeIdReused, Applied, Ignored>;

[[nodiscard]] auto encode(const Command &command) -> consensus::Bytes;
[[nodiscard]] auto encode(const Result &result) -> consensus::Bytes;

/// \return the command, or nothing if the bytes are none
[[nodiscard]] auto decodeCommand(std::span<const std::byte> bytes) -> std::optional<Command>;

/// \return the result, or nothing if the bytes are none
[[nodiscard]] auto decodeResult(std::span<const std::byte> bytes) -> std::optional<Result>;

} // namespace sapphirespool::state
