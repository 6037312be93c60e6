#include "sapphirespool/Support/events.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <fstream>
#include <string>

namespace sapphirespool::support
{

namespace
{

/// \return the lines of docs/EVENTS.md that stand in its table
auto documentedRows() -> std::vector<std::string>
{
    auto file = std::ifstream(SAPPHIRESPOOL_SOURCE_DIR "/docs/EVENTS.md");
    auto rows = std::vector<std::string>();
    for (auto line = std::string(); std::getline(file, line);) {
        if (line.starts_with("| SP")) {
            rows.push_back(line);
        }
    }
    return rows;
}

auto expectedStart(const EventDescription &description) -> std::string
{
    return "| SP" + std::to_string(static_cast<int>(description.event)) + " | " + std::string(description.text) + " |";
}

} // namespace

TEST_CASE("the catalogue of events agrees with docs/EVENTS.md")
{
    const auto rows = documentedRows();
    const auto events = eventDescriptions();
    REQUIRE(rows.size() == events.size());
    for (std::size_t index = 0; index < events.size(); ++index) {
        CHECK(rows[index].starts_with(expectedStart(events[index])));
    }
}

TEST_CASE("event numbers rise through the catalogue")
{
    const auto events = eventDescriptions();
    for (std::size_t index = 1; index < events.size(); ++index) {
        CHECK(events[index - 1].event < events[index].event);
    }
}

} // namespace sapphirespool::support
