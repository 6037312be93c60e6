#include "sapphirespool/State/clusterstate.h"

#include "samplecommands.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstddef>

namespace sapphirespool::state
{

namespace
{

/// Derives a command from one random number. The ranges are small so that commands often refer to the same ids, bases and terms.
auto commandFrom(std::uint32_t draw) -> Command
{
    const auto part = [draw](std::uint32_t shift, std::uint32_t values) {
        return (draw >> shift) % values;
    };
    const auto group = GroupId("orders-" + std::to_string(part(3, 2)));
    const auto upstream = std::string(1, static_cast<char>('a' + part(5, 4)));
    switch (part(0, 6)) {
    case 0:
        return changeOf("change-" + std::to_string(part(3, 8)), part(6, 8), "text " + std::to_string(part(9, 3)), {"orders-" + std::to_string(part(12, 2))});
    case 1:
        return RegisterUpstream{group, upstreamOf(upstream, part(8, 3))};
    case 2:
        return BeginTerm{group, Term(part(5, 4)), Term(part(8, 6))};
    case 3:
        return ChoosePrimary{group, Term(part(8, 5)), UpstreamId(upstream), Incarnation(part(11, 3)), LogPosition(part(14, 100))};
    case 4:
        return RegisterVm{vmOf("vm-" + std::to_string(part(3, 3)), part(6, 3))};
    default:
        return ForgetVm{VmId("vm-" + std::to_string(part(3, 3))), Incarnation(part(6, 3))};
    }
}

using Draws = std::vector<std::uint32_t>;

auto applyAll(ClusterState &state, const Draws &draws) -> std::vector<consensus::Bytes>
{
    auto results = std::vector<consensus::Bytes>();
    for (const auto draw : draws) {
        results.push_back(state.apply(consensus::LogIndex(1), encode(commandFrom(draw))));
    }
    return results;
}

auto commands() -> rc::Gen<Draws>
{
    return rc::gen::container<Draws>(rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
}

} // namespace

TEST_CASE("equal commands give equal results and equal states")
{
    CHECK(rc::check([] {
        const auto draws = *commands();
        auto left = ClusterState();
        auto right = ClusterState();
        RC_ASSERT((applyAll(left, draws) == applyAll(right, draws)));
        RC_ASSERT((left.snapshot() == right.snapshot()));
    }));
}

TEST_CASE("a state restored from a snapshot continues like a replay of all commands")
{
    CHECK(rc::check([] {
        const auto before = *commands();
        const auto after = *commands();
        auto replayed = ClusterState();
        applyAll(replayed, before);
        auto restored = ClusterState();
        restored.restore(replayed.snapshot());
        RC_ASSERT((restored.snapshot() == replayed.snapshot()));
        RC_ASSERT((applyAll(restored, after) == applyAll(replayed, after)));
        RC_ASSERT((restored.snapshot() == replayed.snapshot()));
        RC_ASSERT((restored.view()->revision == replayed.view()->revision));
    }));
}

TEST_CASE("a resent change gets the same result and is applied once, whatever commands come in between")
{
    CHECK(rc::check([] {
        const auto before = *commands();
        const auto between = *commands();
        const auto change = encode(changeOf("resent", *rc::gen::inRange<std::uint64_t>(0, 4), "resent text"));
        auto state = ClusterState();
        applyAll(state, before);
        const auto first = state.apply(consensus::LogIndex(1), change);
        applyAll(state, between);
        const auto unchanged = state.snapshot();
        const auto again = state.apply(consensus::LogIndex(1), change);
        const auto refused = std::holds_alternative<Conflict>(*decodeResult(first)) && std::holds_alternative<Conflict>(*decodeResult(again));
        RC_ASSERT(first == again || refused);
        RC_ASSERT((state.snapshot() == unchanged));
    }));
}

TEST_CASE("revisions, configurations and terms never decrease, and a term never changes its primary")
{
    CHECK(rc::check([] {
        auto state = ClusterState();
        for (const auto draw : *commands()) {
            const auto before = state.view();
            const auto groups = std::vector<GroupRecord>(state.groups().begin(), state.groups().end());
            state.execute(commandFrom(draw));
            const auto after = state.view();
            RC_ASSERT(after->configuration >= before->configuration);
            RC_ASSERT((after->revision > before->revision) || after == before);
            for (const auto &group : groups) {
                const auto &now = state.findGroup(group.view.id)->view;
                RC_ASSERT(now.term >= group.view.term);
                RC_ASSERT(now.term > group.view.term || !group.view.primary || now.primary == group.view.primary);
            }
        }
    }));
}

TEST_CASE("arbitrary bytes decode to a command, a result or nothing, and change equal states equally")
{
    CHECK(rc::check([](const std::vector<std::uint8_t> &noise, std::uint32_t draw) {
        auto bytes = encode(commandFrom(draw));
        for (std::size_t index = 0; index < noise.size(); ++index) {
            bytes[noise[index] % bytes.size()] ^= std::byte{noise[noise.size() - 1 - index]};
        }
        bytes.resize(bytes.size() - noise.size() % 9);
        auto left = ClusterState();
        auto right = ClusterState();
        RC_ASSERT((left.apply(consensus::LogIndex(1), bytes) == right.apply(consensus::LogIndex(1), bytes)));
        RC_ASSERT((left.snapshot() == right.snapshot()));
        const auto result = decodeResult(bytes);
        RC_ASSERT((!result || decodeResult(encode(*result))));
    }));
}

} // namespace sapphirespool::state
