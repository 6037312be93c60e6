#include "controlpart.h"

#include "sapphirespool/Consensus/replica.h"
#include "sapphirespool/Control/announcer.h"
#include "sapphirespool/Control/controlserver.h"
#include "sapphirespool/Controller/controller.h"
#include "sapphirespool/Node/node.h"
#include "sapphirespool/State/clusterstate.h"
#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <boost/leaf/handle_errors.hpp>
#include <kj/async.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <future>
#include <optional>
#include <string>
#include <utility>

namespace sapphirespool::node
{

namespace
{

constexpr auto tickLength = controller::tickInterval / std::chrono::milliseconds(1) * kj::MILLISECONDS;

auto replicaSettings(const settings::Settings &settings, std::uint64_t seed) -> consensus::ReplicaSettings
{
    auto replica = consensus::ReplicaSettings();
    replica.vm = settings.vm;
    replica.endpoint = settings.controlEndpoint().value_or(Endpoint());
    for (const auto &member : settings.controlMembers) {
        replica.initialMembers.push_back({member.vm, member.endpoint, true, {}});
    }
    replica.mayFound = settings.firstStart;
    replica.openToOthers = settings.controlFoundBySeeds;
    replica.voters = std::min<std::size_t>(2 * settings.controlLosses + 1, consensus::maximumVoterCount);
    replica.zone = settings.zone;
    replica.dataFolder = settings.dataFolder;
    replica.seed = seed;
    return replica;
}

auto directoriesOf(const state::ClusterState &state) -> std::vector<Endpoint>
{
    auto directories = std::vector<Endpoint>();
    for (const auto &vm : state.vms()) {
        if (vm.isDirectory()) {
            directories.push_back(vm.peers);
        }
    }
    return directories;
}

} // namespace

/// Members are destroyed in the reverse order: the server first, the state last.
class ControlPart::OnLoop
{
public:
    OnLoop(rpc::LoopContext &context, rpc::LoopThread &loop, const settings::Settings &settings, ControlEdge edge, std::uint64_t seed)
        : timer(context.timer)
        , replica(openOrThrow(context, replicaSettings(settings, seed), this->state))
        , controller(controller::makeController(this->controllerParts(loop, settings, std::move(edge))))
        , server(control::serveControl(context, *settings.controlEndpoint(), *this->replica, *this->controller, settings.zone))
    {
        this->replica->start();
        if (settings.controlFoundBySeeds) {
            this->announcer = control::makeAnnouncer(context, this->announcerSettings(settings, seed), *this->replica);
        }
        this->ticking = this->tickForever().eagerlyEvaluate(nullptr);
    }

    auto setSeeds(std::vector<Endpoint> seeds) -> void
    {
        if (this->announcer != nullptr) {
            this->announcer->setSeeds(std::move(seeds));
        }
    }

    auto depart(std::function<void()> mayEnd) -> void
    {
        this->replica->depart(std::move(mayEnd));
    }

private:
    static auto openOrThrow(rpc::LoopContext &context, consensus::ReplicaSettings settings, state::ClusterState &state) -> std::unique_ptr<consensus::Replica>
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::unique_ptr<consensus::Replica>> {
                return consensus::openReplica(context, std::move(settings), state);
            },
            [](const storage::StorageError &error) -> std::unique_ptr<consensus::Replica> {
                throw StartFailure(error.detail);
            },
            []() -> std::unique_ptr<consensus::Replica> {
                throw StartFailure("the data folder cannot be used; see the log");
            });
    }

    auto controllerParts(rpc::LoopThread &loop, const settings::Settings &settings, ControlEdge edge) -> controller::ControllerParts
    {
        return {settings.vm,
                *this->replica,
                this->state,
                std::move(edge.groupOperator),
                support::now,
                [&loop](std::function<void()> work) {
                    loop.post([work = std::move(work)](rpc::LoopContext &) {
                        work();
                    });
                },
                std::move(edge.reader),
                settings.announcementInterval,
                settings.zone};
    }

    auto announcerSettings(const settings::Settings &settings, std::uint64_t seed) -> control::AnnouncerSettings
    {
        auto announcements = control::AnnouncerSettings();
        announcements.zone = settings.zone;
        announcements.seed = seed;
        for (const auto &member : settings.controlMembers) {
            announcements.seeds.push_back(member.endpoint);
        }
        announcements.directories = [this] {
            return directoriesOf(this->state);
        };
        return announcements;
    }

    auto tickForever() -> kj::Promise<void>
    {
        return this->timer.afterDelay(tickLength).then([this] {
            this->controller->tick();
            return this->tickForever();
        });
    }

    kj::Timer &timer;
    state::ClusterState state;
    std::unique_ptr<consensus::Replica> replica;
    std::shared_ptr<controller::Controller> controller;
    std::unique_ptr<control::ControlServer> server;
    std::unique_ptr<control::Announcer> announcer;
    kj::Promise<void> ticking = nullptr;
};

ControlPart::ControlPart(rpc::LoopThread &loop, const settings::Settings &settings, ControlEdge edge, std::uint64_t seed)
    : loop(loop)
{
    auto made = std::make_shared<std::promise<std::shared_ptr<OnLoop>>>();
    auto ready = made->get_future();
    loop.post([made, &loop, &settings, edge = std::move(edge), seed](rpc::LoopContext &context) {
        try {
            made->set_value(std::make_shared<OnLoop>(context, loop, settings, edge, seed));
        } catch (const std::exception &) {
            made->set_exception(std::current_exception());
        }
    });
    this->onLoop = ready.get();
}

auto ControlPart::setSeeds(std::vector<Endpoint> seeds) -> void
{
    this->loop.post([weak = std::weak_ptr(this->onLoop), seeds = std::move(seeds)](rpc::LoopContext &) {
        if (const auto held = weak.lock()) {
            held->setSeeds(seeds);
        }
    });
}

auto ControlPart::beginDrain() -> void
{
    const auto promise = std::make_shared<std::promise<void>>();
    this->departed = promise->get_future();
    this->loop.post([weak = std::weak_ptr(this->onLoop), promise](rpc::LoopContext &) {
        if (const auto held = weak.lock()) {
            held->depart([promise] {
                promise->set_value();
            });
        }
    });
}

auto ControlPart::awaitDrain(std::chrono::steady_clock::time_point limit) -> void
{
    if (this->departed.wait_until(limit) != std::future_status::ready) {
        support::log(support::Event::ControlVmEndsUnreleased, {});
    }
}

ControlPart::~ControlPart()
{
    auto ended = std::promise<void>();
    this->loop.post([&ended, onLoop = std::move(this->onLoop)](rpc::LoopContext &) mutable {
        onLoop.reset();
        ended.set_value();
    });
    ended.get_future().wait();
}

} // namespace sapphirespool::node
