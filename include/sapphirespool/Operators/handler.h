// handler.h: the HTTP API that operators use.
#pragma once

#include "sapphirespool/Http/server.h"
#include "sapphirespool/Membership/controllink.h"

#include <memory>

namespace sapphirespool::operators
{

/// Paths of the API.
constexpr auto configurationPath = std::string_view("/v1/configuration");
constexpr auto statusPath = std::string_view("/v1/status");

/// Answers `PUT` and `GET /v1/configuration` and `GET /v1/status` by \p control.
///
/// A `PUT` carries the text, the revision it was made from in `If-Match` and the change id in `Idempotency-Key`; answers carry the
/// revision in `ETag`.
[[nodiscard]] auto makeHandler(std::shared_ptr<membership::ControlLink> control) -> std::shared_ptr<http::Handler>;

} // namespace sapphirespool::operators
