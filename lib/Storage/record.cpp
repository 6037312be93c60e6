#include "sapphirespool/Storage/record.h"

#include <xxhash.h>

#include <array>
#include <cstring>

namespace sapphirespool::storage
{

namespace
{

/// Magic number at the start of a record. It lets the search for valid records after an invalid one skip most offsets without
/// computing a checksum.
constexpr auto recordMagic = std::uint32_t(0x53505243);

/// Fixed-size part of a record, in native byte order since a data folder never moves to another VM.
struct Header
{
    std::uint32_t magic;
    std::uint32_t length;
    std::uint64_t syncedSize;
    std::uint64_t checksum;
};
static_assert(sizeof(Header) == 24, "the on-disk header has no padding");

auto checksum(const Header &header, std::span<const std::byte> payload, std::uint64_t offset) -> std::uint64_t
{
    // The checksum covers the offset, so that a record at an offset other than the one it was written for is invalid.
    const auto checksummedFields = std::array<std::uint64_t, 3>{header.length, header.syncedSize, offset};
    const auto seed = XXH64(checksummedFields.data(), sizeof(checksummedFields), recordMagic);
    return XXH64(payload.data(), payload.size(), seed);
}

/// A valid record in a file.
struct DecodedRecord
{
    std::span<const std::byte> payload;
    std::uint64_t syncedSize;
};

/// \return the record at \p offset; nothing if it is incomplete or invalid
auto decodeRecord(std::span<const std::byte> file, std::uint64_t offset) -> std::optional<DecodedRecord>
{
    if (file.size() - offset < sizeof(Header)) {
        return std::nullopt;
    }
    auto header = Header();
    std::memcpy(&header, file.data() + offset, sizeof(header));
    if (header.magic != recordMagic || file.size() - offset - sizeof(Header) < header.length) {
        return std::nullopt;
    }
    const auto payload = file.subspan(offset + sizeof(Header), header.length);
    if (checksum(header, payload, offset) != header.checksum) {
        return std::nullopt;
    }
    return DecodedRecord{payload, header.syncedSize};
}

/// \return whether a valid record after the offset \p invalidOffset states that the file was synced beyond that offset
auto isProvenSynced(std::span<const std::byte> file, std::uint64_t invalidOffset) -> bool
{
    for (auto offset = invalidOffset + 1; offset + sizeof(Header) <= file.size(); ++offset) {
        const auto later = decodeRecord(file, offset);
        if (later && later->syncedSize > invalidOffset) {
            return true;
        }
    }
    return false;
}

} // namespace

auto encodeRecord(std::span<const std::byte> payload, std::uint64_t offset, std::uint64_t syncedSize, Bytes &out) -> void
{
    auto header = Header{recordMagic, static_cast<std::uint32_t>(payload.size()), syncedSize, 0};
    header.checksum = checksum(header, payload, offset);
    const auto bytes = std::as_bytes(std::span(&header, 1));
    out.insert(out.end(), bytes.begin(), bytes.end());
    out.insert(out.end(), payload.begin(), payload.end());
}

auto scanRecords(std::span<const std::byte> file) -> RecordScan
{
    auto scan = RecordScan();
    while (scan.validSize < file.size()) {
        const auto record = decodeRecord(file, scan.validSize);
        if (!record) {
            break;
        }
        scan.records.emplace_back(record->payload.begin(), record->payload.end());
        scan.validSize += sizeof(Header) + record->payload.size();
    }
    if (scan.validSize < file.size() && isProvenSynced(file, scan.validSize)) {
        scan.corruptOffset = scan.validSize;
    }
    return scan;
}

} // namespace sapphirespool::storage
