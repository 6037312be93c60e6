#include "sapphirespool/Upstreams/connectionstate.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <cassert>

namespace sapphirespool::upstreams
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Connected
{
};

struct RequestSent
{
};

struct Answered
{
    platform::Operation operation;
    platform::ExecuteStatus status;
};

struct Broken
{
};

/// A transaction began.
struct Began
{
    template <typename Machine, typename Source, typename Target>
    auto operator()(const Answered &event, Machine &, Source &, Target &) -> bool
    {
        return event.operation == platform::Operation::Begin && event.status == platform::ExecuteStatus::Done;
    }
};

/// A transaction is proven to have ended. Any other answer to a commit leaves it open for all that is known here, so that the
/// connection is not given to another session.
struct Ended
{
    template <typename Machine, typename Source, typename Target>
    auto operator()(const Answered &event, Machine &, Source &, Target &) -> bool
    {
        const auto ends = event.operation == platform::Operation::Commit || event.operation == platform::Operation::Rollback;
        return ends && event.status == platform::ExecuteStatus::Done;
    }
};

template <typename Guard>
struct Not
{
    template <typename Machine, typename Source, typename Target>
    auto operator()(const Answered &event, Machine &machine, Source &source, Target &target) -> bool
    {
        return !Guard()(event, machine, source, target);
    }
};

struct ConnectionMachineDef : msm::front::state_machine_def<ConnectionMachineDef>
{
    struct Connecting : msm::front::state<>
    {
    };
    struct Idle : msm::front::state<>
    {
    };
    struct Busy : msm::front::state<>
    {
    };
    struct InTransaction : msm::front::state<>
    {
    };
    struct BusyInTransaction : msm::front::state<>
    {
    };
    struct Closed : msm::front::state<>
    {
    };

    // The names below are those that the library looks for.
    using initial_state = Connecting; // NOLINT(readability-identifier-naming)

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Row<Connecting,        Connected,   Idle,              none, none>,
        Row<Idle,              RequestSent, Busy,              none, none>,
        Row<Busy,              Answered,    InTransaction,     none, Began>,
        Row<Busy,              Answered,    Idle,              none, Not<Began>>,
        Row<InTransaction,     RequestSent, BusyInTransaction, none, none>,
        Row<BusyInTransaction, Answered,    Idle,              none, Ended>,
        Row<BusyInTransaction, Answered,    InTransaction,     none, Not<Ended>>,
        Row<Connecting,        Broken,      Closed,            none, none>,
        Row<Idle,              Broken,      Closed,            none, none>,
        Row<Busy,              Broken,      Closed,            none, none>,
        Row<InTransaction,     Broken,      Closed,            none, none>,
        Row<BusyInTransaction, Broken,      Closed,            none, none>,
        Row<Closed,            Broken,      Closed,            none, none>
    > {};
    // clang-format on

    template <typename Machine, typename Event>
    auto no_transition(const Event &, Machine &, int) -> void
    {
        assert(false && "the connection is in a state that does not allow this");
    }
};

} // namespace

class ConnectionState::Machine : public msm::back::state_machine<ConnectionMachineDef>
{
};

ConnectionState::ConnectionState()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

ConnectionState::~ConnectionState() = default;

auto ConnectionState::connected() -> void
{
    this->machine->process_event(Connected());
}

auto ConnectionState::requestSent() -> void
{
    this->machine->process_event(RequestSent());
}

auto ConnectionState::answered(platform::Operation operation, platform::ExecuteStatus status) -> void
{
    this->machine->process_event(Answered{operation, status});
}

auto ConnectionState::broken() -> void
{
    this->machine->process_event(Broken());
}

auto ConnectionState::phase() const -> ConnectionPhase
{
    // The library numbers the states in the order in which they first stand in the table, sources before targets; a test holds
    // this against the enumeration.
    constexpr auto phases = std::to_array<ConnectionPhase>({
        ConnectionPhase::Connecting,
        ConnectionPhase::Idle,
        ConnectionPhase::Busy,
        ConnectionPhase::InTransaction,
        ConnectionPhase::BusyInTransaction,
        ConnectionPhase::Closed,
    });
    const auto index = static_cast<std::size_t>(this->machine->current_state()[0]);
    assert(index < phases.size() && "each state has its phase");
    return phases[index];
}

} // namespace sapphirespool::upstreams
