// model.h: callers, proxies and upstreams of one run.
#pragma once

#include "recorder.h"
#include "upstreammodel.h"

#include "sapphirespool/Decisions/factory.h"
#include "sapphirespool/Decisions/forwardrouter.h"
#include "sapphirespool/Decisions/sharetable.h"
#include "sapphirespool/LoadModel/eventqueue.h"
#include "sapphirespool/LoadModel/scenario.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace sapphirespool::loadmodel
{

using decisions::WorkId;

/// \return name of a member of a group
[[nodiscard]] auto upstreamName(std::size_t group, std::size_t member) -> UpstreamId;

/// One run. Not reusable.
class Model
{
public:
    Model(const Scenario &scenario, const Policy &policy);

    auto run() -> Report;

private:
    struct Request
    {
        std::size_t caller = 0;
        std::size_t group = 0;
        /// Proxy that the balancer chose, and the one that queues.
        std::size_t entry = 0;
        std::size_t owner = 0;
        TimePoint sentAt;
        TimePoint deadline;
        Access access = Access::Read;
        milliseconds maxAge{0};
        std::optional<decisions::NeededPosition> needed;
        Duration service{};
        int returns = 0;
        std::uint32_t attempt = 0;
        bool accepted = false;
        UpstreamId upstream;
        /// Upstream to which its entry proxy forwarded it.
        std::optional<UpstreamId> target;
        TimePoint submittedAt;
    };
    struct Caller
    {
        CallerLoad load;
        std::mt19937_64 random;
        std::map<std::size_t, decisions::NeededPosition> seen;
    };
    struct Proxy
    {
        std::unique_ptr<decisions::Dispatcher> dispatcher;
        std::unique_ptr<decisions::ShareTable> shares;
        std::optional<TimePoint> tickAt;
        std::optional<TimePoint> shareTickAt;
        std::map<UpstreamId, std::pair<std::uint32_t, std::uint32_t>> told;
        decisions::ForwardRouter router;
    };
    struct Group
    {
        std::deque<std::pair<TimePoint, std::uint64_t>> positions;
        std::uint64_t position = 0;
        Term term{1};
    };

    // Callers: modelcallers.cpp
    auto scheduleArrival(std::size_t caller) -> void;
    auto arrive(std::size_t caller) -> void;
    auto send(Request request) -> void;
    auto answer(WorkId id, bool served) -> void;
    auto refuse(WorkId id, const decisions::Refuse &refusal) -> void;
    auto leaveOwner(const Request &request, Duration latency) -> void;
    auto comeBack(Request request, Duration wait) -> void;
    auto retryRead(Request request) -> void;

    // Proxies: model.cpp; faults: modelfaults.cpp
    auto submit(Request request) -> void;
    auto apply(std::size_t proxy, const decisions::Dispatcher::Actions &actions) -> void;
    auto start(std::size_t proxy, const decisions::Start &start) -> void;
    auto ended(std::size_t proxy, WorkId id, bool served) -> void;
    auto afterEvent(std::size_t proxy) -> void;
    auto tick(std::size_t proxy) -> void;
    auto applyShares(std::size_t proxy, decisions::ShareActions actions) -> void;
    auto shareTick(std::size_t proxy) -> void;
    auto scheduleShareTick(std::size_t proxy) -> void;
    auto publishView() -> void;
    auto reportPositions() -> void;
    auto scheduleFaults() -> void;
    auto scheduleFault(const Fault &fault) -> void;
    /// \return the proxy that queues \p request
    [[nodiscard]] auto chooseOwner(Request &request) -> std::size_t;
    [[nodiscard]] auto groupOwner(std::size_t group) const -> std::size_t;
    [[nodiscard]] auto zoneOwner(const membership::UpstreamView &upstream) const -> std::size_t;
    auto giveWholeShares() -> void;
    [[nodiscard]] auto latency(std::size_t leftZone, std::size_t rightZone) const -> Duration;
    [[nodiscard]] auto partOfRun(double part) const -> Duration;

    Scenario scenario;
    Policy policy;
    EventQueue events;
    TimePoint begin;
    TimePoint end;
    Recorder recorder;
    std::mt19937_64 random;
    membership::ClusterView view;
    std::vector<Caller> callers;
    std::vector<Proxy> proxies;
    std::vector<Group> groups;
    std::map<UpstreamId, std::unique_ptr<UpstreamModel>> upstreams;
    std::map<UpstreamId, std::size_t> upstreamZones;
    std::unordered_map<WorkId, Request> requests;
    std::uint64_t lastId = 0;
};

} // namespace sapphirespool::loadmodel
