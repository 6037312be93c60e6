#include "Proxy/trafficsystem.h"

#include <catch2/catch.hpp>

namespace sapphirespool::proxy
{

using testing::executedOf;
using testing::idOf;
using testing::reasonOf;
using testing::servedBy;
using testing::TrafficSystem;

TEST_CASE("a session that roams with its token sees its own write")
{
    // A dispatcher books through one proxy and looks at the booking through another. The replica that is asked has not yet got the
    // booking, although it was believed to have. Its own answer shows that it is behind, so the primary answers instead.
    auto system = TrafficSystem();
    const auto written = system.write(0, "book 7");
    CHECK(servedBy(system.read(1)) == "u2");
    CHECK(servedBy(system.read(1, written.sessionToken)) == "u1");
    system.group->member(UpstreamId("u2")).applied = 1;
    CHECK(servedBy(system.read(1, written.sessionToken)) == "u2");
    CHECK(system.proxies[1].dispatcher->submitted.back().needed->position == LogPosition(1));
}

TEST_CASE("a session that roams with its id alone sees its own write")
{
    // The caller keeps the session id and loses the token. The proxy that it comes to next asks the session's homes how far the
    // session has come, and does not take a replica's older answer.
    auto system = TrafficSystem();
    const auto id = idOf(system.write(0, "book 7").sessionToken);
    for (auto proxy = std::size_t{0}; proxy < system.proxies.size(); ++proxy) {
        CHECK(servedBy(system.read(proxy, id)) == "u1");
    }
    system.group->member(UpstreamId("u2")).applied = 1;
    CHECK(servedBy(system.read(2, id)) == "u2");
}

TEST_CASE("a home that missed a write is not believed alone")
{
    // The second write of a session reaches only one of its two homes. The other one still knows the first write; asked alone it
    // would let a replica answer that has the first and not the second.
    auto system = TrafficSystem();
    auto token = system.write(0, "book 7").sessionToken;
    system.group->member(UpstreamId("u2")).applied = 1;
    auto dropped = std::set<VmId>();
    system.network->drop = [&dropped](const VmId &vm, std::string_view call) {
        const auto isFirst = call == "updateHome" && dropped.empty();
        if (isFirst) {
            dropped.insert(vm);
        }
        return isFirst;
    };
    token = system.write(0, "book 8", token).sessionToken;
    for (auto proxy = std::size_t{0}; proxy < system.proxies.size(); ++proxy) {
        CHECK(servedBy(system.read(proxy, idOf(token))) == "u1");
    }
}

TEST_CASE("a session whose homes cannot be told of a write gets a new id")
{
    // Both homes of the session are cut off from the proxy that serves a write. They would later answer with what they knew before,
    // and a read with the session id alone would miss the write. Under the new id nobody knows anything, so the primary answers.
    auto system = TrafficSystem();
    const auto first = system.write(0, "book 7");
    system.group->member(UpstreamId("u2")).applied = 1;
    system.network->drop = [](const VmId &, std::string_view call) {
        return call == "updateHome";
    };
    auto renewed = std::string();
    for (auto attempt = 0; attempt < 20 && renewed.empty(); ++attempt) {
        // Of the sessions tried, one has no home on the writing proxy itself.
        const auto before = system.write(0, "book").sessionToken;
        const auto after = system.write(0, "book", before).sessionToken;
        renewed = idOf(after) == idOf(before) ? std::string() : idOf(after);
    }
    REQUIRE_FALSE(renewed.empty());
    system.network->drop = nullptr;
    CHECK(servedBy(system.read(1, renewed)) == "u1");
}

TEST_CASE("a home that missed a write is not believed when the other one has forgotten")
{
    // One home of a session missed its second write; then the other home, which knew it, is restarted. What is left is the memory
    // of the first write. Taken for the truth it would let a replica answer that lacks the second one.
    auto system = TrafficSystem();
    auto token = system.write(0, "book 7").sessionToken;
    system.group->member(UpstreamId("u2")).applied = 1;
    auto missed = std::optional<VmId>();
    system.network->drop = [&missed](const VmId &vm, std::string_view call) {
        const auto isFirst = call == "updateHome" && !missed;
        if (isFirst) {
            missed = vm;
        }
        return isFirst;
    };
    token = system.write(0, "book 8", token).sessionToken;
    REQUIRE(missed.has_value());
    for (auto proxy = std::size_t{0}; proxy < system.proxies.size(); ++proxy) {
        if (TrafficSystem::vmOf(proxy) != *missed) {
            system.restartProxy(proxy);
        }
    }
    CHECK(servedBy(system.read(1, idOf(token))) == "u1");
}

TEST_CASE("a home that was restarted sends the session's reads to the primary")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.write(0, "book 7").sessionToken);
    for (auto proxy = std::size_t{0}; proxy < system.proxies.size(); ++proxy) {
        system.restartProxy(proxy);
    }
    CHECK(servedBy(system.read(1, id)) == "u1");
}

