#include "sapphirespool/Storage/journal.h"

#include "sapphirespool/Storage/record.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::storage
{

namespace
{

constexpr auto temporarySuffix = ".new";

auto corruptError(std::string_view name, std::uint64_t offset) -> StorageError
{
    return {StorageErrorKind::Corrupt,
            "file " + std::string(name) + " lost synced data at byte " + std::to_string(offset)
                + "; check the disk, then empty the data folder: the VM rejoins as a new replica and receives its data from the others"};
}

auto fileExists(Folder &folder, std::string_view name) -> boost::leaf::result<bool>
{
    BOOST_LEAF_AUTO(names, folder.list());
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Writes \p content to a temporary file and, once that is synced, renames it to \p name.
auto replaceAtomically(Folder &folder, std::string_view name, std::span<const std::byte> content) -> boost::leaf::result<std::unique_ptr<File>>
{
    const auto temporaryName = std::string(name) + temporarySuffix;
    BOOST_LEAF_AUTO(file, folder.create(temporaryName));
    BOOST_LEAF_CHECK(file->append(content));
    // If the file were renamed before it is synced, a crash could leave it empty with the old one already gone.
    BOOST_LEAF_CHECK(file->sync());
    BOOST_LEAF_CHECK(folder.rename(temporaryName, name));
    BOOST_LEAF_CHECK(folder.sync());
    return file;
}

} // namespace

Journal::Journal(Folder &folder, std::string name)
    : folder(folder)
    , name(std::move(name))
{
}

auto Journal::open(Folder &folder, std::string name) -> boost::leaf::result<std::unique_ptr<Journal>>
{
    auto journal = std::unique_ptr<Journal>(new Journal(folder, std::move(name)));
    BOOST_LEAF_CHECK(journal->recover());
    return journal;
}

auto Journal::recover() -> boost::leaf::result<void>
{
    BOOST_LEAF_AUTO(present, fileExists(this->folder, this->name));
    if (!present) {
        return this->replace({});
    }
    BOOST_LEAF_AUTO(content, this->folder.read(this->name));
    auto scan = scanRecords(content);
    if (scan.corruptOffset) {
        return boost::leaf::new_error(corruptError(this->name, *scan.corruptOffset));
    }
    this->recoveredRecords = std::move(scan.records);
    BOOST_LEAF_AUTO(opened, this->folder.openTruncated(this->name, scan.validSize));
    this->file = std::move(opened);
    this->size = scan.validSize;
    // The recovered records may still be only in the page cache, but the records appended next state them as synced.
    return this->sync();
}

auto Journal::takeRecords() -> std::vector<Bytes>
{
    return std::exchange(this->recoveredRecords, {});
}

auto Journal::append(std::span<const std::byte> record) -> boost::leaf::result<void>
{
    if (this->failed) {
        return boost::leaf::new_error(
            StorageError{StorageErrorKind::OperationFailed, "an earlier write or sync failed; free or repair the disk of the data folder and restart"});
    }
    auto encoded = Bytes();
    encodeRecord(record, this->size, this->syncedSize, encoded);
    this->failed = true;
    BOOST_LEAF_CHECK(this->file->append(encoded));
    this->failed = false;
    this->size += encoded.size();
    return {};
}

auto Journal::sync() -> boost::leaf::result<void>
{
    // After a failed sync the operating system may drop the dirty pages and report success for the next sync without having written
    // them. The first failure is therefore permanent.
    if (this->failed) {
        return boost::leaf::new_error(
            StorageError{StorageErrorKind::OperationFailed, "an earlier write or sync failed; free or repair the disk of the data folder and restart"});
    }
    this->failed = true;
    BOOST_LEAF_CHECK(this->file->sync());
    this->failed = false;
    this->syncedSize = this->size;
    return {};
}

auto Journal::replace(std::span<const Bytes> records) -> boost::leaf::result<void>
{
    if (this->failed) {
        return boost::leaf::new_error(
            StorageError{StorageErrorKind::OperationFailed, "an earlier write or sync failed; free or repair the disk of the data folder and restart"});
    }
    auto content = Bytes();
    for (const auto &record : records) {
        encodeRecord(record, content.size(), 0, content);
    }
    this->failed = true;
    BOOST_LEAF_AUTO(replaced, replaceAtomically(this->folder, this->name, content));
    this->failed = false;
    this->file = std::move(replaced);
    this->size = content.size();
    this->syncedSize = content.size();
    return {};
}

auto replaceFile(Folder &folder, std::string_view name, std::span<const std::byte> content) -> boost::leaf::result<void>
{
    auto encoded = Bytes();
    encodeRecord(content, 0, 0, encoded);
    BOOST_LEAF_CHECK(replaceAtomically(folder, name, encoded));
    return {};
}

auto readFile(Folder &folder, std::string_view name) -> boost::leaf::result<std::optional<Bytes>>
{
    BOOST_LEAF_AUTO(present, fileExists(folder, name));
    if (!present) {
        return std::optional<Bytes>();
    }
    BOOST_LEAF_AUTO(content, folder.read(name));
    auto scan = scanRecords(content);
    if (scan.records.size() != 1 || scan.validSize != content.size()) {
        return boost::leaf::new_error(corruptError(name, scan.validSize));
    }
    return std::optional<Bytes>(std::move(scan.records.front()));
}

} // namespace sapphirespool::storage
