#include "sapphirespool/Metrics/metrics.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <chrono>
#include <mutex>
#include <span>
#include <sstream>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphirespool::metrics
{

namespace
{

namespace histogram = boost::histogram;
using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/// Bounds of the latency buckets in seconds: from a local read to beyond the longest timeout that a caller may ask for. 28
/// buckets put a factor of 1.6 between two of them, so a quantile is known to a quarter.
constexpr auto shortestLatency = 0.0001;
constexpr auto longestLatency = 60.0;
constexpr auto latencyBuckets = 28U;

/// Services that are counted by name. A caller that makes up names must not make the process grow; the rest share one name.
constexpr auto mostServices = std::size_t{256};
constexpr auto otherServices = std::string_view("other");

/// Service of requests that were refused before their service was known.
constexpr auto noService = std::string_view("");

constexpr auto retryNames = std::to_array<std::string_view>({
    "connect_failed",
    "not_sent",
    "wrong_term",
    "upstream_busy",
    "read_answer_lost",
    "peer_unreachable",
});

constexpr auto connectionNames = std::to_array<std::string_view>({
    "caller_open",
    "caller_running",
    "upstream_connecting",
    "upstream_idle",
    "upstream_busy",
    "peer_open",
});

constexpr auto accessNames = std::to_array<std::string_view>({"read", "write"});
constexpr auto roleNames = std::to_array<std::string_view>({"primary", "replica"});

using ServiceAxis = histogram::axis::category<std::string, histogram::use_default, histogram::axis::option::growth_t>;
using LabelAxis = histogram::axis::category<int, histogram::use_default, histogram::axis::option::none_t>;
using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

/// An axis with one bin for each of the first \p count values of an enumeration.
auto labelAxis(std::size_t count) -> LabelAxis
{
    auto values = std::vector<int>();
    for (auto value = 0; value < static_cast<int>(count); ++value) {
        values.push_back(value);
    }
    return LabelAxis(values);
}

auto serviceAxis() -> ServiceAxis
{
    return ServiceAxis();
}

auto makeLatencies()
{
    return histogram::make_histogram_with(histogram::dense_storage<std::uint64_t>(),
                                          serviceAxis(),
                                          labelAxis(accessNames.size()),
                                          labelAxis(roleNames.size()),
                                          LatencyAxis(latencyBuckets, shortestLatency, longestLatency));
}

auto makeLatencySums()
{
    return histogram::make_histogram_with(histogram::dense_storage<double>(), serviceAxis(), labelAxis(accessNames.size()), labelAxis(roleNames.size()));
}

auto makeCounters(std::size_t labels)
{
    return histogram::make_histogram_with(histogram::dense_storage<std::uint64_t>(), serviceAxis(), labelAxis(labels));
}

using Latencies = decltype(makeLatencies());
using LatencySums = decltype(makeLatencySums());
using Counters = decltype(makeCounters(0));

auto family(std::string_view name, std::string_view help, MetricType type) -> MetricFamily
{
    return MetricFamily{std::string(name), std::string(help), type, {}};
}

auto label(std::string_view name, std::string_view value) -> ClientMetric::Label
{
    return ClientMetric::Label{std::string(name), std::string(value)};
}

template <typename NameOf>
auto counterFamily(std::string_view name, std::string_view help, const Counters &counters, NameOf nameOf) -> MetricFamily
{
    auto result = family(name, help, MetricType::Counter);
    const auto &services = counters.axis<0>();
    const auto reasons = counters.axis<1>().size();
    for (auto service = 0; service < services.size(); ++service) {
        for (auto reason = 0; reason < reasons; ++reason) {
            auto metric = ClientMetric();
            metric.label = {label("service", services.value(service)), label("reason", nameOf(static_cast<std::size_t>(reason)))};
            metric.counter.value = static_cast<double>(counters.at(service, reason));
            result.metric.push_back(std::move(metric));
        }
    }
    return result;
}

/// Cumulative buckets of one service, access and role, as Prometheus wants them.
auto latencyMetric(const Latencies &latencies, const LatencySums &sums, int service, int access, int role) -> ClientMetric
{
    const auto &bounds = latencies.axis<3>();
    auto metric = ClientMetric();
    metric.label = {label("service", latencies.axis<0>().value(service)),
                    label("access", accessNames[static_cast<std::size_t>(access)]),
                    label("role", roleNames[static_cast<std::size_t>(role)])};
    auto count = latencies.at(service, access, role, -1);
    for (auto bucket = 0; bucket < bounds.size(); ++bucket) {
        count += latencies.at(service, access, role, bucket);
        metric.histogram.bucket.push_back({count, bounds.bin(bucket).upper()});
    }
    metric.histogram.sample_count = count + latencies.at(service, access, role, bounds.size());
    metric.histogram.sample_sum = sums.at(service, access, role);
    return metric;
}

auto latencyFamily(const Latencies &latencies, const LatencySums &sums) -> MetricFamily
{
    auto result = family("sapphirespool_request_seconds", "time from a request to its whole answer", MetricType::Histogram);
    for (auto service = 0; service < latencies.axis<0>().size(); ++service) {
        for (auto access = 0; access < latencies.axis<1>().size(); ++access) {
            for (auto role = 0; role < latencies.axis<2>().size(); ++role) {
                auto metric = latencyMetric(latencies, sums, service, access, role);
                if (metric.histogram.sample_count > 0) {
                    result.metric.push_back(std::move(metric));
                }
            }
        }
    }
    return result;
}

auto connectionFamily(std::span<const std::uint64_t> connections) -> MetricFamily
{
    auto result = family("sapphirespool_connections", "connections by state", MetricType::Gauge);
    for (auto state = std::size_t{0}; state < connections.size(); ++state) {
        auto metric = ClientMetric();
        metric.label = {label("state", connectionNames[state])};
        metric.gauge.value = static_cast<double>(connections[state]);
        result.metric.push_back(std::move(metric));
    }
    return result;
}

auto overdueElectionFamily(std::uint64_t count) -> MetricFamily
{
    auto result = family("sapphirespool_overdue_elections", "groups without a primary for longer than a promotion may take", MetricType::Gauge);
    auto metric = ClientMetric();
    metric.gauge.value = static_cast<double>(count);
    result.metric.push_back(std::move(metric));
    return result;
}

} // namespace

/// One lock for all: a record holds it for a fraction of a microsecond, and the dispatch thread makes nearly all of them.
class Metrics::State
{
public:
    State()
    {
        this->addService(std::string(noService));
    }

    /// \return the index that \p service has on the service axis of each histogram
    auto indexOf(const ServiceId &service) -> int
    {
        const auto found = this->services.find(service.value());
        if (found != this->services.end()) {
            return found->second;
        }
        // Without the bound a caller that makes up service names would fill the memory.
        if (this->services.size() < mostServices) {
            return this->addService(service.value());
        }
        const auto other = this->services.find(std::string(otherServices));
        return other != this->services.end() ? other->second : this->addService(std::string(otherServices));
    }

    std::mutex mutex;
    Latencies latencies = makeLatencies();
    LatencySums latencySums = makeLatencySums();
    Counters refusals = makeCounters(refusalDescriptions().size());
    Counters retries = makeCounters(retryNames.size());
    std::array<std::uint64_t, connectionNames.size()> connections{};
    std::uint64_t overdueElections = 0;

private:
    /// Adds \p name to all service axes at once, so that it has the same index on each; looking it up on a category axis would
    /// cost a comparison for each service of the proxy.
    auto addService(const std::string &name) -> int
    {
        this->latencies(name, 0, 0, shortestLatency, histogram::weight(0));
        this->latencySums(name, 0, 0, histogram::weight(0));
        this->refusals(name, 0, histogram::weight(0));
        this->retries(name, 0, histogram::weight(0));
        const auto index = static_cast<int>(this->services.size());
        assert(this->retries.axis<0>().index(name) == index && "the axes grow in step");
        this->services[name] = index;
        return index;
    }

    std::unordered_map<std::string, int> services;
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

auto Metrics::recordLatency(const ServiceId &service, Access access, ServedRole role, Duration latency) -> void
{
    const auto seconds = std::chrono::duration<double>(latency).count();
    const auto guard = std::lock_guard(this->state->mutex);
    const auto index = this->state->indexOf(service);
    const auto bucket = this->state->latencies.axis<3>().index(seconds);
    this->state->latencies.at(index, static_cast<int>(access), static_cast<int>(role), bucket) += 1;
    this->state->latencySums.at(index, static_cast<int>(access), static_cast<int>(role)) += seconds;
}

auto Metrics::countRefusal(const ServiceId &service, RefusalReason reason) -> void
{
    const auto guard = std::lock_guard(this->state->mutex);
    this->state->refusals.at(this->state->indexOf(service), static_cast<int>(reason)) += 1;
}

auto Metrics::countRetry(const ServiceId &service, RetryReason reason) -> void
{
    const auto guard = std::lock_guard(this->state->mutex);
    this->state->retries.at(this->state->indexOf(service), static_cast<int>(reason)) += 1;
}

auto Metrics::setConnections(ConnectionState connectionState, std::uint64_t count) -> void
{
    const auto guard = std::lock_guard(this->state->mutex);
    this->state->connections[static_cast<std::size_t>(connectionState)] = count;
}

auto Metrics::setOverdueElections(std::uint64_t count) -> void
{
    const auto guard = std::lock_guard(this->state->mutex);
    this->state->overdueElections = count;
}

auto Metrics::prometheusText() const -> std::string
{
    auto families = std::vector<MetricFamily>();
    {
        const auto guard = std::lock_guard(this->state->mutex);
        families.push_back(latencyFamily(this->state->latencies, this->state->latencySums));
        families.push_back(
            counterFamily("sapphirespool_refusals_total", "requests that got no ordinary answer, by reason", this->state->refusals, [](std::size_t reason) {
                return refusalDescriptions()[reason].label;
            }));
        families.push_back(
            counterFamily("sapphirespool_retries_total", "attempts that followed a failed one, by reason", this->state->retries, [](std::size_t reason) {
                return retryNames[reason];
            }));
        families.push_back(connectionFamily(this->state->connections));
        families.push_back(overdueElectionFamily(this->state->overdueElections));
    }
    auto stream = std::ostringstream();
    prometheus::TextSerializer().Serialize(stream, families);
    return stream.str();
}

auto name(RetryReason reason) -> std::string_view
{
    const auto index = static_cast<std::size_t>(reason);
    assert(index < retryNames.size() && "each retry reason has a name");
    return retryNames[index];
}

} // namespace sapphirespool::metrics
