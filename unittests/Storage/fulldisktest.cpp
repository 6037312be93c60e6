#include "sapphirespool/Storage/journal.h"
#include "sapphirespool/Storage/reserve.h"

#include "Storage/fakefolder.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <optional>
#include <sys/resource.h>
#include <unistd.h>

namespace sapphirespool::storage
{

namespace
{

constexpr auto recordSize = std::size_t{20};

auto record(int value) -> Bytes
{
    return Bytes(recordSize, static_cast<std::byte>(value));
}

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

auto isFull(const std::optional<StorageError> &error) -> bool
{
    return error && error->kind == StorageErrorKind::Full;
}

/// A journal on a disk that fills up. Each function returns the error of the operation.
class JournalOnDisk
{
public:
    explicit JournalOnDisk(Folder &folder)
        : folder(folder)
    {
        REQUIRE_FALSE(this->open());
    }

    auto open() -> std::optional<StorageError>
    {
        this->journal.reset();
        return errorOf([this]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(this->journal, Journal::open(this->folder, "log"));
            return {};
        });
    }

    auto append(int value) -> std::optional<StorageError>
    {
        return errorOf([this, value] {
            return this->journal->append(record(value));
        });
    }

    auto sync() -> std::optional<StorageError>
    {
        return errorOf([this] {
            return this->journal->sync();
        });
    }

    auto discardUnsynced() -> std::optional<StorageError>
    {
        return errorOf([this] {
            return this->journal->discardUnsynced();
        });
    }

    auto replace(const std::vector<Bytes> &records) -> std::optional<StorageError>
    {
        return errorOf([this, &records] {
            return this->journal->replace(records);
        });
    }

    /// \return the first bytes of the records that are found when the journal is opened again
    auto reopen() -> std::vector<int>
    {
        REQUIRE_FALSE(this->open());
        auto values = std::vector<int>();
        for (const auto &found : this->journal->takeRecords()) {
            REQUIRE(found.size() == recordSize);
            values.push_back(std::to_integer<int>(found.front()));
        }
        return values;
    }

private:
    Folder &folder;
    std::unique_ptr<Journal> journal;
};

auto usedBytes(FakeFolder &folder, std::string_view name) -> std::size_t
{
    auto used = std::size_t(0);
    CHECK_FALSE(errorOf([&folder, name, &used]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(content, folder.read(name));
        used = content.size();
        return {};
    }));
    return used;
}

auto namesIn(FakeFolder &folder) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    CHECK_FALSE(errorOf([&folder, &names]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(names, folder.list());
        return {};
    }));
    return names;
}

auto hasFile(FakeFolder &folder, std::string_view name) -> bool
{
    const auto names = namesIn(folder);
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Limits the size of the files that this process writes while it lives.
class FileSizeLimit
{
public:
    explicit FileSizeLimit(rlim_t bytes)
    {
        REQUIRE(::getrlimit(RLIMIT_FSIZE, &this->former) == 0);
        const auto limited = rlimit{bytes, this->former.rlim_max};
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &limited) == 0);
    }

    ~FileSizeLimit()
    {
        ::setrlimit(RLIMIT_FSIZE, &this->former);
    }

    FileSizeLimit(const FileSizeLimit &) = delete;
    auto operator=(const FileSizeLimit &) -> FileSizeLimit & = delete;

private:
    rlimit former{};
};

} // namespace

// Guards against a control VM that acknowledges nothing until its restart because its disk was full for a moment.
TEST_CASE("a journal goes on after an append that a full disk rejected")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    REQUIRE_FALSE(journal.append(1));
    REQUIRE_FALSE(journal.sync());
    folder.limitSize(usedBytes(folder, "log") + 30);
    CHECK(isFull(journal.append(2)));
    CHECK(isFull(journal.append(2)));
    CHECK_FALSE(journal.sync());
    folder.limitSize(1000);
    CHECK_FALSE(journal.append(3));
    CHECK_FALSE(journal.sync());
    CHECK(journal.reopen() == std::vector<int>{1, 3});
}

