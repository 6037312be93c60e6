// logrecord.cpp: what a data folder may hold after a crash or on a bad disk.
#include "sapphirespool/State/commands.h"
#include "sapphirespool/Storage/record.h"

#include <cstddef>
#include <cstdint>
#include <span>

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto bytes = std::as_bytes(std::span(data, size));
    static_cast<void>(sapphirespool::storage::scanRecords(bytes));
    static_cast<void>(sapphirespool::state::decodeCommand(bytes));
    static_cast<void>(sapphirespool::state::decodeResult(bytes));
    return 0;
}
