// yaml.h: reads YAML field by field and reports what is wrong with file, line and remedy.
//
// All problems of a text are collected, so that one run shows an operator every line to correct.
#pragma once

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace YAML // NOLINT(readability-identifier-naming): yaml-cpp's own name
{
class Node;
}

namespace sapphirespool::support
{

/// One thing that is wrong with a text.
struct TextProblem
{
    std::string file;
    /// From 1.
    std::size_t line = 1;
    std::string what;
    std::string remedy;
};

/// Payload of the error of a text that was rejected; never empty.
struct TextProblems
{
    std::vector<TextProblem> list;
};

/// \return for example `services.yaml:12: unknown field 'grop'; use one of group, timeout`
[[nodiscard]] auto describe(const TextProblem &problem) -> std::string;

/// \return a line for each problem
[[nodiscard]] auto describe(const TextProblems &problems) -> std::string;

/// Values that a number may take.
struct NumberRange
{
    std::uint64_t lowest;
    std::uint64_t highest;
};

/// Values that a length of time may take.
struct DurationRange
{
    std::chrono::milliseconds shortest;
    std::chrono::milliseconds longest;
};

struct YamlEntry;

/// One mapping of a text. A wrong field is reported and read as its fallback, or as an empty value; verdict() tells in the end.
class YamlMap
{
public:
    /// \return the field's text, which must be there
    auto text(std::string_view name) -> std::string;
    auto text(std::string_view name, std::string_view fallback) -> std::string;

    /// \return the place in \p words of the field's text
    auto choice(std::string_view name, std::span<const std::string_view> words, std::size_t fallback) -> std::size_t;

    /// \param fallback value of an absent field; if there is none, the field must be there
    auto number(std::string_view name, NumberRange range, std::optional<std::uint64_t> fallback) -> std::uint64_t;

    /// Reads a number from 0 to 1.
    auto ratio(std::string_view name, double fallback) -> double;

    /// Reads a length of time with its unit, for example 150ms, 2s or 5m.
    auto duration(std::string_view name, DurationRange range, std::chrono::milliseconds fallback) -> std::chrono::milliseconds;

    /// \return the words of a list; empty if the field is absent
    auto texts(std::string_view name) -> std::vector<std::string>;

    /// \return the mapping in the field, if there is one
    auto map(std::string_view name) -> std::optional<YamlMap>;

    /// \return the mappings of a list; empty if the field is absent
    auto maps(std::string_view name) -> std::vector<YamlMap>;

    /// \return the named mappings of a mapping; empty if the field is absent
    auto entries(std::string_view name) -> std::vector<YamlEntry>;

    [[nodiscard]] auto has(std::string_view name) const -> bool;

    /// Reports a problem at the line of the field, or of the mapping if the field is absent.
    auto report(std::string_view name, std::string what, std::string remedy) -> void;

    /// Reports each field that was not asked for.
    auto rejectOthers() -> void;

    /// \return an error with TextProblems if anything was reported in the text so far
    [[nodiscard]] auto verdict() const -> boost::leaf::result<void>;

private:
    friend auto readYaml(std::string_view file, std::string_view text) -> boost::leaf::result<YamlMap>;

    YamlMap(const YAML::Node &node, std::string file, std::shared_ptr<TextProblems> problems);

    [[nodiscard]] auto find(std::string_view name) const -> std::optional<YAML::Node>;
    auto ask(std::string_view name) -> std::optional<YAML::Node>;
    auto scalar(std::string_view name, std::string_view expected) -> std::optional<std::string>;
    auto reportMissing(std::string_view name) -> void;
    auto reportDuplicates() -> void;
    auto reportAt(const YAML::Node &node, std::string what, std::string remedy) -> void;

    std::shared_ptr<const YAML::Node> node;
    std::string file;
    std::shared_ptr<TextProblems> problems;
    std::vector<std::string> asked;
};

/// A named mapping.
struct YamlEntry
{
    std::string name;
    YamlMap map;
};

/// Parses \p text, whose top must be a mapping.
/// \param file name that stands in the reports
[[nodiscard]] auto readYaml(std::string_view file, std::string_view text) -> boost::leaf::result<YamlMap>;

/// Reads a file and parses it as readYaml() does.
[[nodiscard]] auto readYamlFile(std::string_view file) -> boost::leaf::result<YamlMap>;

} // namespace sapphirespool::support
