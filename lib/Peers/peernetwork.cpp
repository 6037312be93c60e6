#include "sapphirespool/Peers/peernetwork.h"

#include "peercodec.h"
#include "peerloop.h"
#include "peerserver.h"

#include "sapphirespool/Proxy/outcomecodec.h"
#include "sapphirespool/Proxy/wakeup.h"

#include <boost/asio/post.hpp>

#include <future>
#include <utility>

namespace sapphirespool::peers
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Timeout of calls whose result is ignored: long enough to connect. If such a call fails, the record of the key expires by itself.
constexpr auto oneWayCallTimeout = milliseconds(1000);
/// Time by which the caller's timeout exceeds that of the event loop, so that the loop usually reports whether the call was sent.
constexpr auto callerTimeoutMargin = milliseconds(50);

/// Result of a call, passed from the event loop to the dispatch executor.
template <typename Result>
class Pending : public std::enable_shared_from_this<Pending<Result>>
{
public:
    explicit Pending(asio::any_io_executor dispatch)
        : dispatch(std::move(dispatch))
        , wakeup(this->dispatch)
    {
    }

    /// May be called from any thread.
    auto settle(Result value) -> void
    {
        asio::post(this->dispatch, [self = this->shared_from_this(), value = std::move(value)]() mutable {
            self->result = std::move(value);
            self->wakeup.notify();
        });
    }

    auto wait(milliseconds timeout) -> asio::awaitable<std::optional<Result>>
    {
        const auto self = this->shared_from_this();
        const auto deadline = std::chrono::steady_clock::now() + timeout + callerTimeoutMargin;
        while (!this->result) {
            const auto notified = co_await this->wakeup.wait(deadline);
            if (!notified && !this->result) {
                co_return std::nullopt;
            }
        }
        co_return std::move(this->result);
    }

private:
    asio::any_io_executor dispatch;
    proxy::Wakeup wakeup;
    std::optional<Result> result;
};

class RpcPeerNetwork : public PeerNetwork
{
public:
    RpcPeerNetwork(Incarnation self, asio::any_io_executor dispatch)
        : self(self)
        , dispatch(std::move(dispatch))
        , state(std::make_shared<std::unique_ptr<PeerLoop>>())
        , loop(std::make_shared<rpc::LoopThread>())
    {
        this->loop->post([state = this->state](rpc::LoopContext &context) {
            *state = std::make_unique<PeerLoop>(context);
        });
    }

    ~RpcPeerNetwork() override
    {
        this->close();
    }

    auto listen(const Endpoint &endpoint, std::weak_ptr<proxy::PeerService> service) -> Endpoint override
    {
        auto bound = std::promise<std::uint16_t>();
        auto port = bound.get_future();
        this->loop->post([this, endpoint, &bound, service = std::move(service)](rpc::LoopContext &) {
            try {
                bound.set_value((*this->state)->listen(endpoint, kj::heap<PeerServer>(this->self, this->loop, this->dispatch, service)));
            } catch (const kj::Exception &error) {
                bound.set_exception(std::make_exception_ptr(std::runtime_error(error.getDescription().cStr())));
            }
        });
        return Endpoint{endpoint.address, port.get()};
    }

    auto close() -> void override
    {
        if (this->loop == nullptr) {
            return;
        }
        this->loop->post([state = this->state](rpc::LoopContext &) {
            state->reset();
        });
        this->loop.reset();
    }

    auto startKey(membership::ProxyView peer, sessions::KeyStart start, milliseconds timeout) -> asio::awaitable<std::optional<sessions::KeyReply>> override
    {
        using Reply = std::optional<sessions::KeyReply>;
        const auto pending = std::make_shared<Pending<Reply>>(this->dispatch);
        auto send = [pending, start = std::move(start), process = peer.incarnation](schema::Peer::Client &client) {
            auto request = client.startKeyRequest();
            request.setProcess(process.value());
            write(request.initStart(), start);
            return request.send().then([pending](capnp::Response<schema::Peer::StartKeyResults> response) {
                pending->settle(response.getWrongProcess() ? std::nullopt : Reply(read(response.getReply())));
            });
        };
        this->call(peer.peers, timeout, std::move(send), [pending](bool) {
            pending->settle(std::nullopt);
        });
        auto reply = co_await pending->wait(timeout);
        co_return reply.value_or(std::nullopt);
    }

    auto finishKey(membership::ProxyView peer, sessions::KeyFinish finish) -> void override
    {
        auto send = [finish = std::move(finish), process = peer.incarnation](schema::Peer::Client &client) {
            auto request = client.finishKeyRequest();
            request.setProcess(process.value());
            request.setKey(view(finish.key.value()));
            request.setAttempt(view(finish.attempt.value()));
            request.setOutcome(view(finish.outcome));
            return request.send().ignoreResult();
        };
        this->call(peer.peers, oneWayCallTimeout, std::move(send), [](bool) {});
    }

