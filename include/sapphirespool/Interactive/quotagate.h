// quotagate.h: interface by which sessions ask whether a customer's quota has room.
#pragma once

#include "sapphirespool/Interactive/reply.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace sapphirespool::interactive
{

/// Admits operations of customers, so that each runs no more than its quota over all proxies.
class QuotaGate
{
public:
    QuotaGate() = default;
    QuotaGate(const QuotaGate &) = delete;
    auto operator=(const QuotaGate &) -> QuotaGate & = delete;
    virtual ~QuotaGate() = default;

    /// Takes one operation out of the quota of \p customer, and waits until it may run.
    /// \param maxWait longest time that it may wait for room in the quota
    /// \param limit time limit for the answers of other proxies
    /// \return why the operation may not run; nothing if it may
    virtual auto take(CustomerId customer, Duration maxWait, Duration limit) -> boost::asio::awaitable<std::optional<FailureReply>> = 0;
};

} // namespace sapphirespool::interactive
