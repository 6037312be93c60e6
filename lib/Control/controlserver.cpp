#include "sapphirespool/Control/controlserver.h"

#include "codec.h"
#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <utility>

namespace sapphirespool::control
{

namespace
{

/// Views kept to compute deltas from. A proxy that is further behind gets a snapshot; at today's sizes that is a few kilobytes.
constexpr auto viewsKept = std::size_t(64);
/// A watch is answered after this long at the latest, so that a proxy learns soon that the VM no longer leads.
constexpr auto watchLimit = 500 * kj::MILLISECONDS;

using ViewPointer = std::shared_ptr<const membership::ClusterView>;

/// What the RPC objects of a server share.
class Shared : private kj::TaskSet::ErrorHandler
{
public:
    Shared(rpc::LoopContext &context, consensus::Replica &replica, ControlService &service)
        : context(context)
        , replica(replica)
        , service(service)
        , tasks(*this)
    {
        this->service.onViewChange([this] {
            this->viewChanged();
        });
    }

    virtual ~Shared() noexcept = default;

    /// To be called when the server ends. Calls that proxies have under way hold this object until their connections are taken down,
    /// some turns of the loop later; the replica and the service are gone by then.
    auto detach() -> void
    {
        this->service.onViewChange({});
        this->detached = true;
    }

    Shared(const Shared &) = delete;
    auto operator=(const Shared &) -> Shared & = delete;

    /// \return whether this VM may answer for the group now
    [[nodiscard]] auto leads() const -> bool
    {
        return !this->detached && this->replica.holdsLeaderLease(support::now());
    }

    auto writeRedirect(schema::Redirect::Builder out) const -> void
    {
        const auto leader = this->detached ? std::nullopt : this->replica.leader();
        if (!leader) {
            return;
        }
        for (const auto &member : this->replica.members()) {
            if (member.vm == *leader) {
                write(member.endpoint, out.initLeader());
            }
        }
    }

    template <typename Lease>
    auto writeControlVms(Lease lease) const -> void
    {
        const auto members = this->replica.members();
        auto list = lease.initControlVms(static_cast<unsigned>(members.size()));
        for (auto place = 0U; place < list.size(); ++place) {
            write(members[place].endpoint, list[place]);
        }
    }

    /// \return a promise fulfilled at the next change of the view, or when it is time to answer anyway
    auto awaitChange() -> kj::Promise<void>
    {
        auto signal = kj::newPromiseAndFulfiller<void>();
        this->waiting.push_back(kj::mv(signal.fulfiller));
        return signal.promise.exclusiveJoin(this->context.timer.afterDelay(watchLimit));
    }

    /// \return the view of \p revision, if it is still kept
    [[nodiscard]] auto viewAt(Revision revision) const -> ViewPointer
    {
        const auto found = std::find_if(this->views.begin(), this->views.end(), [revision](const ViewPointer &view) {
            return view->revision == revision;
        });
        return found == this->views.end() ? nullptr : *found;
    }

    auto newestView() -> ViewPointer
    {
        auto view = this->service.currentView();
        if (this->views.empty() || this->views.back()->revision < view->revision) {
            this->views.push_back(view);
        }
        if (this->views.size() > viewsKept) {
            this->views.pop_front();
        }
        return view;
    }

    /// \return what turns the view of \p known into \p newest for a proxy that serves everything; null if that view is not kept
    auto deltaFrom(Revision known, const ViewPointer &newest) -> std::shared_ptr<const membership::ViewDelta>
    {
        // A change is answered to all watches at once, and most of them hold the same revision. Compared anew for each of them, the whole
        // view would be gone through as often as there are proxies, and the last proxy would learn of a change long after the first.
        if (this->lastDelta != nullptr && this->lastDelta->base == known && this->lastDelta->revision == newest->revision) {
            return this->lastDelta;
        }
        const auto base = this->viewAt(known);
        if (base == nullptr) {
            return nullptr;
        }
        const auto delta = membership::computeDelta(membership::viewFor(*base, {}), membership::viewFor(*newest, {}));
        this->lastDelta = std::make_shared<const membership::ViewDelta>(delta);
        return this->lastDelta;
    }

