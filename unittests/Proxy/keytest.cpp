#include "Proxy/trafficsystem.h"

#include <catch2/catch.hpp>

namespace sapphirespool::proxy
{

using testing::executedOf;
using testing::reasonOf;
using testing::servedBy;
using testing::TrafficSystem;

TEST_CASE("a resend with the same key through another proxy gets the first answer")
{
    auto system = TrafficSystem();
    const auto first = system.write(0, "book 7", {}, "k1");
    const auto again = system.write(3, "book 7", {}, "k1");
    CHECK(servedBy(again) == servedBy(first));
    CHECK(again.sessionToken == first.sessionToken);
    CHECK(system.group->count("book 7") == 1);
    CHECK(reasonOf(system.write(2, "book 8", {}, "k1")) == RefusalReason::KeyReused);
    CHECK(system.group->count("book 8") == 0);
}

TEST_CASE("a resend after a proxy died between send and answer does not run again")
{
    // A caller books with a key; the proxy sends it and dies before the outcome is recorded. The resend through another proxy
    // finds that the first attempt started and learns nothing more. Running it would book twice.
    auto system = TrafficSystem();
    system.limits.keyWarmup = std::chrono::milliseconds(0);
    system.network->drop = [](const VmId &, std::string_view call) {
        return call == "finishKey";
    };
    auto inProgress = 0;
    for (auto key = 0; key < 8; ++key) {
        const auto name = "k" + std::to_string(key);
        system.network->unreachable.clear();
        system.write(0, name, {}, name);
        system.network->unreachable.insert(TrafficSystem::vmOf(0));
        const auto resent = system.write(1, name, {}, name);
        CHECK(executedOf(resent) != Executed::Yes);
        inProgress += reasonOf(resent) == RefusalReason::KeyInProgress ? 1 : 0;
        CHECK(system.group->count(name) == 1);
    }
    CHECK(inProgress == 8);
}

TEST_CASE("a resend after the answer was lost learns that nobody knows")
{
    auto system = TrafficSystem();
    system.group->loseAnswer = [](const platform::ExecuteRequest &) {
        return true;
    };
    CHECK(reasonOf(system.write(0, "book 7", {}, "k1")) == RefusalReason::AnswerLost);
    const auto again = system.write(1, "book 7", {}, "k1");
    CHECK(reasonOf(again) == RefusalReason::AnswerLost);
    CHECK(executedOf(again) == Executed::Unknown);
    CHECK(system.group->count("book 7") == 1);
}

TEST_CASE("a resend after all key holders were restarted is refused, not run a second time")
{
    // The booking ran. Then every proxy is restarted, one after the other, as in an upgrade, and the caller, who lost the answer,
    // sends it again. The records are gone; "never seen" would be a lie, so the request is refused as not run.
    auto system = TrafficSystem();
    system.write(0, "book 7", {}, "k1");
    for (auto proxy = std::size_t{0}; proxy < system.proxies.size(); ++proxy) {
        system.restartProxy(proxy);
    }
    const auto again = system.write(1, "book 7", {}, "k1");
    CHECK(reasonOf(again) == RefusalReason::KeyHoldersUnreachable);
    CHECK(executedOf(again) == Executed::No);
    CHECK(system.group->count("book 7") == 1);
}

TEST_CASE("a resend after one key holder was restarted and another was lost is not run a second time")
{
    auto system = TrafficSystem(6);
    for (auto key = 0; key < 10; ++key) {
        const auto name = "k" + std::to_string(key);
        system.write(0, name, {}, name);
    }
    system.restartProxy(1);
    system.loseProxy(2);
    for (auto key = 0; key < 10; ++key) {
        const auto name = "k" + std::to_string(key);
        system.write(3, name, {}, name);
        CHECK(system.group->count(name) == 1);
    }
}

TEST_CASE("a request with a key is not sent while too few holders answer")
{
    auto system = TrafficSystem();
    for (auto other = std::size_t{1}; other < system.proxies.size(); ++other) {
        system.network->unreachable.insert(TrafficSystem::vmOf(other));
    }
    const auto reply = system.write(0, "book 7", {}, "k1");
    CHECK(reasonOf(reply) == RefusalReason::KeyHoldersUnreachable);
    CHECK(system.group->log.empty());
    system.network->unreachable.clear();
    CHECK(servedBy(system.write(1, "book 7", {}, "k1")) == "u1");
}

TEST_CASE("a refusal as not run leaves the key free for a resend")
{
    auto system = TrafficSystem();
    system.proxies[0].dispatcher->refuseFrom = 0;
    CHECK(reasonOf(system.write(0, "book 7", {}, "k1")) == RefusalReason::QueueFull);
    CHECK(servedBy(system.write(1, "book 7", {}, "k1")) == "u1");
    CHECK(system.group->count("book 7") == 1);
}

} // namespace sapphirespool::proxy
