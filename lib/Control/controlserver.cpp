#include "sapphirespool/Control/controlserver.h"

#include "codec.h"
#include "controlload.h"
#include "ownentry.h"
#include "viewbatch.h"
#include "viewhistory.h"
#include "viewpace.h"
#include "viewpacer.h"
#include "viewtransfer.h"

#include "sapphirespool/Rpc/bytes.h"
#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <utility>

namespace sapphirespool::control
{

namespace
{

/// Longest time until a watch is answered, so that a proxy learns soon that the VM is no longer leader.
constexpr auto watchLimit = 500 * kj::MILLISECONDS;

/// Smallest part of a view that is sent, whatever a VM asks for.
constexpr auto smallestPart = std::size_t{4} * 1024;

/// How often the delay of the control thread is measured.
constexpr auto loadInterval = std::chrono::milliseconds(100);

auto logLoad(const LoadSample &sample) -> void
{
    support::log(support::Event::ControlLoad,
                 {{"heartbeats", sample.heartbeats},
                  {"announcements", sample.announcements},
                  {"views_built", sample.viewsBuilt},
                  {"views_sent", sample.viewsSent},
                  {"whole", sample.wholeViewsSent},
                  {"view_bytes", sample.viewBytes},
                  {"delay_ms", sample.longestDelay}});
}

/// State that the RPC objects of a server share.
class Shared : public std::enable_shared_from_this<Shared>, private kj::TaskSet::ErrorHandler
{
public:
    Shared(rpc::LoopContext &context, consensus::Replica &replica, ControlService &service, ZoneId zone)
        : context(context)
        , replica(replica)
        , service(service)
        , zone(std::move(zone))
        , tasks(*this)
    {
        this->service.onViewChange([this] {
            this->viewChanged();
        });
        this->measureLoad(support::now());
    }

    virtual ~Shared() noexcept = default;

    /// Called when the server is destroyed. Calls in progress keep this object alive until their connections are closed, some turns of
    /// the loop later, when the replica and the service no longer exist.
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
        if (this->detached) {
            return;
        }
        const auto leader = this->replica.leader();
        const auto self = this->replica.selfMember().vm;
        auto others = std::vector<Endpoint>();
        for (const auto &member : this->replica.members()) {
            if (member.vm == leader) {
                write(member.endpoint, out.initLeader());
            }
            if (member.vm != self) {
                others.push_back(member.endpoint);
            }
        }
        writeEndpoints(others, out.initControlVms(static_cast<unsigned>(others.size())));
    }

    /// \return what this VM announces of itself; nothing while it stops
    [[nodiscard]] auto known() const -> std::vector<KnownControlVm>
    {
        if (this->detached) {
            return {};
        }
        return {KnownControlVm{ownEntry(this->replica, this->zone, support::now()), Duration::zero()}};
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

    /// \return a promise fulfilled when a view is sent or the watch has timed out
    auto awaitChange() -> kj::Promise<void>
    {
        auto signal = kj::newPromiseAndFulfiller<void>();
        this->waiting.push_back(kj::mv(signal.fulfiller));
        return signal.promise.exclusiveJoin(this->context.timer.afterDelay(watchLimit));
    }

    /// \return the revision of the view that is sent now
    [[nodiscard]] auto sentRevision() const -> Revision
    {
        return this->newest;
    }

    /// \return whether a VM that holds \p known is to be sent a view now
    auto isDue(Revision known) -> bool
    {
        // What a VM got from another leader may be newer than the view that was built here last.
        if (known > this->newest || support::now() >= this->pace.nextAt()) {
            this->buildView();
        }
        return this->batch.isDue(known, support::now());
    }

    /// \return what brings a VM from \p known to the view that is sent now
    auto updateFrom(Revision known, std::span<const ServiceId> services) -> ViewUpdate
    {
        return this->history.updateFrom(known, services);
    }

    /// \return a promise fulfilled when a view of \p bytes, or its first part, may go out to \p vm
    auto awaitTurn(const VmId &vm, std::size_t bytes) -> kj::Promise<void>
    {
        if (bytes <= ViewPacer::smallView) {
            return kj::READY_NOW;
        }
        return this->awaitTicket(this->pacer.enter(vm, bytes));
    }

    /// \return a promise fulfilled when a further part of \p bytes may go out to \p vm
    auto awaitTurnOfPart(const VmId &vm, std::size_t bytes) -> kj::Promise<void>
    {
        return this->awaitTicket(this->pacer.enterPart(vm, bytes));
    }

    /// Notes that \p vm has taken in the views that it was sent.
    auto viewTaken(const VmId &vm) -> void
    {
        this->pacer.taken(vm);
        this->giveTurns();
    }

    rpc::LoopContext &context;
    consensus::Replica &replica;
    ControlService &service;
    ZoneId zone;
    ControlLoad load;
    ViewTransfers transfers;

private:
    auto awaitTicket(ViewPacer::Ticket ticket) -> kj::Promise<void>
    {
        auto signal = kj::newPromiseAndFulfiller<void>();
        this->turns.emplace(ticket, kj::mv(signal.fulfiller));
        this->giveTurns();
        return signal.promise.attach(kj::defer([self = this->shared_from_this(), ticket] {
            self->pacer.leave(ticket);
            self->turns.erase(ticket);
        }));
    }

    auto giveTurns() -> void
    {
        for (const auto ticket : this->pacer.due(support::now())) {
            this->turns.extract(ticket).mapped()->fulfill();
        }
        const auto next = this->pacer.nextAt();
        if (this->pacer.isWaiting() && next && !std::exchange(this->turnTimerRuns, true)) {
            const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - support::now());
            this->tasks.add(this->context.timer.afterDelay(std::max<std::int64_t>(1, wait.count()) * kj::MILLISECONDS).then([this] {
                this->turnTimerRuns = false;
                this->giveTurns();
            }));
        }
    }