    rpc::LoopContext &context;
    consensus::Replica &replica;
    ControlService &service;

private:
    auto viewChanged() -> void
    {
        this->newestView();
        for (auto &fulfiller : std::exchange(this->waiting, {})) {
            fulfiller->fulfill();
        }
    }

    auto taskFailed(kj::Exception &&) -> void override
    {
    }

    bool detached = false;
    std::deque<ViewPointer> views;
    std::shared_ptr<const membership::ViewDelta> lastDelta;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting;
    kj::TaskSet tasks;
};

/// Turns a callback that is called once into a promise.
template <typename Outcome>
auto awaitOutcome(const std::function<void(std::function<void(Outcome)>)> &call) -> kj::Promise<Outcome>
{
    auto signal = kj::newPromiseAndFulfiller<Outcome>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Outcome>>>(kj::mv(signal.fulfiller));
    call([fulfiller](Outcome outcome) {
        (*fulfiller)->fulfill(std::move(outcome));
    });
    return kj::mv(signal.promise);
}

class ControlVmServer final : public schema::ControlVm::Server
{
public:
    explicit ControlVmServer(std::shared_ptr<Shared> shared)
        : shared(std::move(shared))
        , peer(this->shared->replica.peerCapability().castAs<schema::ConsensusPeer>())
    {
    }

    auto deliver(DeliverContext call) -> kj::Promise<void> override
    {
        auto request = this->peer.deliverRequest();
        request.setMessage(call.getParams().getMessage());
        return call.tailCall(kj::mv(request));
    }

    auto join(JoinContext call) -> kj::Promise<void> override
    {
        auto request = this->peer.joinRequest();
        request.setMember(call.getParams().getMember());
        return call.tailCall(kj::mv(request));
    }

    auto heartbeat(HeartbeatContext call) -> kj::Promise<void> override
    {
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        auto heartbeat = read(call.getParams().getHeartbeat());
        auto outcome = awaitOutcome<HeartbeatOutcome>([this, &heartbeat](std::function<void(HeartbeatOutcome)> done) {
            this->shared->service.heartbeat(std::move(heartbeat), std::move(done));
        });
        return outcome.then([this, call](const HeartbeatOutcome &given) mutable {
            auto answer = call.getResults().initAnswer();
            // A leader that lost its lease meanwhile may have a successor, which does not know of the proxy's lease.
            if (!this->shared->leads()) {
                this->shared->writeRedirect(answer.initRedirect());
            } else if (const auto *const grant = std::get_if<LeaseGrant>(&given)) {
                auto lease = answer.initLease();
                lease.setLengthMs(static_cast<std::uint64_t>(grant->length.count()));
                lease.setFloor(grant->floor.value());
                this->shared->writeControlVms(lease);
            } else {
                write(std::get<NotRun>(given), answer.initRefused());
            }
        });
    }

    auto watch(WatchContext call) -> kj::Promise<void> override
    {
        const auto known = Revision(call.getParams().getKnown());
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        if (this->shared->newestView()->revision != known) {
            this->answerWatch(call, known);
            return kj::READY_NOW;
        }
        return this->shared->awaitChange().then([this, call, known]() mutable {
            this->answerWatch(call, known);
        });
    }

    auto changeConfiguration(ChangeConfigurationContext call) -> kj::Promise<void> override
    {
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        const auto params = call.getParams();
        auto change = membership::ConfigurationChange{ChangeId(params.getChange().cStr()), Revision(params.getBase()), params.getText().cStr()};
        auto outcome = awaitOutcome<membership::ConfigurationOutcome>([this, &change](std::function<void(membership::ConfigurationOutcome)> done) {
            this->shared->service.changeConfiguration(std::move(change), std::move(done));
        });
        return outcome.then([call](const membership::ConfigurationOutcome &given) mutable {
            auto answer = call.getResults().initAnswer();
            if (const auto *const accepted = std::get_if<membership::ConfigurationAccepted>(&given)) {
                answer.setAccepted(accepted->revision.value());
            } else if (const auto *const refused = std::get_if<NotRun>(&given)) {
                write(*refused, answer.initRefused());
            } else {
                write(std::get<OutcomeUnknown>(given), answer.initUnknown());
            }
        });
    }