// Guards against a record that was never acknowledged but is found after a crash, and against a record behind the remains of another one.
TEST_CASE("the written part of a rejected append is cut before anything follows it, also if it cannot be cut at once")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    REQUIRE_FALSE(journal.append(1));
    REQUIRE_FALSE(journal.sync());
    const auto before = usedBytes(folder, "log");
    folder.limitSize(before + 30);
    folder.rejectTruncations(true);
    REQUIRE(isFull(journal.append(2)));
    REQUIRE(usedBytes(folder, "log") == before + 30);
    CHECK(isFull(journal.append(2)));
    folder.limitSize(1000);
    CHECK(isFull(journal.append(2)));
    folder.rejectTruncations(false);
    CHECK_FALSE(journal.append(3));
    CHECK_FALSE(journal.sync());
    CHECK(journal.reopen() == std::vector<int>{1, 3});
}

// Guards against an accepted change that is gone, or a start that is refused, after the process was killed while its disk was full.
TEST_CASE("a journal that was killed while appends were rejected opens with what was synced")
{
    for (const auto survivors : {SurvivingWrites::None, SurvivingWrites::TornTail, SurvivingWrites::HoleInTail, SurvivingWrites::All}) {
        for (const auto cut : {true, false}) {
            auto folder = FakeFolder();
            auto journal = JournalOnDisk(folder);
            REQUIRE_FALSE(journal.append(1));
            REQUIRE_FALSE(journal.sync());
            folder.limitSize(usedBytes(folder, "log") + 30);
            folder.rejectTruncations(!cut);
            REQUIRE(isFull(journal.append(2)));
            folder.crash(survivors);
            CHECK(journal.reopen() == std::vector<int>{1});
            folder.limitSize(1000);
            folder.rejectTruncations(false);
            CHECK_FALSE(journal.append(3));
            CHECK_FALSE(journal.sync());
            CHECK(journal.reopen() == std::vector<int>{1, 3});
        }
    }
}

// Guards against entries that stand in the log twice after a batch was rejected in its middle and written again.
TEST_CASE("discardUnsynced drops what was appended since the last sync")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    REQUIRE_FALSE(journal.append(1));
    REQUIRE_FALSE(journal.sync());
    REQUIRE_FALSE(journal.append(2));
    folder.limitSize(usedBytes(folder, "log") + 30);
    REQUIRE(isFull(journal.append(3)));
    CHECK_FALSE(journal.discardUnsynced());
    folder.limitSize(1000);
    CHECK_FALSE(journal.append(2));
    CHECK_FALSE(journal.append(3));
    CHECK_FALSE(journal.sync());
    CHECK(journal.reopen() == std::vector<int>{1, 2, 3});
}

// Guards against a log or snapshot that is lost, and space that stays taken, because its replacement did not fit on the disk.
TEST_CASE("a replacement that a full disk rejects leaves the former file and no temporary one, and can be repeated")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    REQUIRE_FALSE(journal.append(1));
    REQUIRE_FALSE(journal.append(2));
    REQUIRE_FALSE(journal.sync());
    const auto used = usedBytes(folder, "log");
    for (const auto space : {std::size_t{0}, std::size_t{30}, std::size_t{80}}) {
        folder.limitSize(used + space);
        CHECK(isFull(journal.replace({record(3), record(4), record(5)})));
        CHECK(namesIn(folder) == std::vector<std::string>{"log"});
        CHECK(isFull(errorOf([&folder] {
            return replaceFile(folder, "snapshot", Bytes(200));
        })));
        CHECK(namesIn(folder) == std::vector<std::string>{"log"});
    }
    folder.limitSize(1000);
    CHECK_FALSE(journal.append(3));
    CHECK_FALSE(journal.sync());
    CHECK(journal.reopen() == std::vector<int>{1, 2, 3});
    CHECK_FALSE(journal.replace({record(3), record(4), record(5)}));
    CHECK(journal.reopen() == std::vector<int>{3, 4, 5});
}

// Guards against a process that cannot start, or ends again and again, until there is space.
TEST_CASE("a journal opens on a disk that rejects every write, also with a torn end")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    REQUIRE_FALSE(journal.append(1));
    REQUIRE_FALSE(journal.sync());
    REQUIRE_FALSE(journal.append(2));
    folder.crash(SurvivingWrites::TornTail);
    folder.rejectWrites(true);
    CHECK(journal.reopen() == std::vector<int>{1});
    CHECK(isFull(journal.append(3)));
    folder.rejectWrites(false);
    CHECK_FALSE(journal.append(3));
    CHECK_FALSE(journal.sync());
    CHECK(journal.reopen() == std::vector<int>{1, 3});
}

