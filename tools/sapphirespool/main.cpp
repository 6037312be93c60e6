// main.cpp: picks the subcommand.
#include "commands.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <exception>
#include <iostream>
#include <string_view>

namespace sapphirespool::tool
{

namespace
{

struct Command
{
    std::string_view name;
    std::string_view summary;
    ExitCode (*run)(Arguments arguments);
};

constexpr auto commands = std::to_array<Command>({
    {"apply", "hand the operators' text to the system", runApply},
    {"check", "check the operators' text", runCheck},
    {"demo", "serve a whole system in one process", runDemo},
    {"load", "drive callers against a running system and report what they received", runLoad},
    {"relay", "pass connections on over ways that misbehave, for trials", runRelay},
    {"serve", "serve one VM by its settings", runServe},
    {"serve-platform", "serve one VM by its settings on the users' platform", runServePlatform},
    {"standin", "serve one member of a database group, for trials", runStandin},
    {"status", "show the revision that each VM serves under", runStatus},
    {"version", "print the version", runVersion},
});

auto printUsage(std::ostream &stream) -> void
{
    stream << "usage: sapphirespool COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto &command : commands) {
        stream << "  " << command.name << "  " << command.summary << "\n";
    }
    stream << "\n'sapphirespool COMMAND --help' lists the options of a command\n";
}

auto run(Arguments arguments) -> ExitCode
{
    if (arguments.size() < 2) {
        printUsage(std::cerr);
        return ExitCode::Usage;
    }
    const auto name = std::string_view(arguments[1]);
    if (name == "--help" || name == "-h") {
        printUsage(std::cout);
        return ExitCode::Success;
    }
    const auto *const command = std::find_if(commands.begin(), commands.end(), [name](const Command &candidate) {
        return candidate.name == name;
    });
    if (command == commands.end()) {
        std::cerr << "unknown command " << name << "; 'sapphirespool --help' lists the commands\n";
        return ExitCode::Usage;
    }
    return command->run(arguments.subspan(1));
}

} // namespace

auto runVersion(Arguments) -> ExitCode
{
    std::cout << "sapphirespool " << SAPPHIRESPOOL_VERSION << "\n";
    return ExitCode::Success;
}

} // namespace sapphirespool::tool

auto main(int argc, char **argv) -> int
{
    // Its default action ends the process when the file that takes its output reaches the file size limit.
    std::signal(SIGXFSZ, SIG_IGN);
    try {
        const auto arguments = sapphirespool::tool::Arguments(argv, static_cast<std::size_t>(argc));
        return static_cast<int>(sapphirespool::tool::run(arguments));
    } catch (const std::exception &error) {
        std::cerr << "sapphirespool: " << error.what() << "\n";
        return static_cast<int>(sapphirespool::tool::ExitCode::Failed);
    }
}
