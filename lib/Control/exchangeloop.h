// exchangeloop.h: calls other directories and control VMs regularly to exchange the known control VMs.
#pragma once

#include "directorytable.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/types.h"

#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <vector>

namespace sapphirespool::control
{

/// Whom the loop calls and what it passes on.
struct ExchangeParts
{
    /// Where the calling directory listens; port 0 for a control VM.
    Endpoint directory;
    std::function<std::vector<Endpoint>()> callees;
    std::function<std::vector<KnownControlVm>()> known;
    /// Takes the answer of a callee, with ages that include the time on the way.
    std::function<void(std::vector<KnownControlVm>)> onAnswer;
    /// Seed of the jitter.
    std::uint64_t seed = 0;
};

/// Calls each callee about once a second. Each call has a connection of its own, so that one that hangs after a partition holds up no
/// later call.
class ExchangeLoop : private kj::TaskSet::ErrorHandler
{
public:
    ExchangeLoop(rpc::LoopContext &context, ExchangeParts parts);
    virtual ~ExchangeLoop() noexcept = default;
    ExchangeLoop(const ExchangeLoop &) = delete;
    auto operator=(const ExchangeLoop &) -> ExchangeLoop & = delete;

    /// Calls all callees now, in addition to the regular calls.
    auto callNow() -> void;

private:
    auto taskFailed(kj::Exception &&exception) -> void override;
    auto scheduleRound() -> void;
    auto call(const Endpoint &callee) -> void;
    auto exchange(const Endpoint &callee) -> kj::Promise<void>;
    /// Repeats a failed call soon after the start, when the callee may start too.
    auto retryAtStart(const Endpoint &callee) -> void;

    rpc::LoopContext &context;
    ExchangeParts parts;
    std::mt19937_64 random;
    TimePoint startedAt;
    std::set<Endpoint> retried;
    kj::TaskSet tasks;
};

/// \return \p endpoints, each once and without \p self
[[nodiscard]] auto distinctOthers(std::vector<Endpoint> endpoints, const Endpoint &self) -> std::vector<Endpoint>;

} // namespace sapphirespool::control
