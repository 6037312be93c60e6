// announcements.h: takes in what members of database groups say of themselves.
#pragma once

#include "sapphirespool/Http/server.h"
#include "sapphirespool/Platform/messages.h"

#include <functional>
#include <memory>

namespace sapphirespool::platform
{

/// \return a handler for `POST /v1/announcements`
/// \param announce called with each valid announcement, on the connection's executor; membership::ControlLink::announce() fits
[[nodiscard]] auto makeAnnouncementHandler(std::function<void(Announcement)> announce) -> std::shared_ptr<http::Handler>;

} // namespace sapphirespool::platform
