#include "../../lib/Controller/memberregistry.h"
#include "../../lib/Controller/numberedchanges.h"

#include <catch2/catch.hpp>

namespace sapphirespool::controller
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

auto healthReport(std::string id, std::uint16_t port, std::uint64_t incarnation, std::uint64_t sequence) -> platform::Announcement
{
    auto announcement = platform::Announcement();
    announcement.group = "g";
    announcement.id = std::move(id);
    announcement.address = "127.0.0.1";
    announcement.port = port;
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    return announcement;
}

auto groupOf(std::initializer_list<std::pair<const char *, std::uint16_t>> members, const char *primary) -> state::GroupRecord
{
    auto group = state::GroupRecord();
    group.selfReplicating = true;
    group.view.primary = UpstreamId(primary);
    for (const auto &[id, port] : members) {
        auto upstream = membership::UpstreamView();
        upstream.id = UpstreamId(id);
        upstream.endpoint = {"127.0.0.1", port};
        group.view.members.push_back(upstream);
    }
    return group;
}

auto numbered(std::uint64_t version) -> state::ChangeConfiguration
{
    auto command = state::ChangeConfiguration();
    command.content.version = ConfigurationVersion(version);
    return command;
}

} // namespace

// Failure: a delayed health report, relayed by another VM, returns a leaving member to service, and it gets requests after its end.
TEST_CASE("a delayed health report is ignored")
{
    auto registry = MemberRegistry(start);
    CHECK(registry.note(healthReport("a", 1, 5, 10), start));
    CHECK_FALSE(registry.note(healthReport("a", 1, 5, 10), start));
    CHECK_FALSE(registry.note(healthReport("a", 1, 5, 9), start));
    CHECK(registry.note(healthReport("a", 1, 5, 11), start));
    auto gone = healthReport("a", 1, 5, 0);
    gone.gone = true;
    CHECK(registry.note(gone, start));
    CHECK_FALSE(registry.note(healthReport("a", 1, 5, 12), start));
    CHECK_FALSE(registry.note(healthReport("a", 1, 4, 99), start));
    CHECK(registry.note(healthReport("a", 1, 6, 1), start));
}

// Failure: a delayed health report of a crashed member readmits it at an address that a new member has taken over.
TEST_CASE("a member whose address another one has taken over is ejected, and its delayed health report does not readmit it")
{
    auto registry = MemberRegistry(start);
    const auto group = groupOf({{"old", 1}, {"p", 2}, {"r", 3}}, "p");
    registry.note(healthReport("old", 1, 5, 10), start);
    registry.note(healthReport("p", 2, 5, 1), start);
    registry.note(healthReport("r", 3, 5, 1), start);
    CHECK(registry.membersToEject(group, start).empty());
    CHECK(registry.note(healthReport("new", 1, 6, 1), start));
    CHECK(registry.membersToEject(group, start) == std::vector{UpstreamId("old")});
    CHECK_FALSE(registry.note(healthReport("old", 1, 5, 11), start));
    CHECK(registry.membersToEject(group, start) == std::vector{UpstreamId("old")});
}

// Failure: a partition between members and control ejects all members of a group that still serves.
TEST_CASE("silent members are ejected, but never the primary or the last two members")
{
    auto registry = MemberRegistry(start);
    const auto late = start + MemberRegistry::ejectAfter;
    CHECK(registry.membersToEject(groupOf({{"p", 1}, {"r", 2}, {"s", 3}}, "p"), late).size() == 1);
    CHECK(registry.membersToEject(groupOf({{"p", 1}, {"r", 2}}, "p"), late).empty());
    registry.note(healthReport("r", 2, 1, 1), late);
    CHECK(registry.membersToEject(groupOf({{"p", 1}, {"r", 2}, {"s", 3}}, "p"), late) == std::vector{UpstreamId("s")});
}

// Failure: hundreds of changes that a script sends during one commit are written one by one and delay the last one.
TEST_CASE("of numbered changes that arrive during a commit only the highest is proposed, and each gets an outcome")
{
    auto changes = NumberedChanges();
    auto answered = 0;
    const auto count = [&answered](const membership::ConfigurationOutcome &) {
        ++answered;
    };
    REQUIRE(changes.add(numbered(1), count));
    for (auto version = std::uint64_t{300}; version > 1; --version) {
        CHECK_FALSE(changes.add(numbered(version), count));
    }
    const auto next = changes.finish(membership::ConfigurationAccepted{Revision(1)});
    CHECK(answered == 1);
    REQUIRE(next);
    CHECK(next->content.version == ConfigurationVersion(300));
    CHECK_FALSE(changes.finish(membership::ConfigurationAccepted{Revision(2)}));
    CHECK(answered == 300);
    CHECK(changes.add(numbered(301), count));
}

} // namespace sapphirespool::controller
