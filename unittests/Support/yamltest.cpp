#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool::support
{

namespace
{

using namespace std::chrono_literals;

/// \return the problems that \p read reports in \p text
template <typename Read>
auto problemsOf(std::string_view text, Read read) -> std::string
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(map, readYaml("sample.yaml", text));
            read(map);
            map.rejectOthers();
            auto verdict = map.verdict();
            if (!verdict) {
                return verdict.error();
            }
            return std::string();
        },
        [](const TextProblems &problems) {
            return describe(problems);
        },
        [] {
            return std::string("an error without problems");
        });
}

auto readNothing(YamlMap &) -> void
{
}

} // namespace

TEST_CASE("fields are read by name, type and range")
{
    const auto problems = problemsOf("name: bookings\nslots: 5\nage: 2s\nshare: 0.25\nzones: [hobart, devonport]\n", [](YamlMap &map) {
        CHECK(map.text("name") == "bookings");
        CHECK(map.number("slots", {1, 100}, std::nullopt) == 5);
        CHECK(map.number("absent", {1, 100}, 7) == 7);
        CHECK(map.duration("age", {0ms, 60'000ms}, 0ms) == 2000ms);
        CHECK(map.ratio("share", 0.0) == 0.25);
        CHECK(map.texts("zones") == std::vector<std::string>{"hobart", "devonport"});
    });
    CHECK(problems.empty());
}

TEST_CASE("each wrong field is reported with file, line and remedy")
{
    const auto problems = problemsOf("slots: many\nage: 2\nshare: nan\nother: 1\n", [](YamlMap &map) {
        map.text("name");
        map.number("slots", {1, 100}, std::nullopt);
        map.duration("age", {0ms, 60'000ms}, 0ms);
        map.ratio("share", 0.0);
    });
    CHECK(problems
          == "sample.yaml:1: field 'name' is missing; add it\n"
             "sample.yaml:1: 'slots' is 'many'; use a number from 1 to 100\n"
             "sample.yaml:2: 'age' is '2'; use a time from 0ms to 60000ms with its unit ms, s, m or h\n"
             "sample.yaml:3: 'share' is 'nan'; use a number from 0 to 1\n"
             "sample.yaml:4: unknown field 'other'; use one of name, slots, age, share");
}

TEST_CASE("a field that stands twice, no mapping and no YAML are reported")
{
    CHECK(problemsOf("a: 1\na: 2\n",
                     [](YamlMap &map) {
                         map.text("a");
                     })
          == "sample.yaml:2: 'a' stands twice; remove one of the two");
    CHECK(problemsOf("- 1\n", readNothing) == "sample.yaml:1: the text is no mapping; start with fields and their values");
    CHECK(problemsOf("a: [1\n", readNothing).starts_with("sample.yaml:2: the text is no YAML"));
    CHECK(problemsOf("", readNothing).find("no mapping") != std::string::npos);
}

TEST_CASE("numbers outside of their type are no numbers")
{
    const auto read = [](YamlMap &map) {
        map.number("a", {0, 10}, 0);
    };
    for (const auto *text : {"a: -1", "a: 18446744073709551616", "a: 1.5", "a: 0x5", "a: 11", "a: {}", "a: ''", "a: ~"}) {
        CAPTURE(text);
        CHECK(!problemsOf(text, read).empty());
    }
}

} // namespace sapphirespool::support
