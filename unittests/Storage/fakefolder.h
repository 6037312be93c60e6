// fakefolder.h: a folder in memory whose operations fail on demand and that forgets what was not synced.
#pragma once

#include "sapphirespool/Storage/folder.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirespool::storage
{

/// What a crash leaves of the operations that were not synced.
enum class CrashLeaves {
    Nothing,
    /// All but the last byte of each file.
    TornTail,
    /// All, with the first unsynced byte wrong: later blocks reached the disk before earlier ones.
    HoleInTail,
    Everything,
};

/// Counts its operations; the one with the chosen number fails, and all after it too.
class FakeFolder : public Folder
{
public:
    auto create(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>> override;
    auto openAt(std::string_view name, std::size_t size) -> boost::leaf::result<std::unique_ptr<File>> override;
    auto read(std::string_view name) -> boost::leaf::result<Bytes> override;
    auto list() -> boost::leaf::result<std::vector<std::string>> override;
    auto rename(std::string_view from, std::string_view to) -> boost::leaf::result<void> override;
    auto remove(std::string_view name) -> boost::leaf::result<void> override;
    auto sync() -> boost::leaf::result<void> override;

    /// Lets the operation \p number from now, from 0, fail.
    auto failAt(std::uint64_t number) -> void;
    /// Drops what did not last and lets all operations succeed again.
    auto crash(CrashLeaves leaves) -> void;
    /// Flips a bit of a file as a bad disk would.
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

    auto step() -> boost::leaf::result<void>;

    Names durable;
    Names names;
    std::uint64_t count = 0;
    std::optional<std::uint64_t> failFrom;
};

} // namespace sapphirespool::storage
