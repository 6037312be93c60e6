#include "peerloop.h"

#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace sapphirespool::peers
{

namespace
{

auto addressOf(kj::Network &network, const Endpoint &endpoint) -> kj::Own<kj::NetworkAddress>
{
    const auto address = boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(endpoint.address), endpoint.port);
    return network.getSockaddr(address.data(), static_cast<kj::uint>(address.size()));
}

} // namespace

PeerLoop::Connection::Connection(kj::Own<kj::AsyncIoStream> opened)
    : stream(kj::mv(opened))
    , client(*this->stream)
    , peer(this->client.bootstrap().castAs<schema::Peer>())
{
}

PeerLoop::PeerLoop(rpc::LoopContext &context)
    : context(context)
    , tasks(*this)
{
}

auto PeerLoop::call(const Endpoint &endpoint,
                    std::chrono::milliseconds timeout,
                    std::function<kj::Promise<void>(schema::Peer::Client &)> send,
                    std::function<void(bool)> failed) -> void
{
    const auto entry = this->entryFor(endpoint);
    const auto sent = std::make_shared<bool>(false);
    auto work = entry->ready.addBranch().then([entry, sent, send = std::move(send)]() {
        *sent = true;
        return send(entry->connection->peer);
    });
    auto limited = this->context.timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(work));
    this->tasks.add(limited.catch_([sent, failed = std::move(failed)](kj::Exception &&) {
        failed(*sent);
    }));
}

auto PeerLoop::listen(const Endpoint &endpoint, schema::Peer::Client service) -> std::uint16_t
{
    this->receiver = addressOf(this->context.network, endpoint)->listen();
    this->server = kj::heap<capnp::TwoPartyServer>(kj::mv(service));
    this->tasks.add(this->server->listen(*this->receiver));
    return static_cast<std::uint16_t>(this->receiver->getPort());
}

auto PeerLoop::entryFor(const Endpoint &endpoint) -> std::shared_ptr<Entry>
{
    const auto found = this->entries.find(endpoint);
    if (found != this->entries.end()) {
        return found->second;
    }
    auto entry = std::make_shared<Entry>();
    entry->ready = this->connect(endpoint, entry).fork();
    this->entries.emplace(endpoint, entry);
    return entry;
}

auto PeerLoop::connect(const Endpoint &endpoint, const std::shared_ptr<Entry> &entry) -> kj::Promise<void>
{
    const auto weak = std::weak_ptr<Entry>(entry);
    auto address = addressOf(this->context.network, endpoint);
    auto connecting = address->connect().attach(kj::mv(address));
    return connecting
        .then([this, endpoint, weak](kj::Own<kj::AsyncIoStream> stream) {
            const auto alive = weak.lock();
            if (alive == nullptr) {
                return;
            }
            alive->connection = kj::heap<Connection>(kj::mv(stream));
            auto gone = alive->connection->client.onDisconnect().then([this, endpoint, weak]() {
                this->dropConnection(endpoint, weak);
            });
            this->tasks.add(kj::mv(gone));
        })
        .catch_([this, endpoint, weak](kj::Exception &&exception) {
            this->dropConnection(endpoint, weak);
            kj::throwFatalException(kj::mv(exception));
        });
}

auto PeerLoop::dropConnection(const Endpoint &endpoint, const std::weak_ptr<Entry> &entry) -> void
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end() || found->second != entry.lock()) {
        return;
    }
    // The entry is destroyed in a separate task, because the caller of this function may be a task that the entry owns.
    this->tasks.add(kj::evalLater([dropped = std::move(found->second)]() {}));
    this->entries.erase(found);
}

auto PeerLoop::taskFailed(kj::Exception &&) -> void
{
    // Calls report their failures to their callers; only the ends of connections arrive here.
}

} // namespace sapphirespool::peers
