// metrics.h: what operators can measure of a process, in Prometheus' text form.
#pragma once

#include "sapphirespool/Support/refusal.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sapphirespool::metrics
{

/// Why a request was tried again.
enum class RetryReason {
    ConnectFailed,
    NotSent,
    WrongTerm,
    UpstreamBusy,
    ReadAnswerLost,
    PeerUnreachable,
};

/// Part of the upstream that served a request.
enum class ServedRole {
    Primary,
    Replica,
};

/// State of a connection.
enum class ConnectionState {
    CallerOpen,
    CallerRunning,
    UpstreamConnecting,
    UpstreamIdle,
    UpstreamBusy,
    PeerOpen,
};

/// Counters and histograms of one process. Calls may come from any thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;

    /// Records a request that got a whole answer.
    auto recordLatency(const ServiceId &service, Access access, ServedRole role, Duration latency) -> void;
    auto countRefusal(const ServiceId &service, RefusalReason reason) -> void;
    auto countRetry(const ServiceId &service, RetryReason reason) -> void;
    auto setConnections(ConnectionState state, std::uint64_t count) -> void;
    /// Sets the number of groups that have been without a primary for longer than a promotion may take.
    auto setOverdueElections(std::uint64_t count) -> void;

    /// \return all of it in Prometheus' text form
    [[nodiscard]] auto prometheusText() const -> std::string;

private:
    class State;
    std::unique_ptr<State> state;
};

/// \return the label of \p reason
[[nodiscard]] auto name(RetryReason reason) -> std::string_view;

} // namespace sapphirespool::metrics