    auto readConfiguration(ReadConfigurationContext call) -> kj::Promise<void> override
    {
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        auto outcome = awaitOutcome<membership::ConfigurationReadOutcome>([this](std::function<void(membership::ConfigurationReadOutcome)> done) {
            this->shared->service.readConfiguration(std::move(done));
        });
        return outcome.then([this, call](const membership::ConfigurationReadOutcome &given) mutable {
            auto answer = call.getResults().initAnswer();
            if (!this->shared->leads()) {
                this->shared->writeRedirect(answer.initRedirect());
            } else if (const auto *const text = std::get_if<membership::ConfigurationText>(&given)) {
                auto out = answer.initText();
                out.setRevision(text->revision.value());
                out.setContent(text->text);
            } else {
                write(std::get<NotRun>(given), answer.initRefused());
            }
        });
    }

    auto readStatus(ReadStatusContext call) -> kj::Promise<void> override
    {
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        auto outcome = awaitOutcome<membership::ClusterStatusOutcome>([this](std::function<void(membership::ClusterStatusOutcome)> done) {
            this->shared->service.readStatus(std::move(done));
        });
        return outcome.then([this, call](const membership::ClusterStatusOutcome &given) mutable {
            auto answer = call.getResults().initAnswer();
            if (!this->shared->leads()) {
                this->shared->writeRedirect(answer.initRedirect());
            } else if (const auto *const status = std::get_if<membership::ClusterStatus>(&given)) {
                write(*status, answer.initStatus());
            } else {
                write(std::get<NotRun>(given), answer.initRefused());
            }
        });
    }

private:
    auto answerWatch(WatchContext &call, Revision known) -> void
    {
        auto answer = call.getResults().initAnswer();
        if (!this->shared->leads()) {
            this->shared->writeRedirect(answer.initRedirect());
            return;
        }
        const auto newest = this->shared->newestView();
        if (newest->revision == known) {
            answer.setUnchanged();
            return;
        }
        auto services = std::vector<ServiceId>();
        for (const auto service : call.getParams().getServices()) {
            services.emplace_back(service.cStr());
        }
        if (const auto delta = services.empty() ? this->shared->deltaFrom(known, newest) : nullptr) {
            write(*delta, answer.initDelta());
            return;
        }
        const auto whole = membership::viewFor(*newest, services);
        if (const auto base = this->shared->viewAt(known)) {
            write(membership::computeDelta(membership::viewFor(*base, services), whole), answer.initDelta());
            return;
        }
        write(whole, answer.initSnapshot());
    }

    std::shared_ptr<Shared> shared;
    schema::ConsensusPeer::Client peer;
};

class ListeningServer : public ControlServer, private kj::TaskSet::ErrorHandler
{
public:
    ListeningServer(rpc::LoopContext &context, const Endpoint &endpoint, consensus::Replica &replica, ControlService &service)
        : shared(std::make_shared<Shared>(context, replica, service))
        , server(kj::heap<ControlVmServer>(this->shared))
        , tasks(*this)
    {
        auto address = context.network.parseAddress(endpoint.address.c_str(), endpoint.port);
        this->tasks.add(address.then([this](kj::Own<kj::NetworkAddress> parsed) {
            this->listener = parsed->listen();
            this->boundPort = static_cast<std::uint16_t>(this->listener->getPort());
            return this->server.listen(*this->listener);
        }));
    }

    ~ListeningServer() noexcept override
    {
        this->shared->detach();
    }

    ListeningServer(const ListeningServer &) = delete;
    auto operator=(const ListeningServer &) -> ListeningServer & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t override
    {
        return this->boundPort;
    }

private:
    auto taskFailed(kj::Exception &&exception) -> void override
    {
        support::log(support::Event::ListenFailed, {{"detail", exception.getDescription().cStr()}});
    }

    std::shared_ptr<Shared> shared;
    capnp::TwoPartyServer server;
    kj::Own<kj::ConnectionReceiver> listener;
    std::uint16_t boundPort = 0;
    kj::TaskSet tasks;
};

} // namespace

auto serveControl(rpc::LoopContext &context, Endpoint endpoint, consensus::Replica &replica, ControlService &service) -> std::unique_ptr<ControlServer>
{
    return std::make_unique<ListeningServer>(context, endpoint, replica, service);
}

} // namespace sapphirespool::control
