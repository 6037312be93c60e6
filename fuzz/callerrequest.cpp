// callerrequest.cpp: requests that callers send; the input is a line with the path, a line with the headers' value, and the body.
#include "sapphirespool/Callers/requestparser.h"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace callers = sapphirespool::callers;

namespace
{

/// \return the text up to the next line end, which is taken from \p rest
auto takeLine(std::string_view &rest) -> std::string_view
{
    const auto end = rest.find('\n');
    const auto line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    return line;
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    auto rest = std::string_view(reinterpret_cast<const char *>(data), size);
    auto raw = callers::RawRequest();
    raw.method = "POST";
    raw.target = takeLine(rest);
    const auto header = takeLine(rest);
    raw.session = header;
    raw.cookie = header;
    raw.key = header;
    raw.maxAge = header;
    raw.timeout = header;
    raw.body = rest;
    const auto parsed = callers::parseStatementRequest(raw);
    raw.session = std::nullopt;
    raw.key = std::nullopt;
    raw.maxAge = std::nullopt;
    raw.timeout = std::nullopt;
    const auto bare = callers::parseStatementRequest(raw);
    const auto *const bad = std::get_if<callers::BadRequest>(&bare);
    assert((bad == nullptr || !bad->detail.empty()) && "a bad request says what is wrong");
    static_cast<void>(parsed);
    static_cast<void>(bad);
    return 0;
}
