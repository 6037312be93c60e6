#include "sapphirespool/Support/refusal.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <fstream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool
{

namespace
{

/// \return the rows of the table in docs/operators/refusals.md
auto documentedRows() -> std::vector<std::string>
{
    auto file = std::ifstream(SAPPHIRESPOOL_SOURCE_DIR "/docs/operators/refusals.md");
    auto rows = std::vector<std::string>();
    for (auto line = std::string(); std::getline(file, line);) {
        if (line.starts_with("| `")) {
            rows.push_back(line);
        }
    }
    return rows;
}

auto expectedRow(const RefusalDescription &description) -> std::string
{
    return "| `" + std::string(description.label) + "` | " + std::to_string(description.status) + " | " + std::string(description.remedy) + " |";
}

} // namespace

TEST_CASE("the page of refusals agrees with the enumeration")
{
    const auto rows = documentedRows();
    const auto reasons = refusalDescriptions();
    REQUIRE(rows.size() == reasons.size());
    for (std::size_t index = 0; index < reasons.size(); ++index) {
        CHECK(rows[index] == expectedRow(reasons[index]));
    }
}

TEST_CASE("each refusal reason has a label of its own and a remedy")
{
    auto labels = std::set<std::string_view>();
    for (const auto &description : refusalDescriptions()) {
        CAPTURE(description.label);
        CHECK(&describe(description.reason) == &description);
        CHECK(labels.insert(description.label).second);
        CHECK(!description.remedy.empty());
        CHECK(description.status >= 400);
    }
}

} // namespace sapphirespool
