#include "sapphirespool/Rpc/connection.h"

#include <capnp/rpc-twoparty.h>
#include <catch2/catch.hpp>
#include <kj/async-io.h>

namespace sapphirespool::rpc
{

TEST_CASE("a connection whose peer has ended can still be asked for its capability")
{
    // A control VM loses power while the leader has messages for it. The end of the connection is known inside the RPC library before
    // the owner of the connection hears of it; a message sent in between must fail, and not end the process.
    auto io = kj::setupAsyncIo();
    auto pipe = kj::newTwoWayPipe();
    auto connection = Connection(kj::mv(pipe.ends[0]));
    pipe.ends[1]->shutdownWrite();
    pipe.ends[1] = nullptr;
    connection.onDisconnect().exclusiveJoin(io.provider->getTimer().afterDelay(5 * kj::SECONDS)).wait(io.waitScope);
    CHECK_NOTHROW(connection.bootstrap());
}

} // namespace sapphirespool::rpc
