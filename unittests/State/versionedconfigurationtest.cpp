#include "sapphirespool/State/clusterstate.h"

#include "samplecommands.h"

#include <catch2/catch.hpp>

namespace sapphirespool::state
{

namespace
{

auto versionedChange(std::uint64_t version, std::string text) -> ChangeConfiguration
{
    auto command = changeOf("by version", 0, std::move(text));
    command.content.version = ConfigurationVersion(version);
    return command;
}

} // namespace

TEST_CASE("the configuration with the highest version wins, in whatever order and however often they arrive")
{
    // Two operators race; responses are lost and changes are resent, also after a snapshot. Later reads must return the highest version.
    auto state = ClusterState();
    CHECK(std::holds_alternative<Accepted>(state.execute(versionedChange(5, "five"))));
    CHECK(std::holds_alternative<Accepted>(state.execute(versionedChange(3, "three"))));
    CHECK(state.text() == "five");
    CHECK(std::holds_alternative<Accepted>(state.execute(versionedChange(9, "nine"))));
    auto restored = ClusterState();
    restored.restore(state.snapshot());
    CHECK(std::holds_alternative<Accepted>(restored.execute(versionedChange(5, "five"))));
    CHECK(restored.text() == "nine");
}

TEST_CASE("another text with the current version is never applied")
{
    auto state = ClusterState();
    state.execute(versionedChange(5, "five"));
    const auto before = state.view()->revision;
    CHECK(std::holds_alternative<Accepted>(state.execute(versionedChange(5, "other"))));
    CHECK(state.text() == "five");
    CHECK(state.view()->revision == before);
}

TEST_CASE("versioned changes, member removals and promotion grants survive encoding and decoding")
{
    auto change = versionedChange(7, "seven");
    change.content.services.front().consistency = membership::Consistency::ReadYourWrites;
    change.content.services.front().objective = std::chrono::milliseconds(400);
    change.content.groups.front().selfReplicating = true;
    change.content.groups.front().confirmations = 1;
    change.content.groups.front().connectionLimit = 34;
    const auto decoded = decodeCommand(encode(Command(change)));
    REQUIRE(decoded);
    const auto &decodedChange = std::get<ChangeConfiguration>(*decoded);
    CHECK(decodedChange.content.version == ConfigurationVersion(7));
    CHECK(decodedChange.content.services == change.content.services);
    CHECK(decodedChange.content.groups.front().selfReplicating);
    CHECK(decodedChange.content.groups.front().confirmations == 1);
    CHECK(decodedChange.content.groups.front().connectionLimit == 34);
    const auto forget = decodeCommand(encode(Command(ForgetUpstream{GroupId("g"), UpstreamId("a"), Incarnation(4)})));
    REQUIRE(forget);
    CHECK(std::get<ForgetUpstream>(*forget).incarnation == Incarnation(4));
    const auto grant = decodeCommand(encode(Command(GrantDuty{VmId("a"), 3, 7})));
    REQUIRE(grant);
    CHECK(std::get<GrantDuty>(*grant).holder == VmId("a"));
    CHECK(std::get<GrantDuty>(*grant).leadership == 3);
    CHECK(std::get<GrantDuty>(*grant).previous == 7);
}

TEST_CASE("a self-replicating group accepts members beyond its size and removes them")
{
    auto change = versionedChange(1, "one");
    change.content.groups.front().selfReplicating = true;
    auto state = ClusterState();
    state.execute(change);
    const auto group = change.content.groups.front().id;
    for (const auto *const id : {"a", "b", "c", "d"}) {
        CHECK(std::holds_alternative<Applied>(state.execute(RegisterUpstream{group, upstreamOf(id, 1)})));
    }
    CHECK(std::holds_alternative<Ignored>(state.execute(ForgetUpstream{group, UpstreamId("a"), Incarnation(2)})));
    CHECK(std::holds_alternative<Applied>(state.execute(ForgetUpstream{group, UpstreamId("a"), Incarnation(1)})));
    CHECK(state.findGroup(group)->view.members.size() == 3);
}

TEST_CASE("a large configuration is encoded compressed and decodes unchanged")
{
    // An uncompressed configuration of thousands of services delays the heartbeats that are sent to the followers after it.
    auto command = versionedChange(5, std::string(100'000, 'x'));
    for (auto number = 0; number < 2'000; ++number) {
        command.content.services.push_back({ServiceId("s" + std::to_string(number)), GroupId("g")});
    }
    const auto bytes = encode(Command(command));
    CHECK(bytes.size() < 40'000);
    const auto decoded = decodeCommand(bytes);
    REQUIRE(decoded);
    CHECK(std::get<ChangeConfiguration>(*decoded).text == command.text);
    CHECK(std::get<ChangeConfiguration>(*decoded).content.services == command.content.services);
}

} // namespace sapphirespool::state
