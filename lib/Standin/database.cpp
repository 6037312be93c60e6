#include "sapphirespool/Standin/database.h"

#include <boost/json/serialize.hpp>
#include <sqlite3.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

struct ConnectionCloser
{
    auto operator()(sqlite3 *connection) const -> void
    {
        sqlite3_close(connection);
    }
};

struct StatementFinalizer
{
    auto operator()(sqlite3_stmt *statement) const -> void
    {
        sqlite3_finalize(statement);
    }
};

using ConnectionPointer = std::unique_ptr<sqlite3, ConnectionCloser>;
using StatementPointer = std::unique_ptr<sqlite3_stmt, StatementFinalizer>;

auto bind(sqlite3_stmt *statement, int index, const boost::json::value &value) -> void
{
    if (value.is_null()) {
        sqlite3_bind_null(statement, index);
    } else if (value.is_bool()) {
        sqlite3_bind_int(statement, index, value.as_bool() ? 1 : 0);
    } else if (value.is_int64()) {
        sqlite3_bind_int64(statement, index, value.as_int64());
    } else if (value.is_double()) {
        sqlite3_bind_double(statement, index, value.as_double());
    } else {
        const auto text = value.is_string() ? std::string(value.as_string()) : boost::json::serialize(value);
        sqlite3_bind_text(statement, index, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    }
}

auto columnValue(sqlite3_stmt *statement, int column) -> boost::json::value
{
    switch (sqlite3_column_type(statement, column)) {
    case SQLITE_INTEGER:
        return static_cast<std::int64_t>(sqlite3_column_int64(statement, column));
    case SQLITE_FLOAT:
        return sqlite3_column_double(statement, column);
    case SQLITE_NULL:
        return nullptr;
    default: {
        const auto *const text = reinterpret_cast<const char *>(sqlite3_column_text(statement, column));
        const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement, column));
        return boost::json::string(text, size);
    }
    }
}

/// Statements that a caller may not send: they would end or nest the transactions that the stand-in itself opens.
auto authorize(void *internal, int action, const char *, const char *, const char *, const char *) -> int
{
    if (*static_cast<const bool *>(internal)) {
        return SQLITE_OK;
    }
    switch (action) {
    case SQLITE_TRANSACTION:
    case SQLITE_SAVEPOINT:
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
    case SQLITE_PRAGMA:
        return SQLITE_DENY;
    default:
        return SQLITE_OK;
    }
}

auto requestFor(const LoggedStatement &statement) -> platform::ExecuteRequest
{
    auto request = platform::ExecuteRequest();
    request.write = true;
    request.sql = statement.sql;
    request.params = statement.params;
    return request;
}

class SqliteDatabase : public Database
{
public:
    SqliteDatabase()
    {
        this->open();
    }

    auto run(const platform::ExecuteRequest &request) -> platform::ExecuteReply override
    {
        auto reply = platform::ExecuteReply();
        reply.request = request.request;
        auto *prepared = static_cast<sqlite3_stmt *>(nullptr);
        const auto size = static_cast<int>(request.sql.size());
        const auto status = sqlite3_prepare_v2(this->connection.get(), request.sql.data(), size, &prepared, nullptr);
        const auto statement = StatementPointer(prepared);
        if (status != SQLITE_OK || statement == nullptr) {
            return this->failed(std::move(reply));
        }
        if (!request.write && sqlite3_stmt_readonly(statement.get()) == 0) {
            // On a replica it would change data that its primary does not have.
            reply.status = platform::ExecuteStatus::Failed;
            reply.detail = "the statement writes; send it with access write";
            return reply;
        }
        auto index = 0;
        for (const auto &param : request.params) {
            bind(statement.get(), ++index, param);
        }
        return this->collect(statement.get(), std::move(reply));
    }

    auto runAfter(std::span<const LoggedStatement> earlier, const platform::ExecuteRequest &request) -> platform::ExecuteReply override
    {
        this->control("begin");
        auto reply = platform::ExecuteReply();
        if (const auto error = this->replay(earlier)) {
            reply.request = request.request;
            reply.status = platform::ExecuteStatus::Failed;
            reply.detail = *error;
        } else {
            reply = this->run(request);
        }
        this->control("rollback");
        return reply;
    }

    auto commit(std::span<const LoggedStatement> statements) -> std::optional<std::string> override
    {
        this->control("begin");
        auto error = this->replay(statements);
        this->control(error ? "rollback" : "commit");
        return error;
    }

    auto apply(const LogEntry &entry) -> void override
    {
        this->control("begin");
        for (const auto &statement : entry.statements) {
            this->run(requestFor(statement));
        }
        this->control("commit");
    }

    auto clear() -> void override
    {
        this->open();
    }

private:
    auto open() -> void
    {
        auto *opened = static_cast<sqlite3 *>(nullptr);
        const auto status = sqlite3_open(":memory:", &opened);
        this->connection.reset(opened);
        if (status != SQLITE_OK) {
            throw std::runtime_error("cannot open a database in memory");
        }
        sqlite3_set_authorizer(opened, authorize, &this->internal);
    }

    auto control(const char *sql) -> void
    {
        this->internal = true;
        // A failure that SQLite answers by rolling back leaves no transaction to end.
        sqlite3_exec(this->connection.get(), sql, nullptr, nullptr, nullptr);
        this->internal = false;
    }

    /// A statement that now changes other rows than its caller was told shows that another transaction came between; the
    /// caller would otherwise hold an answer that is not what was committed.
    auto replay(std::span<const LoggedStatement> statements) -> std::optional<std::string>
    {
        for (const auto &statement : statements) {
            const auto reply = this->run(requestFor(statement));
            if (reply.status != platform::ExecuteStatus::Done) {
                return reply.detail;
            }
            if (reply.changes != statement.changes) {
                return "another transaction changed the same rows; repeat the transaction";
            }
        }
        return std::nullopt;
    }

    auto collect(sqlite3_stmt *statement, platform::ExecuteReply reply) -> platform::ExecuteReply
    {
        const auto columns = sqlite3_column_count(statement);
        for (auto column = 0; column < columns; ++column) {
            reply.columns.emplace_back(sqlite3_column_name(statement, column));
        }
        const auto before = sqlite3_total_changes(this->connection.get());
        auto status = sqlite3_step(statement);
        for (; status == SQLITE_ROW; status = sqlite3_step(statement)) {
            auto row = boost::json::array();
            for (auto column = 0; column < columns; ++column) {
                row.push_back(columnValue(statement, column));
            }
            reply.rows.push_back(std::move(row));
        }
        if (status != SQLITE_DONE) {
            return this->failed(std::move(reply));
        }
        reply.changes = static_cast<std::uint64_t>(sqlite3_total_changes(this->connection.get()) - before);
        return reply;
    }

    auto failed(platform::ExecuteReply reply) -> platform::ExecuteReply
    {
        reply.status = platform::ExecuteStatus::Failed;
        reply.detail = sqlite3_errmsg(this->connection.get());
        reply.columns.clear();
        reply.rows.clear();
        return reply;
    }

    bool internal = false;
    ConnectionPointer connection;
};

} // namespace

auto makeDatabase() -> std::unique_ptr<Database>
{
    return std::make_unique<SqliteDatabase>();
}

} // namespace sapphirespool::standin
