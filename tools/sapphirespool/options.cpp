#include "options.h"

#include <charconv>
#include <getopt.h>
#include <iostream>
#include <limits>
#include <utility>

namespace sapphirespool::tool
{

namespace
{

template <typename Number>
auto parseNumber(std::string_view text) -> std::optional<Number>
{
    auto number = Number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

Options::Options(Arguments arguments, std::string_view help, std::vector<OptionName> names)
    : help(help)
{
    names.push_back({"help", false});
    auto longOptions = std::vector<option>();
    for (const auto &name : names) {
        longOptions.push_back({name.name.c_str(), name.hasValue ? required_argument : no_argument, nullptr, 0});
    }
    longOptions.push_back({nullptr, 0, nullptr, 0});
    auto place = 0;
    optind = 1;
    for (auto found = 0; (found = getopt_long(static_cast<int>(arguments.size()), arguments.data(), "", longOptions.data(), &place)) != -1;) {
        if (found != 0) {
            this->ended = ExitCode::Usage;
            return;
        }
        this->values.insert_or_assign(names[static_cast<std::size_t>(place)].name, optarg == nullptr ? "" : optarg);
    }
    for (auto operand = static_cast<std::size_t>(optind); operand < arguments.size(); ++operand) {
        this->rest.emplace_back(arguments[operand]);
    }
    if (this->has("help")) {
        std::cout << this->help;
        this->ended = ExitCode::Success;
    }
}

auto Options::verdict() const -> std::optional<ExitCode>
{
    return this->ended;
}

auto Options::has(const std::string &name) const -> bool
{
    return this->values.contains(name);
}

auto Options::text(const std::string &name) const -> std::optional<std::string>
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? std::nullopt : std::optional(found->second);
}

auto Options::number(const std::string &name) const -> std::optional<std::uint64_t>
{
    const auto value = this->text(name);
    return value ? parseNumber<std::uint64_t>(*value) : std::nullopt;
}

auto Options::endpoint(const std::string &name, const std::string &fallback) const -> std::optional<Endpoint>
{
    const auto value = this->text(name).value_or(fallback);
    const auto colon = value.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = parseNumber<std::uint16_t>(std::string_view(value).substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    return Endpoint{value.substr(0, colon), *port};
}

auto Options::operands() const -> const std::vector<std::string> &
{
    return this->rest;
}

auto Options::reject(std::string_view what) const -> ExitCode
{
    std::cerr << what << "\n\n" << this->help;
    return ExitCode::Usage;
}

} // namespace sapphirespool::tool
