#include "diskobserver.h"

#include "sapphirespool/Support/log.h"

namespace sapphirespool::consensus
{

auto DiskLogger::onFull(const storage::StorageError &error, bool reserveReleased) -> void
{
    support::log(support::Event::DiskFull, {{"detail", error.detail}, {"reserve", reserveReleased ? "released" : "none"}});
}

auto DiskLogger::onWritten(Duration fullFor) -> void
{
    support::log(support::Event::DiskWritesAgain, {{"ms", fullFor}});
}

} // namespace sapphirespool::consensus
