#include "sapphirespool/Storage/folder.h"

#include <boost/leaf/error.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace sapphirespool::storage
{

namespace
{

constexpr auto lockName = "lock";
constexpr auto fileMode = mode_t(0600);

auto describe(std::string_view operation, std::string_view name, int reason) -> std::string
{
    return std::string(operation) + " of " + std::string(name) + " failed: " + std::error_code(reason, std::generic_category()).message();
}

/// \return the error of a failed operation that is not repeated
auto operationFailed(std::string_view operation, std::string_view name) -> StorageError
{
    return {StorageErrorKind::OperationFailed, describe(operation, name, errno) + "; free or repair the disk of the data folder and restart"};
}

/// \return the error of a failed operation that needs space on the disk
auto writeFailed(std::string_view operation, std::string_view name) -> StorageError
{
    const auto reason = errno;
    if (reason == ENOSPC || reason == EDQUOT || reason == EFBIG) {
        return {StorageErrorKind::Full, describe(operation, name, reason) + "; free space on the disk of the data folder"};
    }
    return operationFailed(operation, name);
}

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor
{
public:
    explicit FileDescriptor(int fd)
        : fd(fd)
    {
    }

    FileDescriptor(FileDescriptor &&other) noexcept
        : fd(std::exchange(other.fd, -1))
    {
    }

    FileDescriptor(const FileDescriptor &) = delete;
    auto operator=(const FileDescriptor &) -> FileDescriptor & = delete;
    auto operator=(FileDescriptor &&) -> FileDescriptor & = delete;

    ~FileDescriptor()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
        }
    }

    [[nodiscard]] auto get() const -> int
    {
        return this->fd;
    }

private:
    int fd;
};

class PosixFile : public File
{
public:
    PosixFile(FileDescriptor descriptor, std::string name)
        : descriptor(std::move(descriptor))
        , name(std::move(name))
    {
    }

    auto append(std::span<const std::byte> data) -> boost::leaf::result<void> override
    {
        while (!data.empty()) {
            const auto written = ::write(this->descriptor.get(), data.data(), data.size());
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written < 0) {
                return boost::leaf::new_error(writeFailed("write", this->name));
            }
            data = data.subspan(static_cast<std::size_t>(written));
        }
        return {};
    }

    auto truncate(std::size_t size) -> boost::leaf::result<void> override
    {
        if (::ftruncate(this->descriptor.get(), static_cast<off_t>(size)) != 0) {
            return boost::leaf::new_error(writeFailed("truncation", this->name));
        }
        return {};
    }

    auto sync() -> boost::leaf::result<void> override
    {
        // Never StorageErrorKind::Full, also for ENOSPC: the pages that could not be written may be gone, so the sync cannot be repeated.
        if (::fdatasync(this->descriptor.get()) != 0) {
            return boost::leaf::new_error(operationFailed("sync", this->name));
        }
        return {};
    }

private:
    FileDescriptor descriptor;
    std::string name;
};

class PosixFolder : public Folder
{
public:
    PosixFolder(std::filesystem::path path, FileDescriptor descriptor, FileDescriptor lock)
        : path(std::move(path))
        , descriptor(std::move(descriptor))
        , lock(std::move(lock))
    {
    }

    auto create(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>> override
    {
        return this->open(name, O_CREAT | O_TRUNC);
    }

    auto open(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>> override
    {
        return this->open(name, 0);
    }

    auto read(std::string_view name) -> boost::leaf::result<Bytes> override
    {
        const auto file = FileDescriptor(::openat(this->descriptor.get(), std::string(name).c_str(), O_RDONLY | O_CLOEXEC));
        struct stat status = {};
        if (file.get() < 0 || ::fstat(file.get(), &status) != 0) {
            return boost::leaf::new_error(operationFailed("opening", this->pathOf(name)));
        }
        auto content = Bytes(static_cast<std::size_t>(status.st_size));
        auto filled = std::size_t(0);
        while (filled < content.size()) {
            const auto bytesRead = ::read(file.get(), content.data() + filled, content.size() - filled);
            if (bytesRead < 0 && errno == EINTR) {
                continue;
            }
            if (bytesRead <= 0) {
                return boost::leaf::new_error(operationFailed("reading", this->pathOf(name)));
            }
            filled += static_cast<std::size_t>(bytesRead);
        }
        return content;
    }

    auto list() -> boost::leaf::result<std::vector<std::string>> override
    {
        auto names = std::vector<std::string>();
        auto error = std::error_code();
        for (const auto &entry : std::filesystem::directory_iterator(this->path, error)) {
            names.push_back(entry.path().filename().string());
        }
        if (error) {
            errno = error.value();
            return boost::leaf::new_error(operationFailed("listing", this->path.string()));
        }
        return names;
    }

    auto rename(std::string_view from, std::string_view to) -> boost::leaf::result<void> override
    {
        const auto folder = this->descriptor.get();
        if (::renameat(folder, std::string(from).c_str(), folder, std::string(to).c_str()) != 0) {
            return boost::leaf::new_error(writeFailed("renaming", this->pathOf(from)));
        }
        return {};
    }

    auto remove(std::string_view name) -> boost::leaf::result<void> override
    {
        if (::unlinkat(this->descriptor.get(), std::string(name).c_str(), 0) != 0) {
            return boost::leaf::new_error(operationFailed("removal", this->pathOf(name)));
        }
        return {};
    }

    auto sync() -> boost::leaf::result<void> override
    {
        if (::fsync(this->descriptor.get()) != 0) {
            return boost::leaf::new_error(operationFailed("sync", this->path.string()));
        }
        return {};
    }

private:
    auto open(std::string_view name, int flags) -> boost::leaf::result<std::unique_ptr<File>>
    {
        auto file = FileDescriptor(::openat(this->descriptor.get(), std::string(name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | flags, fileMode));
        if (file.get() < 0) {
            return boost::leaf::new_error(writeFailed("opening", this->pathOf(name)));
        }
        return std::unique_ptr<File>(std::make_unique<PosixFile>(std::move(file), this->pathOf(name)));
    }

    /// \return the path of the file \p name for messages, so that an operator sees which disk is meant
    [[nodiscard]] auto pathOf(std::string_view name) const -> std::string
    {
        return (this->path / name).string();
    }

    std::filesystem::path path;
    FileDescriptor descriptor;
    FileDescriptor lock;
};

} // namespace

auto openPosixFolder(const std::filesystem::path &path) -> boost::leaf::result<std::unique_ptr<Folder>>
{
    auto error = std::error_code();
    std::filesystem::create_directories(path, error);
    if (error) {
        errno = error.value();
        return boost::leaf::new_error(writeFailed("creation", path.string()));
    }
    // Its default action ends the process at the first write beyond the file size limit.
    std::signal(SIGXFSZ, SIG_IGN);
    auto folder = FileDescriptor(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder.get() < 0) {
        return boost::leaf::new_error(operationFailed("opening", path.string()));
    }
    auto lock = FileDescriptor(::openat(folder.get(), lockName, O_RDWR | O_CREAT | O_CLOEXEC, fileMode));
    if (lock.get() < 0) {
        return boost::leaf::new_error(writeFailed("opening", (path / lockName).string()));
    }
    // Two processes that write to one log would interleave their records, and each would acknowledge records that the other overwrites.
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
        return boost::leaf::new_error(
            StorageError{StorageErrorKind::Locked, "data folder " + path.string() + " is used by another process; stop it or choose another folder"});
    }
    return std::unique_ptr<Folder>(std::make_unique<PosixFolder>(path, std::move(folder), std::move(lock)));
}

} // namespace sapphirespool::storage
