// folder.h: file operations for durable state, behind an interface so that tests can make each of them fail.
#pragma once

#include "sapphirespool/Storage/error.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <filesystem>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::storage
{

using Bytes = std::vector<std::byte>;

/// A file open for appending. Appended data is durable once sync() has succeeded.
class File
{
public:
    File() = default;
    File(const File &) = delete;
    auto operator=(const File &) -> File & = delete;
    virtual ~File() = default;

    /// Appends \p data. After a failure a part of it may have been appended.
    virtual auto append(std::span<const std::byte> data) -> boost::leaf::result<void> = 0;
    /// Drops all bytes from \p size on.
    virtual auto truncate(std::size_t size) -> boost::leaf::result<void> = 0;
    virtual auto sync() -> boost::leaf::result<void> = 0;
};

/// A folder without subfolders. Creations, renames and removals are durable once sync() has succeeded. Failures carry a StorageError.
class Folder
{
public:
    Folder() = default;
    Folder(const Folder &) = delete;
    auto operator=(const Folder &) -> Folder & = delete;
    virtual ~Folder() = default;

    /// Creates an empty file and opens it for appending. An existing file of that name is truncated.
    virtual auto create(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>> = 0;
    /// Opens an existing file for appending.
    virtual auto open(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>> = 0;
    virtual auto read(std::string_view name) -> boost::leaf::result<Bytes> = 0;
    virtual auto list() -> boost::leaf::result<std::vector<std::string>> = 0;
    /// Atomically renames the file \p from to \p to, replacing an existing file of that name.
    virtual auto rename(std::string_view from, std::string_view to) -> boost::leaf::result<void> = 0;
    virtual auto remove(std::string_view name) -> boost::leaf::result<void> = 0;
    virtual auto sync() -> boost::leaf::result<void> = 0;
};

/// Opens the folder at \p path, creating it if needed. The returned object holds an exclusive lock on the folder until it is destroyed.
/// From then on the process ignores SIGXFSZ, so that a write beyond the file size limit fails with StorageErrorKind::Full.
[[nodiscard]] auto openPosixFolder(const std::filesystem::path &path) -> boost::leaf::result<std::unique_ptr<Folder>>;

} // namespace sapphirespool::storage
