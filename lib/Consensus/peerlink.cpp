#include "peerlink.h"

#include "codec.h"

#include <chrono>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

/// A connection without an answer for this long is closed. During a partition that drops packets silently its messages would queue up,
/// and after the partition it would resume only with the next TCP retransmission, up to minutes later.
constexpr auto answerTimeout = std::chrono::milliseconds(1000);
/// Minimum interval between two connection attempts, well below the election timeout.
constexpr auto reconnectInterval = std::chrono::milliseconds(50);
/// Maximum number of unanswered messages. At this limit the connection is too slow, and further messages would only arrive late.
constexpr auto maxUnansweredMessages = std::size_t(512);

} // namespace

PeerLink::PeerLink(rpc::LoopContext &context, Endpoint endpoint, std::function<void()> onConnected)
    : context(context)
    , endpoint(std::move(endpoint))
    , onConnected(std::move(onConnected))
    , tasks(*this)
{
}

PeerLink::~PeerLink() = default;

auto PeerLink::taskFailed(kj::Exception &&) -> void
{
    this->disconnect();
}

auto PeerLink::disconnect() -> void
{
    this->unansweredMessages = 0;
    if (this->connection.get() != nullptr) {
        // Deferred, as the connection must not be destroyed within one of its own callbacks.
        this->tasks.add(kj::evalLater([closing = kj::mv(this->connection)] {}));
        this->connection = nullptr;
        this->scheduleReconnect();
    }
}

auto PeerLink::keepOpen(bool wanted) -> void
{
    const auto before = std::exchange(this->keptOpen, wanted);
    if (wanted && !before && this->connection.get() == nullptr) {
        this->connect();
    }
}

auto PeerLink::scheduleReconnect() -> void
{
    if (!this->keptOpen) {
        return;
    }
    this->tasks.add(this->context.timer.afterDelay(std::chrono::milliseconds(reconnectInterval).count() * kj::MILLISECONDS).then([this] {
        if (this->connection.get() == nullptr) {
            this->connect();
        }
    }));
}

auto PeerLink::recordAnswer() -> void
{
    this->unansweredMessages -= this->unansweredMessages > 0 ? 1 : 0;
    this->lastAnswerAt = std::chrono::steady_clock::now();
}

auto PeerLink::connect() -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (this->connecting || now - this->lastAttemptAt < reconnectInterval) {
        return;
    }
    this->connecting = true;
    this->lastAttemptAt = now;
    auto opened = rpc::connect(this->context, this->endpoint, rpc::connectLimit).then([this](kj::Own<rpc::Connection> connected) {
        this->connecting = false;
        this->connection = kj::mv(connected);
        this->lastAnswerAt = std::chrono::steady_clock::now();
        this->tasks.add(this->connection->onDisconnect().then([this, ended = this->connection.get()] {
            if (this->connection.get() == ended) {
                this->disconnect();
            }
        }));
        this->onConnected();
    });
    this->tasks.add(opened.catch_([this](kj::Exception &&) {
        this->connecting = false;
        this->scheduleReconnect();
    }));
}

auto PeerLink::readyToSend() -> bool
{
    if (this->connection.get() == nullptr) {
        this->connect();
        return false;
    }
    if (this->unansweredMessages > 0 && std::chrono::steady_clock::now() - this->lastAnswerAt > answerTimeout) {
        this->disconnect();
        return false;
    }
    if (this->unansweredMessages == 0) {
        this->lastAnswerAt = std::chrono::steady_clock::now();
    }
    return this->unansweredMessages < maxUnansweredMessages;
}

auto PeerLink::deliver(const std::function<void(schema::Message::Builder)> &write) -> void
{
    if (!this->readyToSend()) {
        return;
    }
    auto request = this->connection->bootstrap().castAs<schema::ConsensusPeer>().deliverRequest();
    write(request.initMessage());
    ++this->unansweredMessages;
    this->tasks.add(request.send().then([this](auto &&) {
        this->recordAnswer();
    }));
}

auto PeerLink::join(const ControlMember &self, std::function<void(JoinAnswer)> onAnswer) -> void
{
    if (!this->readyToSend()) {
        return;
    }
    auto request = this->connection->bootstrap().castAs<schema::ConsensusPeer>().joinRequest();
    write(self, request.initMember());
    ++this->unansweredMessages;
    this->tasks.add(request.send().then([this, onAnswer = std::move(onAnswer)](auto &&answer) {
        this->recordAnswer();
        auto reply = JoinAnswer{answer.getEmpty(), {}, answer.getDirectory()};
        for (const auto member : answer.getMembers()) {
            reply.members.push_back(read(member));
        }
        onAnswer(std::move(reply));
    }));
}

auto PeerLink::leave(ReplicaId self, std::function<void(bool)> onAnswer) -> void
{
    if (!this->readyToSend()) {
        return;
    }
    auto request = this->connection->bootstrap().castAs<schema::ConsensusPeer>().leaveRequest();
    request.setReplica(self.value());
    ++this->unansweredMessages;
    const auto onFailure = [this](kj::Exception &&exception) {
        // A control VM of an earlier version cannot let this one go; the link to it serves on.
        if (exception.getType() != kj::Exception::Type::UNIMPLEMENTED) {
            kj::throwRecoverableException(kj::mv(exception));
        }
        this->recordAnswer();
    };
    this->tasks.add(request.send().then(
        [this, onAnswer = std::move(onAnswer)](auto &&answer) {
            this->recordAnswer();
            onAnswer(answer.getMayEnd());
        },
        onFailure));
}

} // namespace sapphirespool::consensus
