// memberstore.h: what a stand-in member keeps over a restart.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Standin/replicationlog.h"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespool::standin
{

/// Term and part of a member.
struct MemberState
{
    /// Highest term that it has seen.
    std::uint64_t term = 0;
    platform::Role role = platform::Role::Fenced;
    /// Where its log ended when it was promoted in `term`.
    std::uint64_t promotedAt = 0;
    /// Term of the last entry at that time.
    std::uint64_t promotedLastTerm = 0;
    /// Primary that it follows.
    std::string primary;
    std::string primaryAddress;
    std::uint16_t primaryPort = 0;
};
BOOST_DESCRIBE_STRUCT(MemberState, (), (term, role, promotedAt, promotedLastTerm, primary, primaryAddress, primaryPort))

/// Durable state of one member. Each call returns once its effect would survive a crash.
class MemberStore
{
public:
    MemberStore() = default;
    MemberStore(const MemberStore &) = delete;
    auto operator=(const MemberStore &) -> MemberStore & = delete;
    virtual ~MemberStore() = default;

    [[nodiscard]] virtual auto loadState() -> MemberState = 0;
    [[nodiscard]] virtual auto loadLog() -> std::vector<LogEntry> = 0;

    virtual auto saveState(const MemberState &state) -> void = 0;
    virtual auto append(const LogEntry &entry) -> void = 0;
    /// Drops the entries above \p position.
    virtual auto cut(std::uint64_t position) -> void = 0;
};

/// \return a store that lives as long as the object, for members that restart within one process
[[nodiscard]] auto makeMemoryStore() -> std::shared_ptr<MemberStore>;

/// \return a store in files of \p folder, which is created
/// \throws std::runtime_error naming the file that cannot be used
[[nodiscard]] auto makeFileStore(const std::filesystem::path &folder) -> std::shared_ptr<MemberStore>;

} // namespace sapphirespool::standin
