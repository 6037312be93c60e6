#include "sapphirespool/Rpc/loopthread.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>
#include <vector>

namespace sapphirespool::rpc
{

TEST_CASE("work posted from several threads runs on the loop, each thread's in its order")
{
    constexpr auto threads = 4;
    constexpr auto postsEach = 500;
    auto seen = std::vector<std::vector<int>>(threads);
    {
        auto loop = LoopThread();
        auto posters = std::vector<std::thread>();
        for (auto poster = 0; poster < threads; ++poster) {
            posters.emplace_back([&loop, &seen, poster] {
                for (auto post = 0; post < postsEach; ++post) {
                    loop.post([&seen, poster, post](LoopContext &) {
                        seen[poster].push_back(post);
                    });
                }
            });
        }
        for (auto &poster : posters) {
            poster.join();
        }
    }
    for (const auto &posts : seen) {
        REQUIRE(posts.size() == postsEach);
        CHECK(std::is_sorted(posts.begin(), posts.end()));
    }
}

} // namespace sapphirespool::rpc