    auto viewChanged() -> void
    {
        this->isStale = true;
        this->scheduleView();
    }

    /// Has a view built as soon as its pace allows, also on a VM that does not lead: once it does, it needs the views that VMs hold.
    auto scheduleView() -> void
    {
        if (std::exchange(this->viewScheduled, true)) {
            return;
        }
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(this->pace.nextAt() - support::now());
        // After the present event: the log may apply many changes in one.
        auto turn = wait.count() > 0 ? this->context.timer.afterDelay(wait.count() * kj::MILLISECONDS) : kj::evalLast([] {});
        this->tasks.add(turn.then([this] {
            this->viewScheduled = false;
            this->buildView();
            this->sendView();
        }));
    }

    auto buildView() -> void
    {
        if (this->detached || !std::exchange(this->isStale, false)) {
            return;
        }
        const auto view = this->service.currentView();
        const auto now = support::now();
        this->load.addBuiltView();
        this->pace.built(view->proxies.size(), now);
        this->history.note(view);
        this->batch.note(view, now);
        this->newest = view->revision;
    }

    /// Wakes the VMs that wait for a view, unless its changes are gathered.
    auto sendView() -> void
    {
        const auto at = this->batch.sendsAt();
        if (!at) {
            this->wakeWatches();
        } else if (!std::exchange(this->batchTimerRuns, true)) {
            const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*at - support::now());
            this->tasks.add(this->context.timer.afterDelay(wait.count() * kj::MILLISECONDS).then([this] {
                this->batchTimerRuns = false;
                this->wakeWatches();
            }));
        }
    }

    auto wakeWatches() -> void
    {
        for (auto &fulfiller : std::exchange(this->waiting, {})) {
            fulfiller->fulfill();
        }
    }

    auto measureLoad(TimePoint began) -> void
    {
        this->tasks.add(this->context.timer.afterDelay(loadInterval.count() * kj::MILLISECONDS).then([this, began] {
            const auto now = support::now();
            this->load.addDelay(now - began - loadInterval);
            const auto sample = this->load.report(now);
            if (sample && this->leads()) {
                logLoad(*sample);
            }
            this->measureLoad(now);
        }));
    }

    auto taskFailed(kj::Exception &&) -> void override
    {
    }

    bool detached = false;
    /// Of the view that was built last.
    Revision newest;
    /// Whether the state has changed since then.
    bool isStale = true;
    bool viewScheduled = false;
    ViewPace pace;
    ViewHistory history;
    ViewBatch batch;
    bool batchTimerRuns = false;
    ViewPacer pacer;
    std::map<ViewPacer::Ticket, kj::Own<kj::PromiseFulfiller<void>>> turns;
    bool turnTimerRuns = false;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting;
    kj::TaskSet tasks;
};

