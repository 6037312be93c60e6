// lintprelude.h: read by the linter before each source. clang 16 lacks an operator that Cap'n Proto 0.9 expects of C++20.
#pragma once

#include <kj/string.h>

namespace kj
{

inline auto operator==(const char *left, const StringPtr &right) -> bool
{
    return right == StringPtr(left);
}

} // namespace kj
