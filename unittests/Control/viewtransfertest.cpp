#include "../../lib/Control/viewtransfer.h"

#include <catch2/catch.hpp>

namespace sapphirespool::control
{

namespace
{

const auto vm = VmId("vm");

auto updateOf(std::size_t bytes, std::byte first = {}) -> ViewUpdate
{
    auto content = PackedView(bytes);
    for (std::size_t place = 0; place < bytes; ++place) {
        content[place] = static_cast<std::byte>(place % 251);
    }
    content.front() = first;
    return {true, std::make_shared<const PackedView>(std::move(content))};
}

} // namespace

TEST_CASE("a large view arrives in parts that a thin link carries between two heartbeats")
{
    // Failure: the answers to heartbeats wait behind a whole view until the connection is given up, and the view is sent anew.
    auto transfers = ViewTransfers();
    auto assembly = ViewAssembly();
    const auto update = updateOf(200'000);
    const auto number = transfers.begin(vm, update);
    auto parts = 0;
    for (auto complete = false; !complete; ++parts) {
        const auto part = transfers.partAt(vm, number, assembly.content().size(), viewPartBytes);
        REQUIRE(part);
        CHECK(part->isDelta);
        CHECK(part->data.size() * 8 <= 2'000'000 / 4);
        complete = assembly.add(*part);
    }
    CHECK(parts == 7);
    CHECK(std::equal(assembly.content().begin(), assembly.content().end(), update.content->begin(), update.content->end()));
    CHECK_FALSE(transfers.holds(vm, number));
    CHECK_FALSE(transfers.partAt(vm, number, 0, viewPartBytes));
}

TEST_CASE("parts of two views are never put together")
{
    auto transfers = ViewTransfers();
    auto assembly = ViewAssembly();
    const auto former = transfers.begin(vm, updateOf(100'000, std::byte(1)));
    CHECK_FALSE(assembly.add(*transfers.partAt(vm, former, 0, viewPartBytes)));
    const auto update = updateOf(40'000, std::byte(2));
    const auto number = transfers.begin(vm, update);
    CHECK_FALSE(transfers.holds(vm, former));
    CHECK_FALSE(transfers.partAt(vm, former, viewPartBytes, viewPartBytes));
    CHECK_FALSE(assembly.add(*transfers.partAt(vm, number, 0, viewPartBytes)));
    CHECK(assembly.add(*transfers.partAt(vm, number, viewPartBytes, viewPartBytes)));
    CHECK(std::equal(assembly.content().begin(), assembly.content().end(), update.content->begin(), update.content->end()));
}

TEST_CASE("transfers to different VMs do not disturb each other")
{
    auto transfers = ViewTransfers();
    const auto first = transfers.begin(vm, updateOf(100'000));
    const auto second = transfers.begin(VmId("other"), updateOf(100'000));
    CHECK(transfers.holds(vm, first));
    CHECK(transfers.holds(VmId("other"), second));
    CHECK_FALSE(transfers.holds(vm, second));
}

} // namespace sapphirespool::control
