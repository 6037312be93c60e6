#include "sapphirespool/Storage/folder.h"

#include <boost/leaf/error.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <system_error>
#include <utility>

namespace sapphirespool::storage
{

namespace
{

constexpr auto lockName = "lock";
constexpr auto fileMode = mode_t(0600);

auto operationFailed(std::string_view operation, std::string_view name) -> StorageError
{
    const auto reason = std::error_code(errno, std::generic_category()).message();
    return {StorageErrorKind::OperationFailed,
            std::string(operation) + " of " + std::string(name) + " failed: " + reason + "; free or repair the disk of the data folder and restart"};
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
                return boost::leaf::new_error(operationFailed("write", this->name));
            }
            data = data.subspan(static_cast<std::size_t>(written));
        }
        return {};
    }

    auto sync() -> boost::leaf::result<void> override
    {
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
        return this->open(name, O_CREAT | O_TRUNC, std::nullopt);
    }

    auto openTruncated(std::string_view name, std::size_t size) -> boost::leaf::result<std::unique_ptr<File>> override
    {
        return this->open(name, 0, size);
    }

    auto read(std::string_view name) -> boost::leaf::result<Bytes> override
    {
        const auto file = FileDescriptor(::openat(this->descriptor.get(), std::string(name).c_str(), O_RDONLY | O_CLOEXEC));
        struct stat status = {};
        if (file.get() < 0 || ::fstat(file.get(), &status) != 0) {
            return boost::leaf::new_error(operationFailed("opening", name));
        }
        auto content = Bytes(static_cast<std::size_t>(status.st_size));
        auto filled = std::size_t(0);
        while (filled < content.size()) {
            const auto bytesRead = ::read(file.get(), content.data() + filled, content.size() - filled);
            if (bytesRead < 0 && errno == EINTR) {
                continue;
            }
            if (bytesRead <= 0) {
                return boost::leaf::new_error(operationFailed("reading", name));
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
            return boost::leaf::new_error(operationFailed("renaming", from));
        }
        return {};
    }

    auto remove(std::string_view name) -> boost::leaf::result<void> override
    {
        if (::unlinkat(this->descriptor.get(), std::string(name).c_str(), 0) != 0) {
            return boost::leaf::new_error(operationFailed("removal", name));
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
    auto open(std::string_view name, int flags, std::optional<std::size_t> size) -> boost::leaf::result<std::unique_ptr<File>>
    {
        const auto text = std::string(name);
        auto file = FileDescriptor(::openat(this->descriptor.get(), text.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | flags, fileMode));
        if (file.get() < 0) {
            return boost::leaf::new_error(operationFailed("opening", name));
        }
        if (size && ::ftruncate(file.get(), static_cast<off_t>(*size)) != 0) {
            return boost::leaf::new_error(operationFailed("truncation", name));
        }
        return std::unique_ptr<File>(std::make_unique<PosixFile>(std::move(file), text));
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
    auto folder = FileDescriptor(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder.get() < 0) {
        return boost::leaf::new_error(operationFailed("opening", path.string()));
    }
    auto lock = FileDescriptor(::openat(folder.get(), lockName, O_RDWR | O_CREAT | O_CLOEXEC, fileMode));
    if (lock.get() < 0) {
        return boost::leaf::new_error(operationFailed("opening", lockName));
    }
    // Two processes that write to one log would interleave their records, and each would acknowledge records that the other overwrites.
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
        return boost::leaf::new_error(
            StorageError{StorageErrorKind::Locked, "data folder " + path.string() + " is used by another process; stop it or choose another folder"});
    }
    return std::unique_ptr<Folder>(std::make_unique<PosixFolder>(path, std::move(folder), std::move(lock)));
}

} // namespace sapphirespool::storage
