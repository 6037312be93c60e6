// record.h: the on-disk format of checksummed records.
#pragma once

#include "sapphirespool/Storage/folder.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sapphirespool::storage
{

/// Encodes \p payload as a record and appends it to \p out.
///
/// \param offset the offset of the record in its file, which its checksum covers
/// \param syncedSize the number of bytes of the file that are synced
auto encodeRecord(std::span<const std::byte> payload, std::uint64_t offset, std::uint64_t syncedSize, Bytes &out) -> void;

/// Result of scanRecords().
struct RecordScan
{
    std::vector<Bytes> records;
    /// Size in bytes of the leading part of the file that consists of valid records.
    std::uint64_t validSize = 0;
    /// Offset of an invalid record that a later record proves to have been synced; nothing if there is none.
    std::optional<std::uint64_t> corruptOffset;
};

/// Decodes the records of \p file up to the first invalid one.
[[nodiscard]] auto scanRecords(std::span<const std::byte> file) -> RecordScan;

} // namespace sapphirespool::storage
