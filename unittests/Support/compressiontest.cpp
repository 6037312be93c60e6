#include "sapphirespool/Support/compression.h"

#include <catch2/catch.hpp>

#include <string>

namespace sapphirespool::support
{

TEST_CASE("a text comes back as it was")
{
    constexpr auto limit = std::size_t{1'000'000};
    for (const auto &text : {std::string(), std::string("a"), std::string(100'000, 'x')}) {
        CHECK(decompressText(compress(text), limit) == text);
    }
}

TEST_CASE("what unpacks to more than the limit is refused before any of it is unpacked")
{
    // A peer sends a kilobyte that claims a gigabyte. Unpacked, it would fill the memory of the process that reads it.
    const auto packed = compress(std::string(1'000'000, 'x'));
    CHECK(packed.size() < 1'000);
    CHECK_FALSE(decompress(packed, 999'999).has_value());
    CHECK(decompress(packed, 1'000'000).has_value());
}

TEST_CASE("bytes that are no compressed content give nothing")
{
    constexpr auto limit = std::size_t{1'000};
    auto packed = compress(std::string("services"));
    CHECK_FALSE(decompress({}, limit).has_value());
    CHECK_FALSE(decompress(std::span(packed).first(packed.size() - 1), limit).has_value());
    packed.front() = std::byte{0};
    CHECK_FALSE(decompress(packed, limit).has_value());
}

} // namespace sapphirespool::support