// Guards against an old record that stands behind a new one after two crashes with a full disk in between.
TEST_CASE("a torn end that could not be cut at the start is cut durably before the first append")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    REQUIRE_FALSE(journal.append(1));
    REQUIRE_FALSE(journal.sync());
    REQUIRE_FALSE(journal.append(2));
    REQUIRE_FALSE(journal.append(3));
    folder.crash(SurvivingWrites::HoleInTail);
    folder.rejectWrites(true);
    CHECK(journal.reopen() == std::vector<int>{1});
    folder.rejectWrites(false);
    const auto torn = usedBytes(folder, "log");
    REQUIRE_FALSE(journal.append(4));
    REQUIRE(usedBytes(folder, "log") < torn);
    folder.crash(SurvivingWrites::None);
    CHECK(usedBytes(folder, "log") < torn);
    CHECK(journal.reopen() == std::vector<int>{1});
}

// Guards against a disk that is taken for healthy although its sync failed: the operating system may have dropped pages.
TEST_CASE("a sync that fails while the disk is full is permanent")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    REQUIRE_FALSE(journal.append(1));
    folder.limitSize(0);
    folder.failAt(0);
    CHECK(journal.sync()->kind == StorageErrorKind::OperationFailed);
    folder.crash(SurvivingWrites::All);
    folder.limitSize(1000);
    CHECK(journal.append(2)->kind == StorageErrorKind::OperationFailed);
}

// Guards against a process that is ended by SIGXFSZ, and against a failure that names neither the folder nor the remedy.
TEST_CASE("a write beyond the file size limit is rejected as one on a full disk, and the folder is named")
{
    const auto path = std::filesystem::temp_directory_path() / ("sapphirespool-fulldisk-" + std::to_string(::getpid()));
    std::filesystem::remove_all(path);
    auto rejected = std::optional<StorageError>();
    auto records = std::vector<int>();
    CHECK_FALSE(errorOf([&path, &rejected, &records]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(folder, openPosixFolder(path));
        auto journal = JournalOnDisk(*folder);
        CHECK_FALSE(journal.append(1));
        {
            const auto limit = FileSizeLimit(70);
            rejected = journal.append(2);
        }
        CHECK_FALSE(journal.append(3));
        CHECK_FALSE(journal.sync());
        records = journal.reopen();
        return {};
    }));
    std::filesystem::remove_all(path);
    REQUIRE(isFull(rejected));
    CHECK(rejected->detail.find("free space on the disk of the data folder") != std::string::npos);
    CHECK(rejected->detail.find(path.string()) != std::string::npos);
    CHECK(records == std::vector<int>{1, 3});
}

// Guards against votes and the last batch that do not fit on a full disk.
TEST_CASE("the reserve keeps space that is there once the disk is full")
{
    auto folder = FakeFolder();
    auto journal = JournalOnDisk(folder);
    auto reserve = Reserve(folder);
    CHECK_FALSE(errorOf([&reserve] {
        return reserve.fill();
    }));
    CHECK(usedBytes(folder, "reserve") == reserveSize);
    folder.limitSize(reserveSize);
    REQUIRE(isFull(journal.append(1)));
    CHECK(reserve.release());
    CHECK_FALSE(reserve.release());
    CHECK_FALSE(journal.append(1));
    CHECK_FALSE(journal.sync());
}

// Guards against a reserve that takes the last space of a disk without being one.
TEST_CASE("a reserve for which there is no space leaves no file and is written once there is")
{
    auto folder = FakeFolder();
    auto reserve = Reserve(folder);
    const auto fill = [&reserve] {
        return errorOf([&reserve] {
            return reserve.fill();
        });
    };
    folder.limitSize(reserveSize - 1);
    CHECK(isFull(fill()));
    CHECK_FALSE(hasFile(folder, "reserve"));
    CHECK_FALSE(reserve.release());
    folder.limitSize(reserveSize);
    CHECK_FALSE(fill());
    const auto operations = folder.operations();
    CHECK_FALSE(fill());
    auto ofNextProcess = Reserve(folder);
    CHECK_FALSE(errorOf([&ofNextProcess] {
        return ofNextProcess.fill();
    }));
    CHECK(folder.operations() == operations);
    CHECK(ofNextProcess.release());
}

} // namespace sapphirespool::storage
