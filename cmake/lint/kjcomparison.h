// kjcomparison.h: lets the linter read the headers of Cap'n Proto 0.9 as C++20.
//
// They leave comparisons with a text on the left to C++20's rewritten operators. g++ 12 accepts that; clang 16 follows a later rule by
// which a class that has an operator!= of its own gets none. Only the linter and the fuzz build include this file, and nothing calls what it declares.
#pragma once

#ifdef __cplusplus
namespace kj
{

class StringPtr;
class String;

auto operator==(const char *left, const StringPtr &right) -> bool;
auto operator!=(const char *left, const StringPtr &right) -> bool;
auto operator==(const char *left, const String &right) -> bool;
auto operator!=(const char *left, const String &right) -> bool;

} // namespace kj
#endif
