// journal.h: an append-only file of checksummed records, and whole files that are replaced in one step.
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

/// Records that survive a crash once they are synced.
///
/// Each record carries its checksum and how much of the file was synced when it was written. At the next start a broken record
/// behind which nothing proves a sync is the torn end of the last writes and is cut off; nobody was told that it lasts. A broken
/// record that a later one proves to have been synced is lost data, and the journal refuses to open.
class Journal
{
public:
    /// Opens the journal \p name of \p folder, which must outlive it. A missing one is empty.
    [[nodiscard]] static auto open(Folder &folder, std::string name) -> boost::leaf::result<std::unique_ptr<Journal>>;

    /// \return the records found by open(); empty after the first call
    [[nodiscard]] auto takeRecords() -> std::vector<Bytes>;

    auto append(std::span<const std::byte> record) -> boost::leaf::result<void>;
    auto sync() -> boost::leaf::result<void>;

    /// Replaces all records by \p records, synced, in one step.
    auto replace(std::span<const Bytes> records) -> boost::leaf::result<void>;

private:
    Journal(Folder &folder, std::string name);

    auto restore() -> boost::leaf::result<void>;

    Folder &folder;
    std::string name;
    std::unique_ptr<File> file;
    std::vector<Bytes> found;
    std::uint64_t size = 0;
    std::uint64_t syncedSize = 0;
    bool failed = false;
};

/// Replaces the file \p name by one that holds \p content and its checksum: write, sync, rename, sync.
[[nodiscard]] auto replaceFile(Folder &folder, std::string_view name, std::span<const std::byte> content) -> boost::leaf::result<void>;

/// \return what replaceFile() wrote; nothing if there is no such file
[[nodiscard]] auto readFile(Folder &folder, std::string_view name) -> boost::leaf::result<std::optional<Bytes>>;

} // namespace sapphirespool::storage
