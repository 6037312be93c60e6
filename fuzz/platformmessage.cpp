// platformmessage.cpp: messages that upstreams send.
#include "sapphirespool/Platform/codec.h"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace platform = sapphirespool::platform;

namespace
{

template <typename Message>
auto readAndWrite(std::string_view text) -> void
{
    const auto message = platform::fromJson<Message>(text);
    if (message) {
        const auto written = platform::toJson(*message);
        assert(!written.empty() && "a message has fields");
        static_cast<void>(written);
    }
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto text = std::string_view(reinterpret_cast<const char *>(data), size);
    readAndWrite<platform::Announcement>(text);
    readAndWrite<platform::ExecuteReply>(text);
    readAndWrite<platform::PositionReport>(text);
    return 0;
}
