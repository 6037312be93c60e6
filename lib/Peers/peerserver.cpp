#include "peerserver.h"

#include "peercodec.h"

#include "sapphirespool/Proxy/outcomecodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <kj/async.h>
#include <kj/debug.h>

#include <optional>
#include <string>
#include <utility>

namespace sapphirespool::peers
{

namespace
{

namespace asio = boost::asio;

/// A result of the dispatch executor, which writes it before the promise of its completion resolves on the event loop.
template <typename Result>
using SharedResult = std::shared_ptr<std::optional<Result>>;

/// \return the result once \p completed resolves; fails the call if the service no longer existed
template <typename Result>
auto resultAfter(kj::Promise<void> completed, SharedResult<Result> result) -> kj::Promise<Result>
{
    return completed.then([result = std::move(result)]() -> kj::Promise<Result> {
        if (!*result) {
            return KJ_EXCEPTION(FAILED, "the called proxy has ended");
        }
        return std::move(**result);
    });
}

/// \param completion destroyed with the frame of the coroutine, after the result is written
auto forwardToService(std::shared_ptr<proxy::PeerService> service,
                      proxy::TransactionRequest request,
                      SharedResult<std::string> result,
                      [[maybe_unused]] rpc::Completion completion) -> asio::awaitable<void>
{
    const auto reply = co_await service->runForwarded(std::move(request));
    result->emplace(proxy::encodeReply(reply));
}

auto malformedForward() -> std::string
{
    auto refusal = NotRun{RefusalReason::MalformedRequest, "the forwarded request is malformed"};
    return proxy::encodeReply(proxy::Reply{std::move(refusal), {}});
}

} // namespace

PeerServer::PeerServer(Incarnation self, std::weak_ptr<rpc::LoopThread> loop, boost::asio::any_io_executor dispatch, std::weak_ptr<proxy::PeerService> service)
    : self(self)
    , completions(std::make_shared<rpc::Completions>(std::move(loop)))
    , dispatch(std::move(dispatch))
    , service(std::move(service))
{
}

template <typename Result, typename Work>
auto PeerServer::onDispatch(Work work) -> kj::Promise<Result>
{
    auto pending = this->completions->add();
    const auto result = std::make_shared<std::optional<Result>>();
    asio::post(this->dispatch, [completion = std::move(pending.completion), result, service = this->service, work = std::move(work)]() mutable {
        if (const auto alive = service.lock()) {
            result->emplace(work(*alive));
        }
    });
    return resultAfter(kj::mv(pending.promise), result);
}

auto PeerServer::startKey(StartKeyContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    if (params.getProcess() != this->self.value()) {
        context.getResults().setWrongProcess(true);
        return kj::READY_NOW;
    }
    auto start = read(params.getStart());
    auto answered = this->onDispatch<sessions::KeyReply>([start = std::move(start)](proxy::PeerService &alive) {
        return alive.startKey(start);
    });
    return answered.then([context](sessions::KeyReply reply) mutable {
        write(context.getResults().initReply(), reply);
    });
}

auto PeerServer::finishKey(FinishKeyContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    if (params.getProcess() != this->self.value()) {
        return kj::READY_NOW;
    }
    auto finish = sessions::KeyFinish();
    finish.key = sessions::KeyName(text(params.getKey()));
    finish.attempt = sessions::AttemptId(text(params.getAttempt()));
    finish.outcome = text(params.getOutcome());
    auto done = this->onDispatch<bool>([finish = std::move(finish)](proxy::PeerService &alive) {
        alive.finishKey(finish);
        return true;
    });
    return done.ignoreResult();
}

auto PeerServer::abandonKey(AbandonKeyContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    if (params.getProcess() != this->self.value()) {
        return kj::READY_NOW;
    }
    auto abandon = sessions::KeyAbandon();
    abandon.key = sessions::KeyName(text(params.getKey()));
    abandon.attempt = sessions::AttemptId(text(params.getAttempt()));
    auto done = this->onDispatch<bool>([abandon = std::move(abandon)](proxy::PeerService &alive) {
        alive.abandonKey(abandon);
        return true;
    });
    return done.ignoreResult();
}

auto PeerServer::updateHome(UpdateHomeContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    if (params.getProcess() != this->self.value()) {
        context.getResults().setWrongProcess(true);
        return kj::READY_NOW;
    }
    auto update = proxy::HomeUpdate();
    update.session = SessionId(text(params.getSession()));
    update.group = GroupId(text(params.getGroup()));
    update.seen = {Term(params.getTerm()), LogPosition(params.getPosition())};
    auto done = this->onDispatch<bool>([update = std::move(update)](proxy::PeerService &alive) {
        alive.updateHome(update);
        return true;
    });
    return done.ignoreResult();
}

auto PeerServer::findHome(FindHomeContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    if (params.getProcess() != this->self.value()) {
        return kj::READY_NOW;
    }
    auto query = proxy::HomeQuery{SessionId(text(params.getSession())), GroupId(text(params.getGroup()))};
    using Found = std::optional<sessions::TermPosition>;
    auto answered = this->onDispatch<Found>([query = std::move(query)](proxy::PeerService &alive) {
        return alive.findHome(query);
    });
    return answered.then([context](Found found) mutable {
        auto results = context.getResults();
        results.setKnown(found.has_value());
        if (found) {
            results.setTerm(found->term.value());
            results.setPosition(found->position.value());
        }
    });
}

auto PeerServer::forward(ForwardContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    if (params.getProcess() != this->self.value()) {
        context.getResults().setWrongProcess(true);
        return kj::READY_NOW;
    }
    auto request = read(params.getRequest());
    if (!request) {
        const auto refusal = malformedForward();
        context.getResults().setReply(view(refusal));
        return kj::READY_NOW;
    }
    auto pending = this->completions->add();
    const auto result = std::make_shared<std::optional<std::string>>();
    asio::post(this->dispatch,
               [dispatch = this->dispatch, weak = this->service, request = std::move(*request), result, completion = std::move(pending.completion)]() mutable {
                   if (auto alive = weak.lock()) {
                       asio::co_spawn(dispatch, forwardToService(std::move(alive), std::move(request), result, std::move(completion)), asio::detached);
                   }
               });
    return resultAfter(kj::mv(pending.promise), result).then([context](std::string reply) mutable {
        context.getResults().setReply(view(reply));
    });
}

} // namespace sapphirespool::peers