/// Converts a callback that is called once into a promise.
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

    auto leave(LeaveContext call) -> kj::Promise<void> override
    {
        auto request = this->peer.leaveRequest();
        request.setReplica(call.getParams().getReplica());
        return call.tailCall(kj::mv(request));
    }

    /// A control VM keeps no directory: it only says what it is itself.
    auto exchange(ExchangeContext call) -> kj::Promise<void> override
    {
        const auto known = this->shared->known();
        writeKnown(known, call.getResults().initKnown(static_cast<unsigned>(known.size())));
        return kj::READY_NOW;
    }

    auto heartbeat(HeartbeatContext call) -> kj::Promise<void> override
    {
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        auto heartbeat = read(call.getParams().getHeartbeat());
        this->shared->load.addHeartbeat(heartbeat.announcements.size());
        auto outcome = awaitOutcome<HeartbeatOutcome>([this, &heartbeat](std::function<void(HeartbeatOutcome)> done) {
            this->shared->service.heartbeat(std::move(heartbeat), std::move(done));
        });
        return outcome.then([this, call](const HeartbeatOutcome &given) mutable {
            auto answer = call.getResults().initAnswer();
            // If leadership was lost meanwhile, the next leader does not know of the lease that would be granted here.
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
        // Otherwise calls of connections that have ended would still be answered, and take turns from VMs that wait.
        call.allowCancellation();
        const auto params = call.getParams();
        const auto known = Revision(params.getKnown());
        const auto vm = VmId(params.getVm().cStr());
        this->shared->viewTaken(vm);
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        if (this->shared->transfers.holds(vm, params.getTransfer())) {
            return this->answerPartInTurn(call);
        }
        if (this->shared->isDue(known)) {
            return this->answerInTurn(call, known);
        }
        return this->shared->awaitChange().then([this, call, known]() mutable {
            return this->answerInTurn(call, known);
        });
    }

    auto changeConfiguration(ChangeConfigurationContext call) -> kj::Promise<void> override
    {
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return kj::READY_NOW;
        }
        const auto params = call.getParams();
        auto change = membership::ConfigurationChange{ChangeId(params.getChange().cStr()), Revision(params.getBase()), unpackText(params.getText())};
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
                out.setContent(toData(packText(text->text)));
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
    static auto servicesOf(WatchContext &call) -> std::vector<ServiceId>
    {
        auto services = std::vector<ServiceId>();
        for (const auto service : call.getParams().getServices()) {
            services.emplace_back(service.cStr());
        }
        return services;
    }

    auto answerInTurn(WatchContext call, Revision known) -> kj::Promise<void>
    {
        if (!this->shared->leads() || this->shared->sentRevision() == known) {
            this->answerWatch(call, known);
            return kj::READY_NOW;
        }
        const auto update = this->shared->updateFrom(known, servicesOf(call));
        const auto limit = partLimitOf(call);
        const auto size = limit == 0 ? update.content->size() : std::min(update.content->size(), limit);
        // The view that is sent is the one that is current when the turn comes.
        return this->shared->awaitTurn(VmId(call.getParams().getVm().cStr()), size).then([this, call, known]() mutable {
            this->answerWatch(call, known);
        });
    }

    /// \return the largest part of a view that the VM takes; 0 if it takes views whole
    static auto partLimitOf(WatchContext &call) -> std::size_t
    {
        const auto limit = std::size_t{call.getParams().getPartLimit()};
        return limit == 0 ? 0 : std::max(limit, smallestPart);
    }

    auto answerPartInTurn(WatchContext call) -> kj::Promise<void>
    {
        return this->shared->awaitTurnOfPart(VmId(call.getParams().getVm().cStr()), partLimitOf(call)).then([this, call]() mutable {
            const auto params = call.getParams();
            if (!this->shared->leads()) {
                this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            } else if (!this->answerPart(call, params.getTransfer(), params.getOffset())) {
                // Another call of the VM has ended the transfer.
                call.getResults().initAnswer().setUnchanged();
            }
        });
    }

    /// \return false if there is no such part
    auto answerPart(WatchContext &call, std::uint64_t transfer, std::size_t offset) -> bool
    {
        const auto vm = VmId(call.getParams().getVm().cStr());
        const auto part = this->shared->transfers.partAt(vm, transfer, offset, partLimitOf(call));
        if (!part) {
            return false;
        }
        auto out = call.getResults().initAnswer().initPart();
        out.setTransfer(part->transfer);
        out.setTotal(part->total);
        out.setIsDelta(part->isDelta);
        out.setData(rpc::toData(part->data));
        return true;
    }

    auto answerWatch(WatchContext &call, Revision known) -> void
    {
        if (!this->shared->leads()) {
            this->shared->writeRedirect(call.getResults().initAnswer().initRedirect());
            return;
        }
        if (this->shared->sentRevision() == known) {
            call.getResults().initAnswer().setUnchanged();
            return;
        }
        const auto update = this->shared->updateFrom(known, servicesOf(call));
        this->shared->load.addSentView(update.content->size(), update.isDelta);
        if (const auto limit = partLimitOf(call); limit != 0 && update.content->size() > limit) {
            this->answerPart(call, this->shared->transfers.begin(VmId(call.getParams().getVm().cStr()), update), 0);
            return;
        }
        auto answer = call.getResults().initAnswer();
        if (update.isDelta) {
            answer.setDelta(toData(*update.content));
        } else {
            answer.setSnapshot(toData(*update.content));
        }
    }

    std::shared_ptr<Shared> shared;
    schema::ConsensusPeer::Client peer;
};

class ListeningServer : public ControlServer, private kj::TaskSet::ErrorHandler
{
public:
    ListeningServer(rpc::LoopContext &context, const Endpoint &endpoint, consensus::Replica &replica, ControlService &service, ZoneId zone)
        : shared(std::make_shared<Shared>(context, replica, service, std::move(zone)))
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

auto serveControl(rpc::LoopContext &context, Endpoint endpoint, consensus::Replica &replica, ControlService &service, ZoneId zone)
    -> std::unique_ptr<ControlServer>
{
    return std::make_unique<ListeningServer>(context, endpoint, replica, service, std::move(zone));
}

} // namespace sapphirespool::control
