// database.h: the engine of a stand-in database, SQLite in memory.
//
// Statements replicate as text, so what depends on chance or the clock (random(), datetime('now')) differs between members.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Standin/replicationlog.h"

#include <memory>
#include <optional>
#include <span>
#include <string>

namespace sapphirespool::standin
{

/// Runs statements on a database of its own.
class Database
{
public:
    Database() = default;
    Database(const Database &) = delete;
    auto operator=(const Database &) -> Database & = delete;
    virtual ~Database() = default;

    /// Runs one statement on its own. The reply's term and position are left to the caller.
    virtual auto run(const platform::ExecuteRequest &request) -> platform::ExecuteReply = 0;

    /// Runs one statement as if \p earlier had run before it, and undoes all of them.
    virtual auto runAfter(std::span<const LoggedStatement> earlier, const platform::ExecuteRequest &request) -> platform::ExecuteReply = 0;

    /// Runs \p statements as a whole, each with the changes it had before.
    /// \return nothing, or what went wrong; then none of them took effect
    virtual auto commit(std::span<const LoggedStatement> statements) -> std::optional<std::string> = 0;

    /// Runs an entry of the log, which succeeded on the primary.
    virtual auto apply(const LogEntry &entry) -> void = 0;

    /// Drops everything.
    virtual auto clear() -> void = 0;
};

/// \return an empty database in memory
/// \throws std::runtime_error if SQLite cannot open one
[[nodiscard]] auto makeDatabase() -> std::unique_ptr<Database>;

} // namespace sapphirespool::standin
