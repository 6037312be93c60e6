#include "sapphirespool/Storage/journal.h"
#include "Storage/fakefolder.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <functional>
#include <unistd.h>

namespace sapphirespool::storage
{

namespace
{

auto record(int value) -> Bytes
{
    return Bytes(20, static_cast<std::byte>(value));
}

/// \return the error of \p operation, if it failed
auto errorOf(const std::function<boost::leaf::result<void>()> &operation) -> std::optional<StorageError>
{
    return boost::leaf::try_handle_all(
        [&operation]() -> boost::leaf::result<std::optional<StorageError>> {
            BOOST_LEAF_CHECK(operation());
            return std::optional<StorageError>();
        },
        [](const StorageError &error) {
            return std::optional<StorageError>(error);
        },
        [] {
            return std::optional<StorageError>(StorageError{StorageErrorKind::OperationFailed, "untyped"});
        });
}

auto recordsOf(Folder &folder, std::vector<Bytes> &records) -> boost::leaf::result<void>
{
    BOOST_LEAF_AUTO(journal, Journal::open(folder, "log"));
    records = journal->takeRecords();
    return {};
}

/// The last record that a run of runWorkload() synced, and the last one that it tried to append.
struct Progress
{
    int synced = 0;
    int appended = 0;
};

/// Appends 12 records, syncs after every second one, and after the eighth one compacts the journal to the last four.
auto runWorkload(Folder &folder, Progress &progress) -> boost::leaf::result<void>
{
    constexpr auto records = 12;
    constexpr auto compactAfter = 8;
    BOOST_LEAF_AUTO(journal, Journal::open(folder, "log"));
    for (auto value = 1; value <= records; ++value) {
        progress.appended = value;
        BOOST_LEAF_CHECK(journal->append(record(value)));
        if (value % 2 == 0) {
            BOOST_LEAF_CHECK(journal->sync());
            progress.synced = value;
        }
        if (value == compactAfter) {
            const auto kept = std::vector<Bytes>{record(5), record(6), record(7), record(8)};
            BOOST_LEAF_CHECK(journal->replace(kept));
        }
    }
    return {};
}

/// Checks that a record written after a restart is recovered at the next restart, also if recovery truncated a torn write.
auto checkAppendsAfterRestart(FakeFolder &folder, std::size_t recoveredCount) -> void
{
    constexpr auto later = 100;
    auto records = std::vector<Bytes>();
    const auto error = errorOf([&folder, &records]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(journal, Journal::open(folder, "log"));
        BOOST_LEAF_CHECK(journal->append(record(later)));
        BOOST_LEAF_CHECK(journal->sync());
        return recordsOf(folder, records);
    });
    REQUIRE_FALSE(error.has_value());
    REQUIRE(records.size() == recoveredCount + 1);
    CHECK(records.back() == record(later));
}

auto checkAfterCrash(FakeFolder &folder, const Progress &progress) -> void
{
    auto records = std::vector<Bytes>();
    const auto error = errorOf([&folder, &records] {
        return recordsOf(folder, records);
    });
    REQUIRE_FALSE(error.has_value());
    auto last = 0;
    if (!records.empty()) {
        last = std::to_integer<int>(records.back().front());
        const auto first = std::to_integer<int>(records.front().front());
        CHECK((first == 1 || first == 5));
        CHECK(static_cast<int>(records.size()) == last - first + 1);
    }
    CHECK(last >= progress.synced);
    CHECK(last <= progress.appended);
    checkAppendsAfterRestart(folder, records.size());
}

} // namespace

TEST_CASE("a journal recovers all synced records after a failure of any write, sync or rename")
{
    // Guards against an accepted change that is gone after a restart, and against a VM that does not start.
    // Each operation fails in turn, the process ends, and the disk keeps none, a part, a part with a hole, or all of the unsynced data.
    // Recovery relies on the checksums of the records, and on files being replaced only once they are synced.
    auto completeRun = FakeFolder();
    auto unused = Progress();
    REQUIRE_FALSE(errorOf([&completeRun, &unused] {
                      return runWorkload(completeRun, unused);
                  }).has_value());
    for (const auto survivors : {SurvivingWrites::None, SurvivingWrites::TornTail, SurvivingWrites::HoleInTail, SurvivingWrites::All}) {
        for (auto number = std::uint64_t(0); number < completeRun.operations(); ++number) {
            auto folder = FakeFolder();
            folder.failAt(number);
            auto progress = Progress();
            REQUIRE(errorOf([&folder, &progress] {
                        return runWorkload(folder, progress);
                    }).has_value());
            folder.crash(survivors);
            checkAfterCrash(folder, progress);
        }
    }
}

