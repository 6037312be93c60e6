// options.h: the options of a subcommand, read by getopt_long.
#pragma once

#include "commands.h"

#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::tool
{

/// An option that a command knows, besides --help.
struct OptionName
{
    std::string name;
    bool hasValue = false;
};

/// What stands on the command line of one subcommand.
class Options
{
public:
    /// \param help printed for --help
    Options(Arguments arguments, std::string_view help, std::vector<OptionName> names);

    /// \return the exit code if the command is over: help was asked for, or an option is unknown
    [[nodiscard]] auto verdict() const -> std::optional<ExitCode>;

    [[nodiscard]] auto has(const std::string &name) const -> bool;
    [[nodiscard]] auto text(const std::string &name) const -> std::optional<std::string>;
    [[nodiscard]] auto number(const std::string &name) const -> std::optional<std::uint64_t>;
    [[nodiscard]] auto endpoint(const std::string &name, const std::string &fallback) const -> std::optional<Endpoint>;
    [[nodiscard]] auto operands() const -> const std::vector<std::string> &;

    /// Says what is wrong with the command line.
    [[nodiscard]] auto reject(std::string_view what) const -> ExitCode;

private:
    std::string help;
    std::map<std::string, std::string> values;
    std::vector<std::string> rest;
    std::optional<ExitCode> ended;
};

} // namespace sapphirespool::tool
