// record.h: the form of a checksummed record in a file.
#pragma once

#include "sapphirespool/Storage/folder.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sapphirespool::storage
{

/// Appends to \p out the record of \p payload that will stand at \p offset of its file, of which \p syncedSize bytes are synced.
auto encodeRecord(std::span<const std::byte> payload, std::uint64_t offset, std::uint64_t syncedSize, Bytes &out) -> void;

/// What a scan of a file found.
struct RecordScan
{
    std::vector<Bytes> records;
    /// Bytes up to the end of the last whole record.
    std::uint64_t validSize = 0;
    /// Offset of a broken record that had been synced.
    std::optional<std::uint64_t> lostAt;
};

[[nodiscard]] auto scanRecords(std::span<const std::byte> file) -> RecordScan;

} // namespace sapphirespool::storage
