#include "sapphirespool/Storage/journal.h"

#include "sapphirespool/Storage/record.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <optional>
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

/// \return the error of \p operation; nothing if it succeeded
template <typename Operation>
auto errorOf(const Operation &operation) -> std::optional<StorageError>
{
    return boost::leaf::try_handle_all(
        [&operation]() -> boost::leaf::result<std::optional<StorageError>> {
            BOOST_LEAF_CHECK(operation());
            return std::optional<StorageError>();
        },
        [](const StorageError &error) {
            return std::optional<StorageError>(error);
        },
        [] {
            return std::optional<StorageError>(StorageError{StorageErrorKind::OperationFailed, "file operation failed; repair the disk of the data folder"});
        });
}

/// Creates the file \p name with \p content and syncs it.
auto createSynced(Folder &folder, std::string_view name, std::span<const std::byte> content) -> boost::leaf::result<std::unique_ptr<File>>
{
    BOOST_LEAF_AUTO(file, folder.create(name));
    BOOST_LEAF_CHECK(file->append(content));
    BOOST_LEAF_CHECK(file->sync());
    return file;
}

/// Writes \p content to a temporary file and, once that is synced, renames it to \p name.
auto replaceAtomically(Folder &folder, std::string_view name, std::span<const std::byte> content) -> boost::leaf::result<std::unique_ptr<File>>
{
    const auto temporaryName = std::string(name) + temporarySuffix;
    auto file = std::unique_ptr<File>();
    const auto error = errorOf([&]() -> boost::leaf::result<void> {
        // If the file were renamed before it is synced, a crash could leave it empty with the old one already gone.
        BOOST_LEAF_ASSIGN(file, createSynced(folder, temporaryName, content));
        return folder.rename(temporaryName, name);
    });
    if (error) {
        // A partial file would keep the space that the next attempt needs. If it cannot be removed, that attempt truncates it.
        file.reset();
        errorOf([&] {
            return folder.remove(temporaryName);
        });
        return boost::leaf::new_error(*error);
    }
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
    this->syncedSize = scan.validSize;
    BOOST_LEAF_AUTO(opened, this->folder.open(this->name));
    this->file = std::move(opened);
    this->size = scan.validSize;
    this->hasTail = scan.validSize < content.size();
    this->tailIsRecovered = this->hasTail;
    const auto error = errorOf([this] {
        return this->cutTail();
    });
    // A full disk may reject even the truncation. The first append repeats it, as opening must not depend on space.
    if (error && error->kind != StorageErrorKind::Full) {
        return boost::leaf::new_error(*error);
    }
    // The recovered records may still be only in the page cache, but the records appended next state them as synced.
    return this->sync();
}

auto Journal::takeRecords() -> std::vector<Bytes>
{
    return std::exchange(this->recoveredRecords, {});
}

auto Journal::requireUsable() const -> boost::leaf::result<void>
{
    if (this->failed) {
        return boost::leaf::new_error(
            StorageError{StorageErrorKind::OperationFailed, "an earlier write or sync failed; free or repair the disk of the data folder and restart"});
    }
    return {};
}

auto Journal::fail(const StorageError &error) -> boost::leaf::result<void>
{
    this->failed = this->failed || error.kind != StorageErrorKind::Full;
    return boost::leaf::new_error(error);
}

auto Journal::cutTail() -> boost::leaf::result<void>
{
    if (!this->hasTail) {
        return {};
    }
    const auto error = errorOf([this] {
        return this->file->truncate(this->size);
    });
    if (error) {
        return this->fail(*error);
    }
    this->hasTail = false;
    // Records of the former process in the tail differ from those that are appended next. If the cut were not durable, a crash could
    // leave an old record right behind a new one.
    return std::exchange(this->tailIsRecovered, false) ? this->sync() : boost::leaf::result<void>();
}

auto Journal::append(std::span<const std::byte> record) -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(this->requireUsable());
    BOOST_LEAF_CHECK(this->cutTail());
    auto encoded = Bytes();
    encodeRecord(record, this->size, this->syncedSize, encoded);
    const auto error = errorOf([this, &encoded] {
        return this->file->append(encoded);
    });
    if (error) {
        this->hasTail = true;
        if (error->kind == StorageErrorKind::Full) {
            // If this fails too, the next append repeats it.
            errorOf([this] {
                return this->cutTail();
            });
        }
        return this->fail(*error);
    }
    this->size += encoded.size();
    return {};
}

auto Journal::sync() -> boost::leaf::result<void>
{
    // After a failed sync the operating system may drop the dirty pages and report success for the next sync without having written
    // them. The first failure is therefore permanent.
    BOOST_LEAF_CHECK(this->requireUsable());
    this->failed = true;
    BOOST_LEAF_CHECK(this->file->sync());
    this->failed = false;
    this->syncedSize = this->size;
    return {};
}

auto Journal::discardUnsynced() -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(this->requireUsable());
    this->hasTail = this->hasTail || this->size > this->syncedSize;
    this->size = this->syncedSize;
    return this->cutTail();
}

auto Journal::replace(std::span<const Bytes> records) -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(this->requireUsable());
    auto content = Bytes();
    for (const auto &record : records) {
        encodeRecord(record, content.size(), 0, content);
    }
    auto replaced = std::unique_ptr<File>();
    const auto error = errorOf([this, &content, &replaced]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(replaced, replaceAtomically(this->folder, this->name, content));
        return {};
    });
    if (error) {
        return this->fail(*error);
    }
    this->file = std::move(replaced);
    this->hasTail = false;
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
