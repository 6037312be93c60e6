#include "sapphirespool/Standin/database.h"

#include <catch2/catch.hpp>

namespace sapphirespool::standin
{

namespace
{

using platform::ExecuteStatus;

auto request(std::string sql, bool write) -> platform::ExecuteRequest
{
    auto made = platform::ExecuteRequest();
    made.sql = std::move(sql);
    made.write = write;
    return made;
}

struct BookingTable
{
    std::unique_ptr<Database> database = makeDatabase();

    BookingTable()
    {
        this->run("create table booking(id integer primary key, label text)", true);
        this->run("insert into booking values (1, 'shears')", true);
    }

    auto run(std::string sql, bool write) -> platform::ExecuteReply
    {
        return this->database->run(request(std::move(sql), write));
    }

    auto count() -> boost::json::value
    {
        return this->run("select count(*) from booking", false).rows.at(0).at(0);
    }
};

} // namespace

TEST_CASE("a read cannot write, and no statement can end a transaction")
{
    auto table = BookingTable();
    CHECK(table.run("delete from booking", false).status == ExecuteStatus::Failed);
    CHECK(table.run("commit", true).status == ExecuteStatus::Failed);
    CHECK(table.run("savepoint s", true).status == ExecuteStatus::Failed);
    CHECK(table.run("attach ':memory:' as other", true).status == ExecuteStatus::Failed);
    CHECK(table.count() == 1);
}

TEST_CASE("statements run after others without leaving a trace")
{
    auto table = BookingTable();
    const auto earlier = std::vector<LoggedStatement>{{"insert into booking values (2, 'combs')", {}, 1}};
    const auto seen = table.database->runAfter(earlier, request("select count(*) from booking", false));
    CHECK(seen.rows == boost::json::array{boost::json::array{2}});
    CHECK(table.count() == 1);
}

TEST_CASE("a commit takes effect as a whole or not at all")
{
    auto table = BookingTable();
    const auto broken = std::vector<LoggedStatement>{{"insert into booking values (2, 'combs')", {}, 1}, {"insert into booking values (1, 'again')", {}, 1}};
    CHECK(table.database->commit(broken));
    CHECK(table.count() == 1);
    CHECK_FALSE(table.database->commit(std::span(broken).first(1)));
    CHECK(table.count() == 2);
}

TEST_CASE("a commit fails if another transaction changed its rows")
{
    // The caller was told that its update changed one row. Meanwhile another transaction deleted the row; a commit would
    // acknowledge an update of nothing.
    auto table = BookingTable();
    const auto update = std::vector<LoggedStatement>{{"update booking set label = 'x' where id = 1", {}, 1}};
    table.run("delete from booking", true);
    CHECK(table.database->commit(update));
}

TEST_CASE("a cleared database is empty")
{
    auto table = BookingTable();
    table.database->clear();
    CHECK(table.run("select * from booking", false).status == ExecuteStatus::Failed);
}

} // namespace sapphirespool::standin
