// Names of commands and of the reasons for which they had no effect, as log events show them.
#include "sapphirespool/State/commands.h"

namespace sapphirespool::state
{

namespace
{

struct CommandName
{
    auto operator()(const ChangeConfiguration &) const -> std::string_view
    {
        return "change_configuration";
    }

    auto operator()(const RegisterUpstream &) const -> std::string_view
    {
        return "register_upstream";
    }

    auto operator()(const BeginTerm &) const -> std::string_view
    {
        return "begin_term";
    }

    auto operator()(const ChoosePrimary &) const -> std::string_view
    {
        return "choose_primary";
    }

    auto operator()(const RegisterVm &) const -> std::string_view
    {
        return "register_vm";
    }

    auto operator()(const ForgetVm &) const -> std::string_view
    {
        return "forget_vm";
    }

    auto operator()(const ForgetUpstream &) const -> std::string_view
    {
        return "forget_upstream";
    }

    auto operator()(const GrantDuty &) const -> std::string_view
    {
        return "grant_duty";
    }

    auto operator()(const NoteResume &) const -> std::string_view
    {
        return "note_resume";
    }
};

} // namespace

auto name(const Command &command) -> std::string_view
{
    return std::visit(CommandName(), command);
}

auto name(IgnoredReason reason) -> std::string_view
{
    switch (reason) {
    case IgnoredReason::Unreadable:
        return "unreadable";
    case IgnoredReason::UnknownGroup:
        return "unknown_group";
    case IgnoredReason::UnknownMember:
        return "unknown_member";
    case IgnoredReason::UnknownVm:
        return "unknown_vm";
    case IgnoredReason::OtherTerm:
        return "other_term";
    case IgnoredReason::PrimaryChosen:
        return "primary_chosen";
    case IgnoredReason::GroupFull:
        return "group_full";
    case IgnoredReason::FormerProcess:
        return "former_process";
    case IgnoredReason::OtherGrant:
        return "other_grant";
    case IgnoredReason::Unchanged:
        return "unchanged";
    }
    return "unknown";
}

} // namespace sapphirespool::state
