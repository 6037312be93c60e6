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
constexpr auto silenceLimit = std::chrono::milliseconds(1000);
/// Minimum interval between two connection attempts, well below the election timeout.
constexpr auto retryInterval = std::chrono::milliseconds(50);
/// Maximum number of unanswered messages. At this limit the connection is too slow, and further messages would only arrive late.
constexpr auto unansweredLimit = std::size_t(512);

} // namespace

PeerLink::PeerLink(rpc::LoopContext &context, Endpoint endpoint, std::function<void()> reached)
    : context(context)
    , endpoint(std::move(endpoint))
    , reached(std::move(reached))
    , tasks(*this)
{
}

PeerLink::~PeerLink() = default;

auto PeerLink::taskFailed(kj::Exception &&) -> void
{
    this->drop();
}

auto PeerLink::drop() -> void
{
    this->unanswered = 0;
    if (this->connection.get() != nullptr) {
        // Deferred, as the connection must not be destroyed within one of its own callbacks.
        this->tasks.add(kj::evalLater([held = kj::mv(this->connection)] {}));
        this->connection = nullptr;
        this->connectLater();
    }
}

auto PeerLink::keepOpen(bool wanted) -> void
{
    const auto before = std::exchange(this->keptOpen, wanted);
    if (wanted && !before && this->connection.get() == nullptr) {
        this->connect();
    }
}

auto PeerLink::connectLater() -> void
{
    if (!this->keptOpen) {
        return;
    }
    this->tasks.add(this->context.timer.afterDelay(std::chrono::milliseconds(retryInterval).count() * kj::MILLISECONDS).then([this] {
        if (this->connection.get() == nullptr) {
            this->connect();
        }
    }));
}

auto PeerLink::noteAnswer() -> void
{
    this->unanswered -= this->unanswered > 0 ? 1 : 0;
    this->answeredAt = std::chrono::steady_clock::now();
}

auto PeerLink::connect() -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (this->connecting || now - this->triedAt < retryInterval) {
        return;
    }
    this->connecting = true;
    this->triedAt = now;
    auto opened = rpc::connect(this->context, this->endpoint, rpc::connectLimit).then([this](kj::Own<rpc::Connection> connected) {
        this->connecting = false;
        this->connection = kj::mv(connected);
        this->answeredAt = std::chrono::steady_clock::now();
        this->tasks.add(this->connection->onDisconnect().then([this, ended = this->connection.get()] {
            if (this->connection.get() == ended) {
                this->drop();
            }
        }));
        this->reached();
    });
    this->tasks.add(opened.catch_([this](kj::Exception &&) {
        this->connecting = false;
        this->connectLater();
    }));
}

auto PeerLink::ready() -> bool
{
    if (this->connection.get() == nullptr) {
        this->connect();
        return false;
    }
    if (this->unanswered > 0 && std::chrono::steady_clock::now() - this->answeredAt > silenceLimit) {
        this->drop();
        return false;
    }
    if (this->unanswered == 0) {
        this->answeredAt = std::chrono::steady_clock::now();
    }
    return this->unanswered < unansweredLimit;
}

auto PeerLink::deliver(const std::function<void(schema::Message::Builder)> &write) -> void
{
    if (!this->ready()) {
        return;
    }
    auto request = this->connection->bootstrap().castAs<schema::ConsensusPeer>().deliverRequest();
    write(request.initMessage());
    ++this->unanswered;
    this->tasks.add(request.send().then([this](auto &&) {
        this->noteAnswer();
    }));
}

auto PeerLink::join(const ControlMember &self, std::function<void(JoinAnswer)> answered) -> void
{
    if (!this->ready()) {
        return;
    }
    auto request = this->connection->bootstrap().castAs<schema::ConsensusPeer>().joinRequest();
    write(self, request.initMember());
    ++this->unanswered;
    this->tasks.add(request.send().then([this, answered = std::move(answered)](auto &&answer) {
        this->noteAnswer();
        auto heard = JoinAnswer{answer.getEmpty(), {}};
        for (const auto member : answer.getMembers()) {
            heard.members.push_back(read(member));
        }
        answered(std::move(heard));
    }));
}

} // namespace sapphirespool::consensus
