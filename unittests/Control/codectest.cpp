#include "../../lib/Control/codec.h"

#include <capnp/any.h>
#include <capnp/message.h>
#include <catch2/catch.hpp>
#include <kj/exception.h>

namespace sapphirespool::control
{

TEST_CASE("a small message that claims a million VMs is refused")
{
    // Elements without content take no bytes, so that a message of a few words can claim millions. Read one by one, they kept the
    // reader busy for ten seconds and filled its memory with empty values; its heartbeats would have stopped meanwhile.
    constexpr auto proxiesPointer = 2U;
    constexpr auto claimed = 1'000'000U;
    auto message = capnp::MallocMessageBuilder();
    auto root = message.initRoot<schema::ClusterView>();
    auto pointers = capnp::toAny(root).getPointerSection();
    pointers[proxiesPointer].initAs<capnp::List<capnp::Void>>(claimed);
    REQUIRE(root.asReader().getProxies().size() == claimed);
    CHECK_THROWS_AS(read(root.asReader()), kj::Exception);
}

TEST_CASE("customers survive packing in a view and in a delta")
{
    auto view = membership::ClusterView{Revision(3), Revision(2)};
    view.services.append(membership::ServiceView{ServiceId("s"), GroupId("g")});
    view.services.edit().front().requiresKey = true;
    view.customers.append({CustomerId("a"), {membership::digestOf("k1"), membership::digestOf("k2")}, membership::Quota{164, 40}, 1});
    view.customers.append({CustomerId("b"), {}, std::nullopt, 0});
    auto proxy = membership::ProxyView();
    proxy.id = VmId("vm");
    proxy.settled = true;
    view.proxies.push_back(proxy);
    CHECK(unpackView(rpc::toData(pack(view))) == view);
    auto next = view;
    next.revision = Revision(4);
    next.customers.edit().erase(next.customers.begin());
    const auto delta = unpackDelta(rpc::toData(pack(membership::computeDelta(view, next))));
    CHECK(membership::applyDelta(view, delta) == next);
}

} // namespace sapphirespool::control
