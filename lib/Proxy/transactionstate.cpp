#include "transactionstate.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sapphirespool::proxy
{

namespace
{

namespace msm = boost::msm;

struct StatementSent
{
};

struct AnswerArrived
{
};

struct EndingSent
{
};

struct Over
{
};

struct Definition : msm::front::state_machine_def<Definition>
{
    struct Begun : msm::front::state<>
    {
    };

    struct Running : msm::front::state<>
    {
    };

    struct Ending : msm::front::state<>
    {
    };

    struct Ended : msm::front::state<>
    {
    };

    using initial_state = Begun;

    template <typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target>;

    // Two statements at a time would share the connection, and each might read the other's answer; a commit beside a statement
    // would leave the caller guessing whether the statement belongs to it. Neither has a row here.
    using transition_table = boost::mpl::vector<Row<Begun, StatementSent, Running>,
                                                Row<Running, AnswerArrived, Begun>,
                                                Row<Begun, EndingSent, Ending>,
                                                Row<Begun, Over, Ended>,
                                                Row<Running, Over, Ended>,
                                                Row<Ending, Over, Ended>>;

    template <typename Fsm, typename Event>
    auto no_transition(const Event &, Fsm &, int) -> void
    {
    }
};

} // namespace

class TransactionState::Machine : public msm::back::state_machine<Definition>
{
public:
    template <typename Event>
    auto accept(const Event &event) -> bool
    {
        return this->process_event(event) == msm::back::HANDLED_TRUE;
    }
};

TransactionState::TransactionState()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

TransactionState::~TransactionState() = default;

auto TransactionState::tryStatement() -> bool
{
    return this->machine->accept(StatementSent());
}

auto TransactionState::tryContinue() -> bool
{
    return this->machine->accept(AnswerArrived());
}

auto TransactionState::tryEnding() -> bool
{
    return this->machine->accept(EndingSent());
}

auto TransactionState::tryEnd() -> bool
{
    return this->machine->accept(Over());
}

auto TransactionState::phase() const -> TransactionPhase
{
    // The machine numbers its states in the order of their first mention as a source, then as a target.
    return static_cast<TransactionPhase>(this->machine->current_state()[0]);
}

} // namespace sapphirespool::proxy
