#include "optionvalues.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace sapphirespool::tool
{

namespace
{

[[noreturn]] auto refuse(std::string_view option, const std::string &wanted, std::string_view text) -> void
{
    throw OptionError("--" + std::string(option) + " wants " + wanted + ", not " + std::string(text));
}

template <typename Number>
auto numberBetween(std::string_view option, std::string_view text, Number least, Number most, const std::string &wanted) -> Number
{
    auto number = Number();
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!whole || !(number >= least && number <= most)) {
        refuse(option, wanted, text);
    }
    return number;
}

} // namespace

auto wholeNumber(std::string_view option, std::string_view text, std::uint64_t least, std::uint64_t most) -> std::uint64_t
{
    return numberBetween(option, text, least, most, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
}

auto realNumber(std::string_view option, std::string_view text, double least, double most) -> double
{
    return numberBetween(option, text, least, most, "a number from " + std::to_string(least) + " to " + std::to_string(most));
}

auto milliseconds(std::string_view option, std::string_view text) -> std::chrono::milliseconds
{
    constexpr auto oneDay = std::uint64_t{86'400'000};
    return std::chrono::milliseconds(wholeNumber(option, text, 0, oneDay));
}

auto endpoint(std::string_view option, std::string_view text) -> Endpoint
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        refuse(option, "ADDRESS:PORT", text);
    }
    auto error = boost::system::error_code();
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error) {
        refuse(option, "ADDRESS:PORT with an IP number", text);
    }
    constexpr auto largestPort = std::uint64_t{65535};
    const auto port = wholeNumber(option, text.substr(colon + 1), 0, largestPort);
    return Endpoint{address.to_string(), static_cast<std::uint16_t>(port)};
}

} // namespace sapphirespool::tool
