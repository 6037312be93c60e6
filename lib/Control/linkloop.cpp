#include "linkloop.h"

#include "codec.h"
#include "sapphirespool/Rpc/bytes.h"
#include "sapphirespool/Support/clock.h"

#include <chrono>
#include <optional>
#include <utility>

namespace sapphirespool::control
{

namespace
{

/// Five heartbeats fit into the shortest useful lease of about a second, so that one may be lost.
constexpr auto heartbeatInterval = 200 * kj::MILLISECONDS;
/// Minimum interval between two heartbeats, so that many announcements share one.
constexpr auto heartbeatSpacing = 5 * kj::MILLISECONDS;
/// Timeout of a heartbeat, after which the connection is closed: three times a round trip with a sync on a busy disk.
constexpr auto heartbeatLimit = 500 * kj::MILLISECONDS;
/// Timeout of a watch. A large view waits for its turn at the server; heartbeats detect a server that has failed.
constexpr auto watchLimit = 10 * kj::SECONDS;
/// Timeout of one attempt of an operator's request; a commit takes a few milliseconds.
constexpr auto attemptLimit = 2000 * kj::MILLISECONDS;
/// Deadline of an operator's request, which leaves time for an election and a few retries.
constexpr auto requestLife = std::chrono::seconds(8);
constexpr auto attemptPause = 50 * kj::MILLISECONDS;

/// A change in the form in which each attempt sends it.
struct PackedChange
{
    ChangeId change;
    Revision base;
    std::vector<std::byte> text;
};

/// Ends a session whose VM does not lead.
auto endSession() -> kj::Exception
{
    return KJ_EXCEPTION(DISCONNECTED, "the control VM does not lead");
}

auto unreachable() -> NotRun
{
    return {RefusalReason::ControlUnreachable, "no control VM leads or answers", std::chrono::milliseconds(1000)};
}

} // namespace

LinkLoop::LinkLoop(rpc::LoopContext &context, ProxyLinkSettings settings, std::shared_ptr<membership::ViewHolder> holder)
    : context(context)
    , settings(std::move(settings))
    , holder(std::move(holder))
    , leases(*this->holder)
    , targets(this->settings.controlVms, this->settings.foundBySeeds, this->settings.incarnation.value())
    , tasks(*this)
{
    this->tasks.add(this->runSessions());
}

auto LinkLoop::taskFailed(kj::Exception &&) -> void
{
}

auto LinkLoop::runSessions() -> kj::Promise<void>
{
    auto session = rpc::connect(this->context, this->targets.next(), rpc::connectLimit).then([this](kj::Own<rpc::Connection> connected) {
        return this->runSession(kj::mv(connected));
    });
    return session
        .catch_([this](kj::Exception &&) {
            this->client = nullptr;
        })
        .then([this] {
            return this->pauseBeforeNext();
        })
        .then([this] {
            return this->runSessions();
        });
}

auto LinkLoop::pauseBeforeNext() -> kj::Promise<void>
{
    const auto pause = this->targets.pause();
    if (pause.count() == 0) {
        return kj::READY_NOW;
    }
    return this->context.timer.afterDelay(pause.count() * kj::MILLISECONDS);
}

auto LinkLoop::runSession(kj::Own<rpc::Connection> connected) -> kj::Promise<void>
{
    auto control = connected->bootstrap().castAs<schema::Control>();
    this->client = control;
    this->incoming.clear();
    // The first heartbeat is sent at once, since the lease granted by the former leader expires.
    auto session = this->heartbeats(control).exclusiveJoin(this->watches(control)).exclusiveJoin(connected->onDisconnect().then([]() -> kj::Promise<void> {
        return endSession();
    }));
    return session.attach(kj::mv(connected));
}

auto LinkLoop::takeHeartbeat() -> VmHeartbeat
{
    const auto view = this->holder->current();
    auto heartbeat = VmHeartbeat{this->settings.vm,
                                 this->settings.zone,
                                 this->settings.incarnation,
                                 this->settings.callers,
                                 this->settings.peers,
                                 this->leaving,
                                 view->revision,
                                 view->configuration};
    // Announcements without an answer are resent, unless the upstream has sent a newer one.
    this->announcements.merge(this->announcementsSent);
    this->announcementsSent = std::exchange(this->announcements, {});
    for (const auto &[id, announcement] : this->announcementsSent) {
        heartbeat.announcements.push_back(announcement);
    }
    heartbeat.suspicions = this->suspicions;
    this->suspicionsSent = this->suspicions.size();
    heartbeat.firstStart = this->settings.firstStart;
    return heartbeat;
}

auto LinkLoop::heartbeats(schema::Control::Client control) -> kj::Promise<void>
{
    auto request = control.heartbeatRequest();
    write(this->takeHeartbeat(), request.initHeartbeat());
    const auto sentAt = support::now();
    return this->context.timer.timeoutAfter(heartbeatLimit, request.send())
        .then([this, sentAt](capnp::Response<schema::Control::HeartbeatResults> &&response) {
            this->takeAnswer(response.getAnswer(), sentAt);
            return this->context.timer.afterDelay(heartbeatSpacing);
        })
        .then([this]() -> kj::Promise<void> {
            if (!this->announcements.empty() || !this->suspicions.empty()) {
                return kj::READY_NOW;
            }
            auto wake = kj::newPromiseAndFulfiller<void>();
            this->heartbeatWaker = kj::mv(wake.fulfiller);
            return wake.promise.exclusiveJoin(this->context.timer.afterDelay(heartbeatInterval));
        })
        .then([this, control]() mutable {
            return this->heartbeats(control);
        });
}

auto LinkLoop::takeAnswer(schema::HeartbeatAnswer::Reader answer, TimePoint sentAt) -> void
{
    if (answer.isRedirect()) {
        this->followRedirect(answer.getRedirect());
        kj::throwFatalException(endSession());
    }
    this->targets.answered();
    this->announcementsSent.clear();
    this->holder->noteContact(support::now());
    // A suspicion without an answer is resent with the next heartbeat, as the proxy may observe no further failure.
    this->suspicions.erase(this->suspicions.begin(), this->suspicions.begin() + static_cast<std::ptrdiff_t>(this->suspicionsSent));
    if (answer.isLease()) {
        const auto lease = answer.getLease();
        auto controlVms = readEndpoints(lease.getControlVms());
        if (this->settings.onLease) {
            this->settings.onLease(controlVms);
        }
        this->targets.noteLease(std::move(controlVms));
        this->leases.granted(sentAt + std::chrono::milliseconds(lease.getLengthMs()), Revision(lease.getFloor()));
    }
}

auto LinkLoop::watches(schema::Control::Client control) -> kj::Promise<void>
{
    auto request = control.watchRequest();
    request.setVm(this->settings.vm.value());
    request.setKnown(this->snapshotNeeded ? 0 : this->holder->current()->revision.value());
    request.setPartLimit(viewPartBytes);
    request.setTransfer(this->incoming.transfer());
    request.setOffset(this->incoming.content().size());
    auto services = request.initServices(static_cast<unsigned>(this->settings.services.size()));
    for (auto index = 0U; index < services.size(); ++index) {
        services.set(index, this->settings.services[index].value());
    }
    return this->context.timer.timeoutAfter(watchLimit, request.send())
        .then([this](capnp::Response<schema::Control::WatchResults> &&response) {
            this->takeAnswer(response.getAnswer());
            return this->context.timer.afterDelay(heartbeatSpacing);
        })
        .then([this, control]() mutable {
            return this->watches(control);
        });
}

auto LinkLoop::takeAnswer(schema::WatchAnswer::Reader answer) -> void
{
    if (answer.isRedirect()) {
        this->followRedirect(answer.getRedirect());
        kj::throwFatalException(endSession());
    }
    if (answer.isPart()) {
        this->takePart(answer.getPart());
        return;
    }
    this->incoming.clear();
    if (answer.isSnapshot()) {
        this->takeSnapshot(answer.getSnapshot());
    } else if (answer.isDelta()) {
        this->takeDelta(answer.getDelta());
    }
}

auto LinkLoop::takePart(schema::ViewPart::Reader part) -> void
{
    if (!this->incoming.add({part.getTransfer(), part.getTotal(), part.getIsDelta(), rpc::bytesOf(part.getData())})) {
        return;
    }
    const auto content = this->incoming.content();
    const auto packed = std::vector<std::byte>(content.begin(), content.end());
    this->incoming.clear();
    if (part.getIsDelta()) {
        this->takeDelta(toData(packed));
    } else {
        this->takeSnapshot(toData(packed));
    }
}

auto LinkLoop::takeSnapshot(capnp::Data::Reader packed) -> void
{
    this->snapshotNeeded = false;
    this->leases.viewArrived(std::make_shared<const membership::ClusterView>(unpackView(packed)));
    this->wakeHeartbeat();
}

auto LinkLoop::takeDelta(capnp::Data::Reader packed) -> void
{
    auto next = membership::applyDelta(*this->holder->current(), unpackDelta(packed));
    this->snapshotNeeded = !next.has_value();
    if (next) {
        this->leases.viewArrived(std::make_shared<const membership::ClusterView>(*std::move(next)));
        this->wakeHeartbeat();
    }
}

auto LinkLoop::followRedirect(schema::Redirect::Reader redirect) -> void
{
    const auto leader = read(redirect.getLeader());
    this->targets.redirected(leader.port == 0 ? std::nullopt : std::optional(leader), readEndpoints(redirect.getControlVms()));
}

auto LinkLoop::wakeHeartbeat() -> void
{
    if (this->heartbeatWaker.get() != nullptr) {
        this->heartbeatWaker->fulfill();
        this->heartbeatWaker = nullptr;
    }
}

auto LinkLoop::announce(platform::Announcement announcement) -> void
{
    // A newer announcement of an upstream replaces one that has not been sent.
    const auto id = announcement.id;
    this->announcements.insert_or_assign(id, std::move(announcement));
    this->wakeHeartbeat();
}

auto LinkLoop::suspect(membership::Suspicion suspicion) -> void
{
    this->suspicions.push_back(std::move(suspicion));
    this->wakeHeartbeat();
}

auto LinkLoop::setControlVms(std::vector<Endpoint> controlVms) -> void
{
    this->targets.setSeeds(std::move(controlVms));
}

auto LinkLoop::leave() -> void
{
    this->leaving = true;
    this->wakeHeartbeat();
}

auto LinkLoop::run(std::shared_ptr<Attempt> attempt) -> void
{
    this->tasks.add(this->tryOnce(attempt)
                        .catch_([](kj::Exception &&) {
                            return false;
                        })
                        .then([this, attempt](bool answered) -> kj::Promise<void> {
                            if (answered) {
                                return kj::READY_NOW;
                            }
                            if (std::chrono::steady_clock::now() >= attempt->deadline) {
                                attempt->giveUp(attempt->sent);
                                return kj::READY_NOW;
                            }
                            return this->context.timer.afterDelay(attemptPause).then([this, attempt] {
                                this->run(attempt);
                            });
                        }));
}

auto LinkLoop::tryOnce(std::shared_ptr<Attempt> attempt) -> kj::Promise<bool>
{
    KJ_IF_MAYBE (control, this->client) {
        return this->context.timer.timeoutAfter(attemptLimit, attempt->send(*control));
    }
    return false;
}

auto LinkLoop::changeConfiguration(membership::ConfigurationChange change, std::function<void(membership::ConfigurationOutcome)> done) -> void
{
    auto attempt = std::make_shared<Attempt>();
    attempt->deadline = std::chrono::steady_clock::now() + requestLife;
    attempt->send = [change = PackedChange{change.change, change.base, packText(change.text)}, done, attempt = attempt.get()](schema::Control::Client control) {
        auto request = control.changeConfigurationRequest();
        request.setChange(change.change.value());
        request.setBase(change.base.value());
        request.setText(toData(change.text));
        // Without an answer the change may have been accepted. The change id makes a resend idempotent.
        const auto sentBefore = std::exchange(attempt->sent, true);
        return request.send().then([done, attempt, sentBefore](capnp::Response<schema::Control::ChangeConfigurationResults> &&response) {
            const auto answer = response.getAnswer();
            if (answer.isRedirect()) {
                attempt->sent = sentBefore;
                return false;
            }
            if (answer.isUnknown()) {
                return false;
            }
            if (answer.isAccepted()) {
                done(membership::ConfigurationAccepted{Revision(answer.getAccepted())});
            } else {
                done(readNotRun(answer.getRefused()));
            }
            return true;
        });
    };
    attempt->giveUp = [done](bool sent) {
        if (sent) {
            done(OutcomeUnknown{RefusalReason::ControlUnreachable, "control did not answer; send the same change id again"});
        } else {
            done(unreachable());
        }
    };
    this->run(std::move(attempt));
}

auto LinkLoop::readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void
{
    auto attempt = std::make_shared<Attempt>();
    attempt->deadline = std::chrono::steady_clock::now() + requestLife;
    attempt->send = [done](schema::Control::Client control) {
        return control.readConfigurationRequest().send().then([done](capnp::Response<schema::Control::ReadConfigurationResults> &&response) {
            const auto answer = response.getAnswer();
            if (answer.isText()) {
                done(membership::ConfigurationText{Revision(answer.getText().getRevision()), unpackText(answer.getText().getContent())});
            } else if (answer.isRefused()) {
                done(readNotRun(answer.getRefused()));
            }
            return !answer.isRedirect();
        });
    };
    attempt->giveUp = [done](bool) {
        done(unreachable());
    };
    this->run(std::move(attempt));
}

auto LinkLoop::readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void
{
    auto attempt = std::make_shared<Attempt>();
    attempt->deadline = std::chrono::steady_clock::now() + requestLife;
    attempt->send = [done](schema::Control::Client control) {
        return control.readStatusRequest().send().then([done](capnp::Response<schema::Control::ReadStatusResults> &&response) {
            const auto answer = response.getAnswer();
            if (answer.isStatus()) {
                done(read(answer.getStatus()));
            } else if (answer.isRefused()) {
                done(readNotRun(answer.getRefused()));
            }
            return !answer.isRedirect();
        });
    };
    attempt->giveUp = [done](bool) {
        done(unreachable());
    };
    this->run(std::move(attempt));
}

} // namespace sapphirespool::control
