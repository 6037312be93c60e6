// optionvalues.h: reads the values of command line options.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string_view>

namespace sapphirespool::tool
{

/// A value that an option does not take; the message names the option and what it wants.
class OptionError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \return the whole number in \p text
/// \throws OptionError if it is none, or not between \p least and \p most
[[nodiscard]] auto wholeNumber(std::string_view option, std::string_view text, std::uint64_t least, std::uint64_t most) -> std::uint64_t;

/// \return the number in \p text
/// \throws OptionError if it is none, or not between \p least and \p most
[[nodiscard]] auto realNumber(std::string_view option, std::string_view text, double least, double most) -> double;

/// \return the time in \p text, a whole number of milliseconds up to a day
/// \throws OptionError if it is none
[[nodiscard]] auto milliseconds(std::string_view option, std::string_view text) -> std::chrono::milliseconds;

/// \return the `ADDRESS:PORT` in \p text
/// \throws OptionError if the address is no IP number or the port no number
[[nodiscard]] auto endpoint(std::string_view option, std::string_view text) -> Endpoint;

} // namespace sapphirespool::tool
