#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/error.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

namespace sapphirespool::support
{

namespace
{

/// A text of 1,000 services has about 150 KiB; more than this is no text of an operator.
constexpr auto textLimit = std::size_t{1024 * 1024};

struct Unit
{
    std::string_view suffix;
    std::uint64_t milliseconds;
};

/// Longer suffixes first, so that ms is not read as m.
constexpr auto units = std::to_array<Unit>({{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}});

template <typename Number>
auto parseNumber(std::string_view text) -> std::optional<Number>
{
    auto number = Number{};
    const auto *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

auto parseDuration(std::string_view text) -> std::optional<std::chrono::milliseconds>
{
    constexpr auto longest = std::uint64_t{366} * 24 * 3'600'000;
    if (text == "0") {
        return std::chrono::milliseconds(0);
    }
    for (const auto &unit : units) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const auto count = parseNumber<std::uint64_t>(text.substr(0, text.size() - unit.suffix.size()));
        if (!count || *count > longest / unit.milliseconds) {
            return std::nullopt;
        }
        return std::chrono::milliseconds(*count * unit.milliseconds);
    }
    return std::nullopt;
}

template <typename Words>
auto joined(const Words &words) -> std::string
{
    auto text = std::string();
    for (const auto &word : words) {
        text += text.empty() ? "" : ", ";
        text += word;
    }
    return text;
}

auto quoted(std::string_view name) -> std::string
{
    return "'" + std::string(name) + "'";
}

auto spanText(std::uint64_t lowest, std::uint64_t highest, std::string_view unit) -> std::string
{
    return std::to_string(lowest) + std::string(unit) + " to " + std::to_string(highest) + std::string(unit);
}

auto lineOf(const YAML::Mark &mark) -> std::size_t
{
    return mark.line < 0 ? 1 : static_cast<std::size_t>(mark.line) + 1;
}

auto rejected(TextProblem problem) -> boost::leaf::error_id
{
    return boost::leaf::new_error(TextProblems{{std::move(problem)}});
}

} // namespace

auto describe(const TextProblem &problem) -> std::string
{
    return problem.file + ":" + std::to_string(problem.line) + ": " + problem.what + "; " + problem.remedy;
}

auto describe(const TextProblems &problems) -> std::string
{
    auto text = std::string();
    for (const auto &problem : problems.list) {
        text += text.empty() ? "" : "\n";
        text += describe(problem);
    }
    return text;
}

YamlMap::YamlMap(const YAML::Node &node, std::string file, std::shared_ptr<TextProblems> problems)
    : node(std::make_shared<const YAML::Node>(node))
    , file(std::move(file))
    , problems(std::move(problems))
{
    this->reportDuplicates();
}

auto YamlMap::text(std::string_view name) -> std::string
{
    if (!this->has(name)) {
        this->reportMissing(name);
        return {};
    }
    return this->text(name, {});
}

auto YamlMap::text(std::string_view name, std::string_view fallback) -> std::string
{
    return this->scalar(name, "a text").value_or(std::string(fallback));
}

auto YamlMap::choice(std::string_view name, std::span<const std::string_view> words, std::size_t fallback) -> std::size_t
{
    const auto expected = "one of " + joined(words);
    const auto word = this->scalar(name, expected);
    if (!word) {
        return fallback;
    }
    const auto found = std::find(words.begin(), words.end(), *word);
    if (found == words.end()) {
        this->report(name, quoted(name) + " is " + quoted(*word), "use " + expected);
        return fallback;
    }
    return static_cast<std::size_t>(std::distance(words.begin(), found));
}

auto YamlMap::number(std::string_view name, NumberRange range, std::optional<std::uint64_t> fallback) -> std::uint64_t
{
    const auto absent = fallback.value_or(range.lowest);
    const auto expected = "a number from " + spanText(range.lowest, range.highest, "");
    if (!this->has(name) && !fallback) {
        this->reportMissing(name);
        return absent;
    }
    const auto word = this->scalar(name, expected);
    if (!word) {
        return absent;
    }
    const auto value = parseNumber<std::uint64_t>(*word);
    if (!value || *value < range.lowest || *value > range.highest) {
        this->report(name, quoted(name) + " is " + quoted(*word), "use " + expected);
        return absent;
    }
    return *value;
}

auto YamlMap::ratio(std::string_view name, double fallback) -> double
{
    const auto word = this->scalar(name, "a number from 0 to 1");
    if (!word) {
        return fallback;
    }
    const auto value = parseNumber<double>(*word);
    if (!value || !(*value >= 0.0 && *value <= 1.0)) {
        this->report(name, quoted(name) + " is " + quoted(*word), "use a number from 0 to 1");
        return fallback;
    }
    return *value;
}

auto YamlMap::duration(std::string_view name, DurationRange range, std::chrono::milliseconds fallback) -> std::chrono::milliseconds
{
    const auto lowest = static_cast<std::uint64_t>(range.shortest.count());
    const auto highest = static_cast<std::uint64_t>(range.longest.count());
    const auto expected = "a time from " + spanText(lowest, highest, "ms") + " with its unit ms, s, m or h";
    const auto word = this->scalar(name, expected);
    if (!word) {
        return fallback;
    }
    const auto value = parseDuration(*word);
    if (!value || *value < range.shortest || *value > range.longest) {
        this->report(name, quoted(name) + " is " + quoted(*word), "use " + expected);
        return fallback;
    }
    return *value;
}

auto YamlMap::texts(std::string_view name) -> std::vector<std::string>
{
    auto words = std::vector<std::string>();
    const auto field = this->ask(name);
    if (!field) {
        return words;
    }
    if (!field->IsSequence()) {
        this->report(name, quoted(name) + " is no list", "use a list of texts, for example [a, b]");
        return words;
    }
    for (const auto &element : *field) {
        if (!element.IsScalar()) {
            this->reportAt(element, "an element of " + quoted(name) + " is no text", "use a list of texts, for example [a, b]");
            continue;
        }
        words.push_back(element.Scalar());
    }
    return words;
}

auto YamlMap::map(std::string_view name) -> std::optional<YamlMap>
{
    const auto field = this->ask(name);
    if (!field) {
        return std::nullopt;
    }
    if (!field->IsMap()) {
        this->report(name, quoted(name) + " is no mapping", "use fields with values");
        return std::nullopt;
    }
    return YamlMap(*field, this->file, this->problems);
}

auto YamlMap::maps(std::string_view name) -> std::vector<YamlMap>
{
    auto maps = std::vector<YamlMap>();
    const auto field = this->ask(name);
    if (!field) {
        return maps;
    }
    if (!field->IsSequence()) {
        this->report(name, quoted(name) + " is no list", "use a list of mappings");
        return maps;
    }
    for (const auto &element : *field) {
        if (!element.IsMap()) {
            this->reportAt(element, "an element of " + quoted(name) + " is no mapping", "use fields with values");
            continue;
        }
        maps.push_back(YamlMap(element, this->file, this->problems));
    }
    return maps;
}

auto YamlMap::entries(std::string_view name) -> std::vector<YamlEntry>
{
    auto entries = std::vector<YamlEntry>();
    const auto field = this->ask(name);
    if (!field) {
        return entries;
    }
    if (!field->IsMap()) {
        this->report(name, quoted(name) + " is no mapping", "use a name with its fields for each entry");
        return entries;
    }
    // The mapping itself is wrapped so that a name that stands twice is reported.
    const auto wrapped = YamlMap(*field, this->file, this->problems);
    for (const auto &entry : *wrapped.node) {
        if (!entry.first.IsScalar() || !entry.second.IsMap()) {
            this->reportAt(entry.first, "an entry of " + quoted(name) + " has no fields", "use a name with its fields for each entry");
            continue;
        }
        entries.push_back({entry.first.Scalar(), YamlMap(entry.second, this->file, this->problems)});
    }
    return entries;
}

auto YamlMap::has(std::string_view name) const -> bool
{
    return this->find(name).has_value();
}

auto YamlMap::report(std::string_view name, std::string what, std::string remedy) -> void
{
    const auto field = this->find(name);
    this->reportAt(field ? *field : *this->node, std::move(what), std::move(remedy));
}

auto YamlMap::rejectOthers() -> void
{
    for (const auto &field : *this->node) {
        if (!field.first.IsScalar()) {
            this->reportAt(field.first, "the name of a field is no text", "use one of " + joined(this->asked));
            continue;
        }
        if (std::find(this->asked.begin(), this->asked.end(), field.first.Scalar()) == this->asked.end()) {
            this->reportAt(field.first, "unknown field " + quoted(field.first.Scalar()), "use one of " + joined(this->asked));
        }
    }
}

auto YamlMap::verdict() const -> boost::leaf::result<void>
{
    if (this->problems->list.empty()) {
        return {};
    }
    return boost::leaf::new_error(*this->problems);
}

auto YamlMap::find(std::string_view name) const -> std::optional<YAML::Node>
{
    for (const auto &field : *this->node) {
        if (field.first.IsScalar() && field.first.Scalar() == name) {
            return field.second;
        }
    }
    return std::nullopt;
}

auto YamlMap::ask(std::string_view name) -> std::optional<YAML::Node>
{
    if (std::find(this->asked.begin(), this->asked.end(), name) == this->asked.end()) {
        this->asked.emplace_back(name);
    }
    return this->find(name);
}

auto YamlMap::scalar(std::string_view name, std::string_view expected) -> std::optional<std::string>
{
    const auto field = this->ask(name);
    if (!field) {
        return std::nullopt;
    }
    if (!field->IsScalar() || field->Scalar().empty()) {
        this->report(name, quoted(name) + " has no plain value", "use " + std::string(expected));
        return std::nullopt;
    }
    return field->Scalar();
}

auto YamlMap::reportMissing(std::string_view name) -> void
{
    this->ask(name);
    this->reportAt(*this->node, "field " + quoted(name) + " is missing", "add it");
}

auto YamlMap::reportDuplicates() -> void
{
    auto seen = std::set<std::string>();
    for (const auto &field : *this->node) {
        if (field.first.IsScalar() && !seen.insert(field.first.Scalar()).second) {
            this->reportAt(field.first, quoted(field.first.Scalar()) + " stands twice", "remove one of the two");
        }
    }
}

auto YamlMap::reportAt(const YAML::Node &node, std::string what, std::string remedy) -> void
{
    this->problems->list.push_back({this->file, lineOf(node.Mark()), std::move(what), std::move(remedy)});
}

auto readYaml(std::string_view file, std::string_view text) -> boost::leaf::result<YamlMap>
{
    const auto name = std::string(file);
    if (text.size() > textLimit) {
        return rejected({name, 1, "the text has " + std::to_string(text.size()) + " bytes", "keep it under " + std::to_string(textLimit)});
    }
    try {
        const auto node = YAML::Load(std::string(text));
        if (!node.IsMap()) {
            return rejected({name, lineOf(node.Mark()), "the text is no mapping", "start with fields and their values"});
        }
        return YamlMap(node, name, std::make_shared<TextProblems>());
    } catch (const YAML::Exception &error) {
        return rejected({name, lineOf(error.mark), "the text is no YAML: " + error.msg, "correct the line"});
    }
}

auto readYamlFile(std::string_view file) -> boost::leaf::result<YamlMap>
{
    auto stream = std::ifstream(std::string(file), std::ios::binary);
    if (!stream) {
        return rejected({std::string(file), 1, "the file cannot be read", "check its name and permissions"});
    }
    const auto text = std::string(std::istreambuf_iterator<char>(stream), {});
    return readYaml(file, text);
}

} // namespace sapphirespool::support
