#include "sapphirespool/Support/sharedlist.h"

#include <catch2/catch.hpp>

namespace sapphirespool::support
{

TEST_CASE("copies share their elements until one of them is changed")
{
    auto list = SharedList<int>(std::vector<int>{1, 2});
    const auto copy = list;
    CHECK(copy.sharesWith(list));
    list.append(3);
    CHECK_FALSE(copy.sharesWith(list));
    CHECK(copy == SharedList<int>(std::vector<int>{1, 2}));
    CHECK(list == SharedList<int>(std::vector<int>{1, 2, 3}));
    CHECK_FALSE(copy == list);
}

TEST_CASE("a list that nobody shares is changed in place")
{
    auto list = SharedList<int>(std::vector<int>{1, 2});
    const auto *const first = &list.front();
    list.edit().back() = 5;
    CHECK(&list.front() == first);
    CHECK(list[1] == 5);
}

} // namespace sapphirespool::support
