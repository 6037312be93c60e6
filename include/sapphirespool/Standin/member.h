// member.h: a stand-in for one member of a database group, reached by HTTP as docs/PLATFORM.md describes.
#pragma once

#include "sapphirespool/Http/server.h"

#include <memory>

namespace sapphirespool::standin
{

/// \return a handler that answers as the only member of a group would
[[nodiscard]] auto makeMemberHandler() -> std::shared_ptr<http::Handler>;

} // namespace sapphirespool::standin
