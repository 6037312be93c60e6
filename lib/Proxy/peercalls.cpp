#include "peercalls.h"

#include <cassert>
#include <utility>

namespace sapphirespool::proxy
{

PeerCalls::PeerCalls(VmId self, std::shared_ptr<PeerLink> link, PeerService &local, std::chrono::milliseconds timeout)
    : self(std::move(self))
    , link(std::move(link))
    , local(local)
    , callTimeout(timeout)
{
}

auto PeerCalls::startKey(membership::ProxyView peer, sessions::KeyStart start) -> boost::asio::awaitable<std::optional<sessions::KeyReply>>
{
    if (peer.id == this->self) {
        co_return this->local.startKey(start);
    }
    auto reply = co_await this->link->startKey(std::move(peer), std::move(start), this->callTimeout);
    co_return reply;
}

auto PeerCalls::finishKey(const membership::ProxyView &peer, const sessions::KeyFinish &finish) -> void
{
    if (peer.id == this->self) {
        this->local.finishKey(finish);
        return;
    }
    this->link->finishKey(peer, finish);
}

auto PeerCalls::abandonKey(const membership::ProxyView &peer, const sessions::KeyAbandon &abandon) -> void
{
    if (peer.id == this->self) {
        this->local.abandonKey(abandon);
        return;
    }
    this->link->abandonKey(peer, abandon);
}

auto PeerCalls::updateHome(membership::ProxyView peer, HomeUpdate update) -> boost::asio::awaitable<bool>
{
    if (peer.id == this->self) {
        this->local.updateHome(update);
        co_return true;
    }
    const auto taken = co_await this->link->updateHome(std::move(peer), std::move(update), this->callTimeout);
    co_return taken;
}

auto PeerCalls::findHome(membership::ProxyView peer, HomeQuery query) -> boost::asio::awaitable<std::optional<sessions::TermPosition>>
{
    if (peer.id == this->self) {
        co_return this->local.findHome(query);
    }
    const auto seen = co_await this->link->findHome(std::move(peer), std::move(query), this->callTimeout);
    co_return seen;
}

auto PeerCalls::timeout() const -> std::chrono::milliseconds
{
    return this->callTimeout;
}

auto holdersOf(const membership::ClusterView &view, std::string_view name, std::size_t copies) -> std::vector<membership::ProxyView>
{
    auto holders = std::vector<membership::ProxyView>();
    for (const auto &holder : sessions::chooseHolders(name, sessions::candidates(view), copies)) {
        const auto *const proxy = view.findProxy(holder.vm);
        assert(proxy != nullptr && "holders are chosen from the view");
        holders.push_back(*proxy);
    }
    return holders;
}

} // namespace sapphirespool::proxy
