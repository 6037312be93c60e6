// fakefolder.h: an in-memory folder that injects failures and loses unsynced data in a simulated crash.
#pragma once

#include "sapphirespool/Storage/folder.h"

#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirespool::storage
{

/// Which unsynced operations survive a simulated crash.
enum class SurvivingWrites {
    None,
    /// Unsynced appends without the last byte of each file; unsynced creations, renames and removals are lost.
    TornTail,
    /// All, with the first unsynced byte of each file corrupted, as if later blocks had reached the disk before earlier ones.
    HoleInTail,
    All,
};

/// An in-memory folder that counts its modifying operations. From a chosen operation on, all of them fail until crash(). Its disk may be
/// full, from any thread.
class FakeFolder : public Folder
{
public:
    auto create(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>> override;
    auto open(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>> override;
    auto read(std::string_view name) -> boost::leaf::result<Bytes> override;
    auto list() -> boost::leaf::result<std::vector<std::string>> override;
    auto rename(std::string_view from, std::string_view to) -> boost::leaf::result<void> override;
    auto remove(std::string_view name) -> boost::leaf::result<void> override;
    auto sync() -> boost::leaf::result<void> override;

    /// Makes all operations fail after the next \p number ones.
    auto failAt(std::uint64_t number) -> void;
    /// Simulates a crash: drops the unsynced operations that \p survivors does not keep, and ends the failures.
    auto crash(SurvivingWrites survivors) -> void;
    /// Makes the disk reject what exceeds \p bytes in all files together: an append keeps the part that fits.
    auto limitSize(std::size_t bytes) -> void;
    /// Makes the disk reject every write, also one for which there is space, and truncations.
    auto rejectWrites(bool rejected) -> void;
    /// Makes the disk reject truncations, as a file system that copies on write may do while it is full.
    auto rejectTruncations(bool rejected) -> void;
    [[nodiscard]] auto rejectedWrites() const -> std::uint64_t;
    /// Flips one bit of the byte at \p offset, as a bad disk would.
    auto damage(std::string_view name, std::size_t offset) -> void;
    [[nodiscard]] auto operations() const -> std::uint64_t;

private:
    friend class FakeFile;

    struct Content
    {
        Bytes synced;
        Bytes present;
    };
    using Names = std::map<std::string, std::shared_ptr<Content>, std::less<>>;

    /// Counts an operation and fails it if failAt() says so.
    auto beginOperation() -> boost::leaf::result<void>;
    /// \return the bytes that may still be written
    [[nodiscard]] auto freeSize() const -> std::size_t;
    auto rejectWrite() -> boost::leaf::error_id;

    Names durable;
    Names names;
    std::atomic<std::uint64_t> operationCount = 0;
    std::optional<std::uint64_t> failFrom;
    std::atomic<std::size_t> sizeLimit = std::numeric_limits<std::size_t>::max();
    std::atomic<bool> writesRejected = false;
    std::atomic<bool> truncationsRejected = false;
    std::atomic<std::uint64_t> rejections = 0;
};

} // namespace sapphirespool::storage
