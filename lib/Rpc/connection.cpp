#include "sapphirespool/Rpc/connection.h"

namespace sapphirespool::rpc
{

Connection::Connection(kj::Own<kj::AsyncIoStream> stream)
    : stream(kj::mv(stream))
    , client(*this->stream)
    , peer(this->client.bootstrap())
{
}

auto Connection::bootstrap() -> capnp::Capability::Client
{
    return this->peer;
}

auto Connection::onDisconnect() -> kj::Promise<void>
{
    return this->client.onDisconnect();
}

auto connect(LoopContext &context, const Endpoint &endpoint, kj::Duration limit) -> kj::Promise<kj::Own<Connection>>
{
    auto opened = context.network.parseAddress(endpoint.address.c_str(), endpoint.port).then([](kj::Own<kj::NetworkAddress> address) {
        auto connected = address->connect();
        return connected.attach(kj::mv(address));
    });
    return context.timer.timeoutAfter(limit, kj::mv(opened)).then([](kj::Own<kj::AsyncIoStream> stream) {
        return kj::heap<Connection>(kj::mv(stream));
    });
}

} // namespace sapphirespool::rpc
