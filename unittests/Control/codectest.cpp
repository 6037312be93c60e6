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

} // namespace sapphirespool::control
