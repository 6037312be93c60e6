// properties.h: checks a property over generated input that is the same in each run.
#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <utility>

namespace sapphirespool::testing
{

/// Checks \p property with rapidcheck under a fixed seed.
template <typename Property>
auto checkProperty(Property property) -> void
{
    // rapidcheck reads RC_PARAMS only once, before the first check.
    ::setenv("RC_PARAMS", "seed=20 max_success=1500 max_size=400", 1);
    const auto passed = rc::check(std::move(property));
    CHECK(passed);
}

} // namespace sapphirespool::testing
