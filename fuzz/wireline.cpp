// wireline.cpp: lines as callers and databases of the users' platform could send them, cut anywhere.
#include "platform/callercodec.h"
#include "platform/upstreamcodec.h"
#include "platform/wirelines.h"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace adapter = sapphirespool::adapter;

namespace
{

/// Reads what one peer sends, handed over in two parts.
template <typename Take>
auto readLines(std::string_view bytes, Take take) -> void
{
    auto buffer = adapter::LineBuffer();
    for (const auto part : {bytes.substr(0, bytes.size() / 2), bytes.substr(bytes.size() / 2)}) {
        buffer.append(part);
        while (const auto line = buffer.next()) {
            take(*line);
        }
        buffer.shrink();
    }
    assert(buffer.pending() <= bytes.size() && "no byte comes out of nothing");
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto bytes = std::string_view(reinterpret_cast<const char *>(data), size);
    readLines(bytes, [](std::string_view line) {
        static_cast<void>(adapter::readCallerLine(line));
        static_cast<void>(adapter::readStatus(line));
    });
    auto answer = adapter::AnswerReader();
    readLines(bytes, [&answer](std::string_view line) {
        static_cast<void>(answer.take(line));
        static_cast<void>(answer.finished());
    });
    return 0;
}
