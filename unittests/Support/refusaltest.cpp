#include "sapphirespool/Support/refusal.h"

#include <catch2/catch.hpp>

#include <set>
#include <string_view>

namespace sapphirespool
{

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
