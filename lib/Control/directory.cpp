#include "sapphirespool/Control/directory.h"

#include "codec.h"
#include "directorytable.h"
#include "exchangeloop.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

namespace sapphirespool::control
{

namespace
{

/// How often outdated entries are dropped and changes logged.
constexpr auto sweepInterval = 500 * kj::MILLISECONDS;

auto writeMember(const consensus::ControlMember &member, schema::ControlMember::Builder out) -> void
{
    out.setVm(member.vm.value());
    write(member.endpoint, out.initEndpoint());
    out.setReplica(member.replica.value());
    out.setZone(member.zone.value());
}

auto writeMembers(std::span<const consensus::ControlMember> members, capnp::List<schema::ControlMember>::Builder out) -> void
{
    for (auto place = 0U; place < out.size(); ++place) {
        writeMember(members[place], out[place]);
    }
}

/// Connections in progress keep the table alive for some turns of the loop after the directory was destroyed.
class DirectoryServer final : public schema::ControlVm::Server
{
public:
    explicit DirectoryServer(std::shared_ptr<DirectoryTable> table)
        : table(std::move(table))
    {
    }

    auto heartbeat(HeartbeatContext call) -> kj::Promise<void> override
    {
        return this->redirect(call);
    }

    auto watch(WatchContext call) -> kj::Promise<void> override
    {
        return this->redirect(call);
    }

    auto changeConfiguration(ChangeConfigurationContext call) -> kj::Promise<void> override
    {
        return this->redirect(call);
    }

    auto readConfiguration(ReadConfigurationContext call) -> kj::Promise<void> override
    {
        return this->redirect(call);
    }

    auto readStatus(ReadStatusContext call) -> kj::Promise<void> override
    {
        return this->redirect(call);
    }

    /// A directory has no replica. A message for one that ran here earlier is dropped.
    auto deliver(DeliverContext) -> kj::Promise<void> override
    {
        return kj::READY_NOW;
    }

    auto join(JoinContext call) -> kj::Promise<void> override
    {
        const auto now = support::now();
        const auto answer = this->table->joinAnswer(now);
        auto out = call.getResults();
        out.setDirectory(true);
        out.setEmpty(answer.empty);
        writeMembers(answer.members, out.initMembers(static_cast<unsigned>(answer.members.size())));
        return kj::READY_NOW;
    }

    auto exchange(ExchangeContext call) -> kj::Promise<void> override
    {
        const auto now = support::now();
        const auto params = call.getParams();
        this->table->noteCaller(read(params.getDirectory()), now);
        this->table->learn(readKnown(params.getKnown()), now);
        const auto known = this->table->known(now);
        writeKnown(known, call.getResults().initKnown(static_cast<unsigned>(known.size())));
        return kj::READY_NOW;
    }

private:
    template <typename Context>
    auto redirect(Context &call) -> kj::Promise<void>
    {
        const auto now = support::now();
        auto out = call.getResults().initAnswer().initRedirect();
        if (const auto leader = this->table->leader(now)) {
            write(*leader, out.initLeader());
        }
        const auto controlVms = this->table->controlVms(now);
        writeEndpoints(controlVms, out.initControlVms(static_cast<unsigned>(controlVms.size())));
        return kj::READY_NOW;
    }

    std::shared_ptr<DirectoryTable> table;
};

class ListeningDirectory : public Directory, private kj::TaskSet::ErrorHandler
{
public:
    ListeningDirectory(rpc::LoopContext &context, DirectorySettings settings)
        : context(context)
        , settings(std::move(settings))
        , table(std::make_shared<DirectoryTable>(support::now()))
        , server(kj::heap<DirectoryServer>(this->table))
        , tasks(*this)
    {
        auto address = context.network.parseAddress(this->settings.endpoint.address.c_str(), this->settings.endpoint.port);
        this->tasks.add(address.then([this](kj::Own<kj::NetworkAddress> parsed) {
            this->listener = parsed->listen();
            this->settings.endpoint.port = static_cast<std::uint16_t>(this->listener->getPort());
            this->listens = true;
            this->startCalls();
            return this->server.listen(*this->listener);
        }));
        this->sweepForever();
    }

    ~ListeningDirectory() noexcept override = default;
    ListeningDirectory(const ListeningDirectory &) = delete;
    auto operator=(const ListeningDirectory &) -> ListeningDirectory & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t override
    {
        return this->listens ? this->settings.endpoint.port : std::uint16_t(0);
    }

    auto noteLease(std::vector<Endpoint> controlVms) -> void override
    {
        this->table->noteLease(std::move(controlVms), support::now());
    }

    auto setSeeds(std::vector<Endpoint> seeds) -> void override
    {
        this->settings.seeds = std::move(seeds);
    }

private:
    auto startCalls() -> void
    {
        auto parts = ExchangeParts();
        parts.directory = this->settings.endpoint;
        parts.seed = this->settings.seed;
        parts.callees = [this] {
            return this->callees();
        };
        parts.known = [this] {
            return this->table->known(support::now());
        };
        parts.onAnswer = [this](const std::vector<KnownControlVm> &known) {
            this->table->learn(known, support::now());
        };
        this->calls = std::make_unique<ExchangeLoop>(this->context, std::move(parts));
    }

    auto callees() const -> std::vector<Endpoint>
    {
        const auto now = support::now();
        auto endpoints = this->settings.seeds;
        for (const auto &others : {this->table->controlVms(now), this->table->callers(now)}) {
            endpoints.insert(endpoints.end(), others.begin(), others.end());
        }
        return distinctOthers(std::move(endpoints), this->settings.endpoint);
    }

    auto sweepForever() -> void
    {
        this->tasks.add(this->context.timer.afterDelay(sweepInterval).then([this] {
            for (const auto &change : this->table->takeChanges(support::now())) {
                support::log(support::Event::ControlVmListed,
                             {{"control_vm", change.vm.value()},
                              {"address", change.endpoint.address},
                              {"port", std::uint64_t{change.endpoint.port}},
                              {"state", change.isListed ? "learned" : "forgotten"}});
            }
            this->sweepForever();
        }));
    }

    auto taskFailed(kj::Exception &&exception) -> void override
    {
        support::log(support::Event::ListenFailed, {{"detail", exception.getDescription().cStr()}});
    }

    rpc::LoopContext &context;
    DirectorySettings settings;
    std::shared_ptr<DirectoryTable> table;
    capnp::TwoPartyServer server;
    kj::Own<kj::ConnectionReceiver> listener;
    bool listens = false;
    std::unique_ptr<ExchangeLoop> calls;
    kj::TaskSet tasks;
};

} // namespace

auto serveDirectory(rpc::LoopContext &context, DirectorySettings settings) -> std::unique_ptr<Directory>
{
    return std::make_unique<ListeningDirectory>(context, std::move(settings));
}

} // namespace sapphirespool::control
