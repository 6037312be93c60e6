// memberloops.h: what a stand-in member does by itself: replicate and announce.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace sapphirespool::standin
{

class MemberLife;

/// Pulls the log of the primary that the member follows, until \p life ends.
auto startReplication(const boost::asio::any_io_executor &executor, const std::shared_ptr<MemberLife> &life) -> void;

/// Announces the member at \p self to one proxy, until \p life ends or no longer lists the proxy.
auto startAnnouncing(const boost::asio::any_io_executor &executor, const std::shared_ptr<MemberLife> &life, Endpoint self, Endpoint proxy) -> void;

} // namespace sapphirespool::standin
