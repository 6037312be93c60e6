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

TEST_CASE("late words of an ended process are dropped")
{
    // A slow proxy passes on what the member said before its restart. Were it believed, the member would look restarted twice more,
    // and each time its term would be ended.
    auto table = MemberTable();
    table.note(announcementOf(1, 1, platform::Role::Primary), TimePoint(1h));
    table.note(announcementOf(2, 1, platform::Role::Primary), TimePoint(1h + 1ms));
    table.note(announcementOf(1, 1, platform::Role::Primary), TimePoint(1h + 2ms));
    CHECK(table.find(member)->incarnation == Incarnation(2));
}

TEST_CASE("late words of a lower term are dropped")
{
    auto table = MemberTable();
    table.note(announcementOf(1, 2, platform::Role::Fenced), TimePoint(1h));
    table.note(announcementOf(1, 1, platform::Role::Primary), TimePoint(1h + 1ms));
    CHECK(table.find(member)->role == platform::Role::Fenced);
}

TEST_CASE("a member is live until its announcements stay away")
{
    auto table = MemberTable();
    table.note(announcementOf(1, 1, platform::Role::Replica), TimePoint(1h));
    CHECK(table.isLive(member, TimePoint(1h) + silenceLimit - 1ms));
    CHECK(!table.isLive(member, TimePoint(1h) + silenceLimit));
}

} // namespace sapphirespool::promotion
