// database.h: the engine of a stand-in database, SQLite in memory.
#pragma once

#include "sapphirespool/Platform/messages.h"

#include <memory>

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

    /// Runs one statement. The reply's term and position are left to the caller.
    virtual auto run(const platform::ExecuteRequest &request) -> platform::ExecuteReply = 0;
};

/// \return an empty database in memory
/// \throws std::runtime_error if SQLite cannot open one
[[nodiscard]] auto makeDatabase() -> std::unique_ptr<Database>;

} // namespace sapphirespool::standin
