// codec.h: JSON forms of the platform messages.
#pragma once

#include "sapphirespool/Platform/messages.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string_view>

namespace sapphirespool::platform
{

/// \return \p message as a JSON object; defined for the messages of messages.h
template <typename Message>
[[nodiscard]] auto toJson(const Message &message) -> boost::json::object;

/// \return the message in \p text, or nothing if a field is missing, unknown or of the wrong type
template <typename Message>
[[nodiscard]] auto fromJson(std::string_view text) -> std::optional<Message>;

} // namespace sapphirespool::platform
