// journal.h: an append-only file of checksummed records, and files that are replaced atomically.
#pragma once

#include "sapphirespool/Storage/folder.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::storage
{

/// An append-only file of records that survive a crash once they are synced.
///
/// A crash can leave the last writes incomplete, and a bad disk can damage records that were acknowledged. Without telling the two
/// apart, recovery would either fail after each crash or silently drop acknowledged data.
///
/// Each record therefore carries its checksum and the number of bytes of the file that were synced when it was written. If the
/// synced size in no later record covers an invalid record, open() takes it for a torn write that was never acknowledged, and
/// truncates the file there. If a later record proves that the invalid one was synced, data is lost and open() fails.
///
/// A write that is rejected with StorageErrorKind::Full leaves the records as they were, and the journal remains usable. After any other
/// failed write or sync all further appends, syncs and replacements fail.
class Journal
{
public:
    /// Opens the journal file \p name in \p folder, which must outlive the journal. Creates an empty journal if there is no such file.
    [[nodiscard]] static auto open(Folder &folder, std::string name) -> boost::leaf::result<std::unique_ptr<Journal>>;

    /// \return the records that open() recovered; empty after the first call
    [[nodiscard]] auto takeRecords() -> std::vector<Bytes>;

    auto append(std::span<const std::byte> record) -> boost::leaf::result<void>;
    auto sync() -> boost::leaf::result<void>;

    /// Drops all records that were appended after the last sync() or replace().
    auto discardUnsynced() -> boost::leaf::result<void>;

    /// Atomically replaces all records by \p records and syncs them.
    auto replace(std::span<const Bytes> records) -> boost::leaf::result<void>;

private:
    Journal(Folder &folder, std::string name);

    auto recover() -> boost::leaf::result<void>;
    auto requireUsable() const -> boost::leaf::result<void>;
    auto cutTail() -> boost::leaf::result<void>;
    /// Notes the failure \p error. Only a rejected write leaves the journal usable.
    auto fail(const StorageError &error) -> boost::leaf::result<void>;

    Folder &folder;
    std::string name;
    std::unique_ptr<File> file;
    std::vector<Bytes> recoveredRecords;
    std::uint64_t size = 0;
    std::uint64_t syncedSize = 0;
    bool failed = false;
    /// Whether the file may hold bytes beyond size, which the next append must not leave in place.
    bool hasTail = false;
    /// Whether a former process wrote that tail.
    bool tailIsRecovered = false;
};

/// Atomically replaces the file \p name by one that holds \p content and its checksum: writes and syncs a temporary file, renames it and syncs
/// the folder. After a failure the file \p name is as it was, and the temporary file is removed if possible.
[[nodiscard]] auto replaceFile(Folder &folder, std::string_view name, std::span<const std::byte> content) -> boost::leaf::result<void>;

/// \return the content that replaceFile() wrote; nothing if there is no such file
[[nodiscard]] auto readFile(Folder &folder, std::string_view name) -> boost::leaf::result<std::optional<Bytes>>;

} // namespace sapphirespool::storage
