// transactionstate.h: what may be done to a transaction, and when.
#pragma once

#include <memory>

namespace sapphirespool::proxy
{

/// Where a transaction stands.
enum class TransactionPhase {
    /// Open, nothing runs.
    Begun,
    /// A statement runs.
    Running,
    /// The commit or rollback is on its way.
    Ending,
    Ended,
};

/// State machine of one transaction. Each try...() does nothing and returns false where the step is not allowed.
class TransactionState
{
public:
    TransactionState();
    ~TransactionState();
    TransactionState(const TransactionState &) = delete;
    auto operator=(const TransactionState &) -> TransactionState & = delete;

    /// A statement is about to be sent.
    [[nodiscard]] auto tryStatement() -> bool;
    /// The statement's answer came; the transaction goes on.
    [[nodiscard]] auto tryContinue() -> bool;
    /// The commit or rollback is about to be sent.
    [[nodiscard]] auto tryEnding() -> bool;
    /// The transaction is over, however it came to it.
    [[nodiscard]] auto tryEnd() -> bool;

    [[nodiscard]] auto phase() const -> TransactionPhase;

private:
    class Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace sapphirespool::proxy
