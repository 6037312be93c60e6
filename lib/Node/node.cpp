#include "sapphirespool/Node/node.h"

#include "controlapi.h"
#include "controlpart.h"
#include "directorypart.h"
#include "interactivepart.h"
#include "proxypart.h"
#include "trafficthreads.h"

#include "sapphirespool/Node/edge.h"
#include "sapphirespool/Platform/httpgroupoperator.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/log.h"

#include <chrono>
#include <exception>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace sapphirespool::node
{

namespace
{

/// \return a number that no earlier start of this VM drew
auto drawNumber() -> std::uint64_t
{
    auto device = std::random_device();
    return (std::uint64_t{device()} << 32U) | device();
}

/// \return how long a control VM that is asked to stop waits for the consent of its group
auto departureLimit(const settings::Shutdown &shutdown) -> std::chrono::milliseconds
{
    constexpr auto limitWithoutGrace = std::chrono::seconds(5);
    return shutdown.grace.count() > 0 ? shutdown.grace * 5 / 6 : limitWithoutGrace;
}

/// Members are destroyed in the reverse order: first what uses the threads, then the threads.
class OneNode : public Node
{
public:
    OneNode(settings::Settings settings, std::shared_ptr<Edge> edge)
        : settings(std::move(settings))
        , edge(std::move(edge))
        , traffic(this->settings.trafficThreads)
    {
    }

    ~OneNode() override
    {
        this->close();
    }

    auto start() -> void override
    {
        try {
            this->startParts();
        } catch (const StartFailure &) {
            throw;
        } catch (const std::exception &error) {
            // The ports for callers are opened by Asio and those for peers by KJ, each with exceptions of its own.
            support::log(support::Event::ListenFailed, {{"vm", this->settings.vm.value()}, {"detail", error.what()}});
            throw StartFailure(std::string(error.what()) + "; give the VM an address of its own that is free");
        }
        support::log(support::Event::ProcessStarted, {{"vm", this->settings.vm.value()}, {"zone", this->settings.zone.value()}});
    }

    auto reload(const settings::Settings &changed) -> void override
    {
        auto controlVms = std::vector<Endpoint>();
        for (const auto &member : changed.controlMembers) {
            controlVms.push_back(member.endpoint);
        }
        if (this->controlPart) {
            this->controlPart->setSeeds(controlVms);
        }
        if (this->directoryPart) {
            this->directoryPart->setSeeds(controlVms);
        }
        if (this->interactivePart) {
            this->interactivePart->setControlVms(controlVms);
        }
        if (this->controlApi) {
            this->controlApi->setControlVms(controlVms);
        }
        support::log(support::Event::SettingsReloaded, {{"vm", this->settings.vm.value()}, {"control_vms", std::uint64_t{controlVms.size()}}});
    }

    auto drain() -> void override
    {
        support::log(support::Event::ProcessDraining, {{"vm", this->settings.vm.value()}});
        const auto began = std::chrono::steady_clock::now();
        if (this->controlPart) {
            this->controlPart->beginDrain();
        }
        if (this->proxyPart) {
            this->proxyPart->drain();
        }
        if (this->interactivePart) {
            this->interactivePart->drain();
        }
        if (this->controlPart) {
            this->controlPart->awaitDrain(began + departureLimit(this->settings.shutdown));
        }
        this->close();
        support::log(support::Event::ProcessStopped, {{"vm", this->settings.vm.value()}});
    }

private:
    auto startParts() -> void
    {
        if (this->settings.control) {
            this->controlPart = std::make_unique<ControlPart>(this->controlLoop, this->settings, this->controlEdge(), drawNumber());
        }
        if (this->settings.directoryEndpoint()) {
            this->directoryPart = std::make_unique<DirectoryPart>(this->controlLoop, this->settings, drawNumber());
        }
        if (this->edge && this->settings.operators.port != 0) {
            auto onLease = this->directoryPart ? this->directoryPart->leaseListener() : std::function<void(std::vector<Endpoint>)>();
            this->controlApi
                = std::make_unique<ControlApi>(this->controlLoop, this->traffic, this->settings, Incarnation(drawNumber()), *this->edge, std::move(onLease));
        }
        if (this->settings.proxy && this->edge) {
            this->interactivePart = std::make_unique<InteractivePart>(this->controlLoop, this->traffic, this->settings, Incarnation(drawNumber()), *this->edge);
            this->interactivePart->start();
        } else if (this->settings.proxy) {
            this->proxyPart = std::make_unique<ProxyPart>(this->controlLoop, this->traffic, this->settings, Incarnation(drawNumber()));
            this->proxyPart->start();
        }
    }

    auto controlEdge() -> ControlEdge
    {
        if (this->edge) {
            return {this->edge->groupOperator(this->orders.dispatch(), this->settings), this->edge->configurationReader()};
        }
        return {platform::makeHttpGroupOperator(this->orders.dispatch()), configuration::makeYamlReader()};
    }

    /// The threads end before the parts that they work on.
    auto close() -> void
    {
        if (this->proxyPart) {
            this->proxyPart->close();
        }
        if (this->interactivePart) {
            this->interactivePart->close();
        }
        if (this->controlApi) {
            this->controlApi->close();
        }
        this->traffic.stop();
        this->orders.stop();
        this->proxyPart.reset();
        this->interactivePart.reset();
        this->controlApi.reset();
        this->directoryPart.reset();
        this->controlPart.reset();
    }

    settings::Settings settings;
    std::shared_ptr<Edge> edge;
    rpc::LoopThread controlLoop;
    /// Carries the orders to members of database groups, which a busy dispatch thread would hold up.
    TrafficThreads orders{1};
    TrafficThreads traffic;
    std::unique_ptr<ControlPart> controlPart;
    std::unique_ptr<DirectoryPart> directoryPart;
    std::unique_ptr<ProxyPart> proxyPart;
    std::unique_ptr<InteractivePart> interactivePart;
    std::unique_ptr<ControlApi> controlApi;
};

} // namespace

auto makeNode(settings::Settings settings, std::shared_ptr<Edge> edge) -> std::unique_ptr<Node>
{
    return std::make_unique<OneNode>(std::move(settings), std::move(edge));
}

} // namespace sapphirespool::node