TEST_CASE("after a promotion a position that it dropped does not hold a session's reads")
{
    // A write ran at the old primary and was never acknowledged; the session's token names its position. The promotion kept the log
    // without it. No member will ever show it; the session's reads go to replicas again as soon as they have what was kept.
    auto system = TrafficSystem();
    const auto kept = system.write(0, "book 7");
    system.proxies[0].watch->next = upstreams::Confirmation::TermEnded;
    const auto lost = system.write(0, "book 8", kept.sessionToken);
    CHECK(executedOf(lost) == Executed::Unknown);
    system.promote(UpstreamId("u3"), 1);
    system.group->member(UpstreamId("u2")).applied = 1;
    system.group->member(UpstreamId("u2")).term = 2;
    CHECK(servedBy(system.read(1, lost.sessionToken)) == "u2");
    system.group->member(UpstreamId("u2")).applied = 0;
    CHECK(servedBy(system.read(1, lost.sessionToken)) == "u3");
}

TEST_CASE("a replica of an ended term does not cover a write of the present one")
{
    // After a promotion the session writes at position 2 of the new term. A replica that still follows the old primary is at
    // position 5, all of it dropped. By the number alone it would cover the write, and the caller would miss it.
    auto system = TrafficSystem();
    const auto first = system.write(0, "book 7");
    system.group->member(UpstreamId("u2")).applied = 5;
    system.promote(UpstreamId("u3"), 1);
    const auto second = system.write(0, "book 8", first.sessionToken);
    CHECK(servedBy(system.read(1, second.sessionToken)) == "u3");
}

TEST_CASE("a proxy whose view is behind the session's term does not answer from the old term")
{
    auto system = TrafficSystem();
    system.promote(UpstreamId("u3"), 0);
    const auto written = system.write(0, "book 7");
    auto old = system.view;
    old.groups.front().term = Term(1);
    old.groups.front().primary = UpstreamId("u1");
    old.revision = old.revision.next();
    system.proxies[1].views->publish(std::make_shared<const membership::ClusterView>(old));
    const auto reply = system.read(1, written.sessionToken);
    CHECK(reasonOf(reply) == RefusalReason::StaleView);
    CHECK(executedOf(reply) == Executed::No);
}

TEST_CASE("a replica that is older than the read accepts does not answer")
{
    auto system = TrafficSystem();
    system.group->member(UpstreamId("u2")).ageMs = 2001;
    CHECK(servedBy(system.read(0)) == "u1");
    system.group->member(UpstreamId("u2")).ageMs = 2000;
    CHECK(servedBy(system.read(0)) == "u2");
}

TEST_CASE("an altered token is refused with nothing sent")
{
    auto system = TrafficSystem();
    auto token = system.write(0, "book 7").sessionToken;
    token.back() = token.back() == '0' ? '1' : '0';
    const auto reply = system.write(0, "book 8", token);
    CHECK(reasonOf(reply) == RefusalReason::MalformedRequest);
    CHECK(executedOf(reply) == Executed::No);
    CHECK(system.group->count("book 8") == 0);
}

} // namespace sapphirespool::proxy
