// commands.h: the subcommands of the binary.
#pragma once

#include <span>

namespace sapphirespool::tool
{

/// Exit codes of the binary; the README documents them.
enum class ExitCode {
    Success = 0,
    /// The work was tried and failed.
    Failed = 1,
    /// The command line, the settings or the text are wrong; nothing was tried.
    Usage = 2,
};

/// Arguments of a subcommand; the first is its name, as getopt_long wants it.
using Arguments = std::span<char *>;

/// Hands a text to the system.
auto runApply(Arguments arguments) -> ExitCode;

/// Checks a text without sending it.
auto runCheck(Arguments arguments) -> ExitCode;

/// Serves a whole system in one process, to try it out.
auto runDemo(Arguments arguments) -> ExitCode;

/// Drives callers against a running system.
auto runLoad(Arguments arguments) -> ExitCode;

/// Passes connections on over ways that misbehave.
auto runRelay(Arguments arguments) -> ExitCode;

/// Serves one VM by its settings.
auto runServe(Arguments arguments) -> ExitCode;

/// Serves one VM by its settings in the world of the users' platform.
auto runServePlatform(Arguments arguments) -> ExitCode;

/// Serves one stand-in member of a database group.
auto runStandin(Arguments arguments) -> ExitCode;

/// Shows the revision of each VM.
auto runStatus(Arguments arguments) -> ExitCode;

/// Prints the version.
auto runVersion(Arguments arguments) -> ExitCode;

} // namespace sapphirespool::tool
