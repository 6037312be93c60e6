// admission.h: drives the dispatcher and lets each piece of work wait for its decision.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace sapphirespool::proxy
{

class Admission;

/// A slot of an upstream; given back once, at the latest when it is destroyed.
class Slot
{
public:
    Slot(std::shared_ptr<Admission> admission, decisions::WorkId work, UpstreamId upstream);
    ~Slot();
    Slot(Slot &&other) noexcept;
    auto operator=(Slot &&other) noexcept -> Slot &;
    Slot(const Slot &) = delete;
    auto operator=(const Slot &) -> Slot & = delete;

    [[nodiscard]] auto upstream() const -> const UpstreamId &;

    auto finish(decisions::WorkOutcome outcome) -> void;

private:
    std::shared_ptr<Admission> admission;
    decisions::WorkId work;
    UpstreamId upstreamId;
};

using Admitted = std::variant<Slot, decisions::Refuse>;

/// The thin shell around the dispatcher.
class Admission : public std::enable_shared_from_this<Admission>
{
public:
    Admission(boost::asio::any_io_executor executor, std::shared_ptr<decisions::Dispatcher> dispatcher);

    /// Submits \p work, whose number is set here, and waits for the dispatcher's decision.
    auto admit(decisions::Work work) -> boost::asio::awaitable<Admitted>;

    auto finished(decisions::WorkId work, decisions::WorkOutcome outcome) -> void;
    auto observe(const decisions::Observation &observation) -> void;
    auto viewChanged(std::shared_ptr<const membership::ClusterView> view) -> void;
    auto stop() -> void;

private:
    struct Waiter;

    auto apply(const decisions::Dispatcher::Actions &actions) -> void;
    auto settle(decisions::WorkId work, const decisions::Action &action) -> void;
    auto armTick() -> void;

    boost::asio::any_io_executor executor;
    std::shared_ptr<decisions::Dispatcher> dispatcher;
    boost::asio::steady_timer ticker;
    std::optional<TimePoint> armedFor;
    std::unordered_map<decisions::WorkId, std::shared_ptr<Waiter>> waiting;
    decisions::WorkId last;
    bool stopped = false;
};

} // namespace sapphirespool::proxy
