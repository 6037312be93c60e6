// memberhandler.h: the HTTP side of a stand-in member.
#pragma once

#include "sapphirespool/Http/server.h"
#include "sapphirespool/Standin/faults.h"

#include <functional>
#include <memory>

namespace sapphirespool::standin
{

class MemberLife;

/// \return a handler for the requests of docs/PLATFORM.md, the log and the faults of \p life
/// \param setFaults called with the faults of `POST /standin/faults`
[[nodiscard]] auto makeLifeHandler(std::shared_ptr<MemberLife> life, std::function<void(const Faults &)> setFaults) -> std::shared_ptr<http::Handler>;

} // namespace sapphirespool::standin