TEST_CASE("a journal with a corrupted synced record fails to open, and the error names the remedy")
{
    // Guards against a VM that acknowledged a change, has lost it, and votes as if it had never had it.
    // A bad block destroys a record in the middle of the log. The later records prove that it had been synced.
    auto folder = FakeFolder();
    auto progress = Progress();
    REQUIRE_FALSE(errorOf([&folder, &progress] {
                      return runWorkload(folder, progress);
                  }).has_value());
    folder.damage("log", 70);
    auto records = std::vector<Bytes>();
    const auto error = errorOf([&folder, &records] {
        return recordsOf(folder, records);
    });
    REQUIRE(error.has_value());
    CHECK(error->kind == StorageErrorKind::Corrupt);
    CHECK(error->detail.find("empty the data folder") != std::string::npos);
}

TEST_CASE("a journal acknowledges nothing after a failed sync, even if the next sync would succeed")
{
    // Guards against an accepted change that is gone after a restart.
    // A sync fails and the operating system drops the dirty pages. A second sync reports success without having written them.
    auto folder = FakeFolder();
    auto outcomes = std::vector<bool>();
    const auto error = errorOf([&folder, &outcomes]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(journal, Journal::open(folder, "log"));
        BOOST_LEAF_CHECK(journal->append(record(1)));
        folder.failAt(0);
        outcomes.push_back(bool(journal->sync()));
        folder.crash(SurvivingWrites::None);
        outcomes.push_back(bool(journal->sync()));
        outcomes.push_back(bool(journal->append(record(2))));
        return {};
    });
    CHECK_FALSE(error.has_value());
    CHECK(outcomes == std::vector<bool>{false, false, false});
}

TEST_CASE("replaceFile leaves the old or the new content after a failure of any operation")
{
    for (const auto survivors : {SurvivingWrites::None, SurvivingWrites::TornTail, SurvivingWrites::HoleInTail, SurvivingWrites::All}) {
        constexpr auto operationsOfReplace = 5;
        for (auto number = std::uint64_t(0); number < operationsOfReplace; ++number) {
            auto folder = FakeFolder();
            auto content = std::optional<Bytes>();
            const auto replaced = errorOf([&folder, number]() -> boost::leaf::result<void> {
                BOOST_LEAF_CHECK(replaceFile(folder, "snapshot", record(1)));
                folder.failAt(number);
                return replaceFile(folder, "snapshot", record(2));
            });
            REQUIRE(replaced.has_value());
            folder.crash(survivors);
            REQUIRE_FALSE(errorOf([&folder, &content]() -> boost::leaf::result<void> {
                              BOOST_LEAF_ASSIGN(content, readFile(folder, "snapshot"));
                              return {};
                          }).has_value());
            REQUIRE(content.has_value());
            CHECK((*content == record(1) || *content == record(2)));
        }
    }
}

TEST_CASE("a data folder on disk is locked by one process and keeps its records")
{
    const auto path = std::filesystem::temp_directory_path() / ("sapphirespool-storage-" + std::to_string(::getpid()));
    std::filesystem::remove_all(path);
    auto records = std::vector<Bytes>();
    auto second = std::optional<StorageError>();
    const auto error = errorOf([&path, &records, &second]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(folder, openPosixFolder(path));
        second = errorOf([&path]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(openPosixFolder(path));
            return {};
        });
        auto progress = Progress();
        BOOST_LEAF_CHECK(runWorkload(*folder, progress));
        return recordsOf(*folder, records);
    });
    std::filesystem::remove_all(path);
    CHECK_FALSE(error.has_value());
    REQUIRE(second.has_value());
    CHECK(second->kind == StorageErrorKind::Locked);
    CHECK(records.size() == 8);
}

} // namespace sapphirespool::storage
