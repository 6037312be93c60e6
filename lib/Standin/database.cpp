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

class SqliteDatabase : public Database
{
public:
    SqliteDatabase()
    {
        auto *opened = static_cast<sqlite3 *>(nullptr);
        const auto status = sqlite3_open(":memory:", &opened);
        this->connection.reset(opened);
        if (status != SQLITE_OK) {
            throw std::runtime_error("cannot open a database in memory");
        }
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
        auto index = 0;
        for (const auto &param : request.params) {
            bind(statement.get(), ++index, param);
        }
        return this->collect(statement.get(), std::move(reply));
    }

private:
    auto collect(sqlite3_stmt *statement, platform::ExecuteReply reply) -> platform::ExecuteReply
    {
        const auto columns = sqlite3_column_count(statement);
        for (auto column = 0; column < columns; ++column) {
            reply.columns.emplace_back(sqlite3_column_name(statement, column));
        }
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
        if (sqlite3_stmt_readonly(statement) == 0) {
            reply.changes = static_cast<std::uint64_t>(sqlite3_changes(this->connection.get()));
        }
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

    ConnectionPointer connection;
};

} // namespace

auto makeDatabase() -> std::unique_ptr<Database>
{
    return std::make_unique<SqliteDatabase>();
}

} // namespace sapphirespool::standin
