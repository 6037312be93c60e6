// httpgroupoperator.h: tells members of database groups what to do, over HTTP.
#pragma once

#include "sapphirespool/Platform/groupoperator.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>

namespace sapphirespool::platform
{

/// Time for one call. A member in another availability zone answers in about 5 ms with its sync; a call that took longer is
/// repeated, and half a second of silence is a small part of a failover.
constexpr auto groupOperatorTimeout = std::chrono::milliseconds(500);

/// \return an operator whose calls may come from any thread and whose callbacks run on \p executor, each within \p timeout
[[nodiscard]] auto makeHttpGroupOperator(boost::asio::any_io_executor executor, std::chrono::milliseconds timeout = groupOperatorTimeout)
    -> std::shared_ptr<GroupOperator>;

} // namespace sapphirespool::platform