    auto abandonKey(membership::ProxyView peer, sessions::KeyAbandon abandon) -> void override
    {
        auto send = [abandon = std::move(abandon), process = peer.incarnation](schema::Peer::Client &client) {
            auto request = client.abandonKeyRequest();
            request.setProcess(process.value());
            request.setKey(view(abandon.key.value()));
            request.setAttempt(view(abandon.attempt.value()));
            return request.send().ignoreResult();
        };
        this->call(peer.peers, oneWayCallTimeout, std::move(send), [](bool) {});
    }

    auto updateHome(membership::ProxyView peer, proxy::HomeUpdate update, milliseconds timeout) -> asio::awaitable<bool> override
    {
        const auto pending = std::make_shared<Pending<bool>>(this->dispatch);
        auto send = [pending, update = std::move(update), process = peer.incarnation](schema::Peer::Client &client) {
            auto request = client.updateHomeRequest();
            request.setProcess(process.value());
            request.setSession(view(update.session.value()));
            request.setGroup(view(update.group.value()));
            request.setTerm(update.seen.term.value());
            request.setPosition(update.seen.position.value());
            return request.send().then([pending](capnp::Response<schema::Peer::UpdateHomeResults> response) {
                pending->settle(!response.getWrongProcess());
            });
        };
        this->call(peer.peers, timeout, std::move(send), [pending](bool) {
            pending->settle(false);
        });
        const auto taken = co_await pending->wait(timeout);
        co_return taken.value_or(false);
    }

    auto findHome(membership::ProxyView peer, proxy::HomeQuery query, milliseconds timeout) -> asio::awaitable<std::optional<sessions::TermPosition>> override
    {
        using Found = std::optional<sessions::TermPosition>;
        const auto pending = std::make_shared<Pending<Found>>(this->dispatch);
        auto send = [pending, query = std::move(query), process = peer.incarnation](schema::Peer::Client &client) {
            auto request = client.findHomeRequest();
            request.setProcess(process.value());
            request.setSession(view(query.session.value()));
            request.setGroup(view(query.group.value()));
            return request.send().then([pending](capnp::Response<schema::Peer::FindHomeResults> response) {
                const auto found = sessions::TermPosition{Term(response.getTerm()), LogPosition(response.getPosition())};
                pending->settle(response.getKnown() ? Found(found) : std::nullopt);
            });
        };
        this->call(peer.peers, timeout, std::move(send), [pending](bool) {
            pending->settle(std::nullopt);
        });
        const auto found = co_await pending->wait(timeout);
        co_return found.value_or(std::nullopt);
    }

    auto forward(membership::ProxyView peer, proxy::TransactionRequest message, milliseconds timeout) -> asio::awaitable<proxy::ForwardOutcome> override
    {
        const auto pending = std::make_shared<Pending<proxy::ForwardOutcome>>(this->dispatch);
        auto send = [pending, message = std::move(message), process = peer.incarnation](schema::Peer::Client &client) {
            auto request = client.forwardRequest();
            request.setProcess(process.value());
            write(request.initRequest(), message);
            return request.send().then([pending](capnp::Response<schema::Peer::ForwardResults> response) {
                auto reply = response.getWrongProcess() ? std::nullopt : proxy::decodeReply(text(response.getReply()));
                auto failure = proxy::PeerFailure{!response.getWrongProcess()};
                pending->settle(reply ? proxy::ForwardOutcome(std::move(*reply)) : proxy::ForwardOutcome(failure));
            });
        };
        this->call(peer.peers, timeout, std::move(send), [pending](bool sent) {
            pending->settle(proxy::PeerFailure{sent});
        });
        auto outcome = co_await pending->wait(timeout);
        co_return outcome ? std::move(*outcome) : proxy::ForwardOutcome(proxy::PeerFailure{true});
    }

private:
    template <typename Send>
    auto call(const Endpoint &endpoint, milliseconds timeout, Send send, std::function<void(bool)> failed) -> void
    {
        if (this->loop == nullptr) {
            failed(false);
            return;
        }
        this->loop->post([state = this->state, endpoint, timeout, send = std::move(send), failed = std::move(failed)](rpc::LoopContext &) {
            if (*state == nullptr) {
                failed(false);
                return;
            }
            (*state)->call(endpoint, timeout, send, failed);
        });
    }

    Incarnation self;
    asio::any_io_executor dispatch;
    std::shared_ptr<std::unique_ptr<PeerLoop>> state;
    /// Others hold it weakly, to post the results of calls.
    std::shared_ptr<rpc::LoopThread> loop;
};

} // namespace

auto makePeerNetwork(Incarnation self, boost::asio::any_io_executor dispatch) -> std::shared_ptr<PeerNetwork>
{
    return std::make_shared<RpcPeerNetwork>(self, std::move(dispatch));
}

} // namespace sapphirespool::peers
