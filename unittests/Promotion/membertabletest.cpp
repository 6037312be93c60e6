#include "sapphirespool/Promotion/membertable.h"

#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

const auto member = UpstreamId("a");

auto announcementOf(std::uint64_t incarnation, std::uint64_t term, platform::Role role) -> platform::Announcement
{
    auto announcement = platform::Announcement();
    announcement.id = member.value();
    announcement.incarnation = incarnation;
    announcement.term = term;
    announcement.role = role;
    return announcement;
}

} // namespace

// Failure: a health report from before a restart, relayed late, makes the member appear restarted twice more and ends two terms.
TEST_CASE("delayed health reports of an ended process are dropped")
{
    auto table = MemberTable();
    table.note(announcementOf(1, 1, platform::Role::Primary), TimePoint(1h));
    table.note(announcementOf(2, 1, platform::Role::Primary), TimePoint(1h + 1ms));
    table.note(announcementOf(1, 1, platform::Role::Primary), TimePoint(1h + 2ms));
    CHECK(table.find(member)->incarnation == Incarnation(2));
}

// Failure: a delayed health report shows a fenced member as primary.
TEST_CASE("delayed health reports of a lower term are dropped")
{
    auto table = MemberTable();
    table.note(announcementOf(1, 2, platform::Role::Fenced), TimePoint(1h));
    table.note(announcementOf(1, 1, platform::Role::Primary), TimePoint(1h + 1ms));
    CHECK(table.find(member)->role == platform::Role::Fenced);
}

// Failure: a lost member counts as live, or a live one as lost.
TEST_CASE("a member is live until the time since its last health report reaches the limit")
{
    auto table = MemberTable();
    table.note(announcementOf(1, 1, platform::Role::Replica), TimePoint(1h));
    CHECK(table.isLive(member, TimePoint(1h) + minimumContactTimeout - 1ms));
    CHECK(!table.isLive(member, TimePoint(1h) + minimumContactTimeout));
}

} // namespace sapphirespool::promotion
