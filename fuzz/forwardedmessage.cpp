// forwardedmessage.cpp: what one proxy could send another that holds connections for it.
#include "codec.h"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace forwarding = sapphirespool::forwarding;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto message = forwarding::decode(std::string_view(reinterpret_cast<const char *>(data), size));
    if (message) {
        const auto again = forwarding::decode(forwarding::encode(*message));
        assert(again && again->body.index() == message->body.index() && "what was read can be sent on");
    }
    return 0;
}
