// upstreammodel.h: a database that serves a few statements at a time.
#pragma once

#include "sapphirespool/LoadModel/eventqueue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>

namespace sapphirespool::loadmodel
{

/// A statement on its way through an upstream.
struct Statement
{
    Duration service{};
    /// Row that the statement locks; empty: none.
    std::string key;
    /// Called with whether it was served.
    std::function<void(bool)> done;
};

/// Serves in order of arrival, as many at a time as it has slots. A write on a locked row holds its slot and waits.
class UpstreamModel
{
public:
    UpstreamModel(EventQueue &events, std::uint32_t slots);

    auto arrive(Statement statement) -> void;
    auto setFactor(double factor) -> void;

    /// Fails everything it has and everything that comes.
    auto stop() -> void;
    auto restart() -> void;

    [[nodiscard]] auto busyTime() const -> Duration;

private:
    auto begin(Statement statement) -> void;
    auto end(Statement statement, std::uint64_t life) -> void;
    auto runLocked(Statement statement) -> void;

    EventQueue &events;
    std::uint32_t slots;
    std::uint32_t busy = 0;
    double factor = 1;
    bool stopped = false;
    std::uint64_t life = 0;
    Duration busySum{};
    std::deque<Statement> waiting;
    std::deque<Statement> blocked;
    std::set<std::string> locked;
};

} // namespace sapphirespool::loadmodel
