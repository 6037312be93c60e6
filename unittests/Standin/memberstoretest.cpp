#include "sapphirespool/Standin/memberstore.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace sapphirespool::standin
{

namespace
{

/// A folder of this test process that goes with the object.
struct TemporaryFolder
{
    std::filesystem::path path = std::filesystem::temp_directory_path() / ("sapphirespool-store-" + std::to_string(getpid()));

    TemporaryFolder()
    {
        std::filesystem::remove_all(this->path);
    }

    ~TemporaryFolder()
    {
        std::filesystem::remove_all(this->path);
    }
};

auto entry(std::uint64_t term, std::string sql) -> LogEntry
{
    return LogEntry{term, {LoggedStatement{std::move(sql), {7, "x\ny"}, 1}}};
}

} // namespace

TEST_CASE("a file store gives back what it was given")
{
    const auto folder = TemporaryFolder();
    {
        const auto store = makeFileStore(folder.path);
        CHECK(store->loadState().term == 0);
        store->saveState(MemberState{5, platform::Role::Primary, 2, 1, "", "", 0});
        store->append(entry(1, "first"));
        store->append(entry(1, "second"));
        store->append(entry(5, "third"));
        store->cut(2);
        store->append(entry(5, "other third"));
    }
    const auto store = makeFileStore(folder.path);
    CHECK(store->loadState().term == 5);
    CHECK(store->loadState().role == platform::Role::Primary);
    const auto log = store->loadLog();
    REQUIRE(log.size() == 3);
    CHECK(log[2].statements.front().sql == "other third");
    CHECK(log[0].statements.front().params == boost::json::array{7, "x\ny"});
}

TEST_CASE("a half written last entry is dropped")
{
    // The process dies in the middle of an append, before it answered for it. The next start must neither fail nor glue the
    // next entry to the rest.
    const auto folder = TemporaryFolder();
    makeFileStore(folder.path)->append(entry(1, "whole"));
    std::ofstream(folder.path / "log.jsonl", std::ios::app) << R"({"term":1,"stat)";
    makeFileStore(folder.path)->append(entry(1, "after"));
    const auto log = makeFileStore(folder.path)->loadLog();
    REQUIRE(log.size() == 2);
    CHECK(log[1].statements.front().sql == "after");
}

} // namespace sapphirespool::standin
