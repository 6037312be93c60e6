// transactions.h: the transactions whose upstream connections this proxy holds.
#pragma once

#include "transactionstate.h"
#include "upstreamaccess.h"
#include "writeconfirmation.h"

#include "sapphirespool/Proxy/limits.h"
#include "sapphirespool/Proxy/recorder.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace sapphirespool::proxy
{

/// Names a transaction: which process holds it, and which of its transactions it is.
struct TransactionName
{
    VmId holder;
    Incarnation incarnation;
    std::string number;
};

/// \return the parts of \p id, or nothing if it is no transaction id
[[nodiscard]] auto parseTransactionId(const TransactionId &id) -> std::optional<TransactionName>;
[[nodiscard]] auto makeTransactionId(const TransactionName &name) -> TransactionId;

/// Each transaction owns one upstream connection and one slot from begin to end.
class Transactions : public std::enable_shared_from_this<Transactions>
{
public:
    Transactions(std::shared_ptr<UpstreamAccess> access,
                 std::shared_ptr<WriteConfirmation> confirmation,
                 std::shared_ptr<SessionIds> ids,
                 boost::asio::any_io_executor executor,
                 ProxyLimits limits);

    /// \param holder this process
    auto begin(BeginRequest request, GroupId group, decisions::Work work, TransactionName holder) -> boost::asio::awaitable<BeginOutcome>;

    auto run(TransactionRequest request, sessions::SessionToken &token, TimePoint deadline) -> boost::asio::awaitable<Outcome>;

    /// Rolls back all of them.
    auto endAll() -> void;

    [[nodiscard]] auto open() const -> std::size_t;

private:
    struct Open;

    /// How a transaction ended, kept for a resent commit.
    struct Remembered
    {
        ServiceId service;
        TransactionStep step;
        Outcome outcome;
    };

    auto admit(Grant grant, const ServiceId &service, TransactionName holder) -> TransactionBegun;
    auto statement(std::shared_ptr<Open> transaction, TransactionRequest request, TimePoint deadline) -> boost::asio::awaitable<Outcome>;
    auto commit(std::shared_ptr<Open> transaction, sessions::SessionToken &token, TimePoint deadline) -> boost::asio::awaitable<Outcome>;
    auto committed(std::shared_ptr<Open> transaction, platform::ExecuteReply reply, sessions::SessionToken &token, TimePoint deadline)
        -> boost::asio::awaitable<Outcome>;
    auto rollback(std::shared_ptr<Open> transaction, TimePoint deadline) -> boost::asio::awaitable<Outcome>;
    auto end(const std::shared_ptr<Open> &transaction, decisions::WorkOutcome outcome) -> void;
    auto remember(const Open &transaction, TransactionStep step, const Outcome &outcome) -> void;
    [[nodiscard]] auto ended(const TransactionRequest &request) const -> Outcome;
    auto armIdle(const std::shared_ptr<Open> &transaction) -> void;

    std::shared_ptr<UpstreamAccess> access;
    std::shared_ptr<WriteConfirmation> confirmation;
    std::shared_ptr<SessionIds> ids;
    boost::asio::any_io_executor executor;
    ProxyLimits limits;
    std::unordered_map<TransactionId, std::shared_ptr<Open>> transactions;
    std::unordered_map<TransactionId, Remembered> remembered;
};

} // namespace sapphirespool::proxy
