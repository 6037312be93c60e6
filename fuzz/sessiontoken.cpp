// sessiontoken.cpp: tokens that callers send.
#include "sapphirespool/Sessions/token.h"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sessions = sapphirespool::sessions;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto text = std::string_view(reinterpret_cast<const char *>(data), size);
    const auto decoded = sessions::decode(text);
    if (const auto *const token = std::get_if<sessions::SessionToken>(&decoded)) {
        const auto again = sessions::decode(sessions::encode(*token));
        const auto *const same = std::get_if<sessions::SessionToken>(&again);
        assert(same != nullptr && *same == *token && "a token that was read is written and read the same");
        static_cast<void>(same);
    }
    return 0;
}
