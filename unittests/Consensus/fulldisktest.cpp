#include "../../lib/Consensus/batchwriter.h"
#include "../../lib/Consensus/diskthread.h"
#include "sapphirespool/Consensus/replicastore.h"

#include "Storage/fakefolder.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <kj/async-io.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespool::consensus
{

namespace
{

using storage::FakeFolder;
using storage::StorageError;
using storage::StorageErrorKind;

constexpr auto unlimited = std::size_t{1} << 40U;

auto entry(std::uint64_t index) -> Entry
{
    return {LogIndex(index), ElectionTerm(1), Command{Bytes(40, static_cast<std::byte>(index))}};
}

auto persist(std::uint64_t token, std::uint64_t index) -> Persist
{
    return {PersistToken(token), HardState{ElectionTerm(token), ReplicaId(2), ReplicaId(3)}, std::nullopt, {entry(index)}};
}

auto saveSnapshot(std::uint64_t token, std::uint64_t index, std::size_t size) -> SaveSnapshot
{
    const auto snapshot = Snapshot{LogIndex(index), ElectionTerm(1), Members(), Bytes(size)};
    return {PersistToken(token), std::make_shared<const Snapshot>(snapshot), HardState{ElectionTerm(token), ReplicaId(2), ReplicaId(3)}, {}};
}

auto openStore(storage::Folder &folder) -> std::variant<std::unique_ptr<ReplicaStore>, StorageError>
{
    using Opened = std::variant<std::unique_ptr<ReplicaStore>, StorageError>;
    return boost::leaf::try_handle_all(
        [&folder]() -> boost::leaf::result<Opened> {
            BOOST_LEAF_AUTO(store, ReplicaStore::open(folder, VmId("vm"), ReplicaId(1)));
            return Opened(std::move(store));
        },
        [](const StorageError &error) {
            return Opened(error);
        },
        [] {
            return Opened(StorageError{StorageErrorKind::OperationFailed, "untyped"});
        });
}

auto requireStore(storage::Folder &folder) -> std::unique_ptr<ReplicaStore>
{
    auto opened = openStore(folder);
    REQUIRE(std::holds_alternative<std::unique_ptr<ReplicaStore>>(opened));
    return std::move(std::get<std::unique_ptr<ReplicaStore>>(opened));
}

auto recoveredFrom(storage::Folder &folder) -> Recovered
{
    return requireStore(folder)->takeRecovered();
}

auto isFull(const DiskOutcome &outcome) -> bool
{
    const auto *const error = std::get_if<StorageError>(&outcome);
    return error != nullptr && error->kind == StorageErrorKind::Full;
}

auto usedBytes(FakeFolder &folder) -> std::size_t
{
    return boost::leaf::try_handle_all(
        [&folder]() -> boost::leaf::result<std::size_t> {
            auto used = std::size_t(0);
            BOOST_LEAF_AUTO(names, folder.list());
            for (const auto &name : names) {
                BOOST_LEAF_AUTO(content, folder.read(name));
                used += content.size();
            }
            return used;
        },
        [] {
            return std::size_t(0);
        });
}

/// Reports that a DiskThread made.
struct SeenReports
{
    std::atomic<int> full = 0;
    std::atomic<int> written = 0;
};

class CountingObserver : public DiskObserver
{
public:
    explicit CountingObserver(SeenReports &reports)
        : reports(reports)
    {
    }

    auto onFull(const StorageError &, bool) -> void override
    {
        ++this->reports.full;
    }

    auto onWritten(Duration) -> void override
    {
        ++this->reports.written;
    }

private:
    SeenReports &reports;
};

/// A disk thread on a disk that rejects writes.
class ThreadFixture
{
public:
    ThreadFixture()
        : io(kj::setupAsyncIo())
        , disk(std::make_unique<DiskThread>(requireStore(this->folder), *this->io.lowLevelProvider, std::make_unique<CountingObserver>(this->reports)))
    {
    }

    auto run(std::vector<DiskWrite> batch) -> kj::Promise<void>
    {
        return this->disk->run(std::move(batch)).then([this](DiskOutcome outcome) {
            this->outcomes.push_back(std::move(outcome));
        });
    }

    auto runUntil(const std::function<bool()> &condition) -> void
    {
        while (!condition()) {
            this->io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(this->io.waitScope);
        }
    }

    FakeFolder folder;
    SeenReports reports;
    kj::AsyncIoContext io;
    std::unique_ptr<DiskThread> disk;
    std::vector<DiskOutcome> outcomes;
};

} // namespace

// Guards against votes and entries that are lost or stand in the log twice because a part of their batch was on the disk already.
TEST_CASE("a batch that a full disk rejects at any of its writes is in the log once after it was repeated")
{
    const auto batch = std::vector<DiskWrite>{persist(1, 1), persist(2, 2), persist(3, 3)};
    for (auto space = std::size_t(0); space < 800; space += 40) {
        auto folder = FakeFolder();
        auto writer = BatchWriter(requireStore(folder));
        folder.limitSize(usedBytes(folder) + space);
        const auto before = usedBytes(folder);
        auto outcome = writer.write(batch);
        if (isFull(outcome)) {
            CHECK(usedBytes(folder) == before);
            folder.limitSize(unlimited);
            outcome = writer.write(batch);
        }
        REQUIRE(std::holds_alternative<PersistToken>(outcome));
        CHECK(std::get<PersistToken>(outcome) == PersistToken(3));
        const auto recovered = recoveredFrom(folder);
        CHECK(recovered.hard.term == ElectionTerm(3));
        CHECK(recovered.entries == std::vector<Entry>{entry(1), entry(2), entry(3)});
    }
}

// Guards against a snapshot that never fits because its remains fill the disk, and against a log that is written again behind it.
TEST_CASE("a batch with a snapshot that a full disk rejects is written once after it was repeated")
{
    const auto batch = std::vector<DiskWrite>{persist(1, 1), saveSnapshot(2, 1, 400), persist(3, 2), persist(4, 3)};
    auto rejections = 0;
    for (auto space = std::size_t(0); space < 2400; space += 40) {
        auto folder = FakeFolder();
        auto writer = BatchWriter(requireStore(folder));
        folder.limitSize(usedBytes(folder) + space);
        auto outcome = writer.write(batch);
        if (isFull(outcome)) {
            ++rejections;
            // What a restart would find must not become older by a repetition that comes a little further.
            const auto found = recoveredFrom(folder);
            CHECK(isFull(writer.write(batch)));
            folder.limitSize(usedBytes(folder) + 400);
            outcome = writer.write(batch);
            CHECK(recoveredFrom(folder).hard.term >= found.hard.term);
            folder.limitSize(unlimited);
            if (isFull(outcome)) {
                outcome = writer.write(batch);
            }
        }
        REQUIRE(std::holds_alternative<PersistToken>(outcome));
        const auto recovered = recoveredFrom(folder);
        CHECK(recovered.hard.term == ElectionTerm(4));
        REQUIRE(recovered.snapshot != nullptr);
        CHECK(recovered.snapshot->index == LogIndex(1));
        CHECK(recovered.entries == std::vector<Entry>{entry(2), entry(3)});
    }
    CHECK(rejections > 10);
}

// Guards against a batch whose tokens count as synced by a crash of the process that could not write it.
TEST_CASE("a replica that was killed while a batch was rejected starts with what was synced")
{
    using storage::SurvivingWrites;
    for (const auto survivors : {SurvivingWrites::None, SurvivingWrites::TornTail, SurvivingWrites::HoleInTail, SurvivingWrites::All}) {
        auto folder = FakeFolder();
        auto writer = BatchWriter(requireStore(folder));
        REQUIRE_FALSE(isFull(writer.write({persist(1, 1)})));
        folder.limitSize(usedBytes(folder) + 200);
        REQUIRE(isFull(writer.write({persist(2, 2), persist(3, 3)})));
        folder.crash(survivors);
        const auto recovered = recoveredFrom(folder);
        CHECK(recovered.hard.term == ElectionTerm(1));
        CHECK(recovered.entries == std::vector<Entry>{entry(1)});
    }
}

// Guards against a control VM that cannot start, or ends again and again, until there is space on its disk.
TEST_CASE("a replica opens its data folder while the disk rejects every write")
{
    auto folder = FakeFolder();
    REQUIRE_FALSE(isFull(BatchWriter(requireStore(folder)).write({persist(1, 1)})));
    folder.rejectWrites(true);
    const auto operations = folder.operations();
    for (auto start = 0; start < 3; ++start) {
        CHECK(recoveredFrom(folder).entries == std::vector<Entry>{entry(1)});
    }
    CHECK(folder.rejectedWrites() == 0);
    CHECK(folder.operations() > operations);
}

// Guards against a first start that fails without a remedy.
TEST_CASE("a first start with a full disk says that space must be freed")
{
    auto folder = FakeFolder();
    folder.rejectWrites(true);
    const auto opened = openStore(folder);
    REQUIRE(std::holds_alternative<StorageError>(opened));
    CHECK(std::get<StorageError>(opened).kind == StorageErrorKind::Full);
    CHECK(std::get<StorageError>(opened).detail.find("free space") != std::string::npos);
    folder.rejectWrites(false);
    CHECK(recoveredFrom(folder).entries.empty());
}

// Guards against a control VM that needs a restart after its disk was full, and against a line of the log for each attempt.
TEST_CASE("the disk thread repeats a rejected batch until it is written, and reports the start and the end")
{
    auto fixture = ThreadFixture();
    fixture.folder.rejectWrites(true);
    auto first = fixture.run({persist(1, 1)});
    auto second = fixture.run({persist(2, 2)});
    fixture.runUntil([&fixture] {
        return fixture.folder.rejectedWrites() >= 20;
    });
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.reports.full == 1);
    CHECK(fixture.reports.written == 0);
    fixture.folder.rejectWrites(false);
    first.wait(fixture.io.waitScope);
    second.wait(fixture.io.waitScope);
    REQUIRE(fixture.outcomes.size() == 2);
    CHECK(std::get<PersistToken>(fixture.outcomes.front()) == PersistToken(1));
    CHECK(std::get<PersistToken>(fixture.outcomes.back()) == PersistToken(2));
    CHECK(fixture.reports.full == 1);
    CHECK(fixture.reports.written == 1);
    fixture.disk.reset();
    CHECK(recoveredFrom(fixture.folder).entries == std::vector<Entry>{entry(1), entry(2)});
}

// Guards against a process that cannot be stopped while its disk is full.
TEST_CASE("the disk thread ends while its disk is full")
{
    auto fixture = ThreadFixture();
    fixture.folder.rejectWrites(true);
    auto pending = fixture.run({persist(1, 1)});
    fixture.runUntil([&fixture] {
        return fixture.reports.full == 1;
    });
    fixture.disk.reset();
    CHECK(fixture.outcomes.empty());
}

// Guards against a vote that does not fit on a full disk although space was kept for it.
TEST_CASE("the disk thread writes the reserve, and uses its space for a batch that was rejected")
{
    auto fixture = ThreadFixture();
    const auto atStart = fixture.folder.operations();
    fixture.runUntil([&fixture, atStart] {
        return fixture.folder.operations() >= atStart + 2;
    });
    // Once its outcome is there, the thread does nothing with the folder.
    fixture.run({persist(1, 1)}).wait(fixture.io.waitScope);
    const auto used = usedBytes(fixture.folder);
    REQUIRE(used > storage::reserveSize);
    fixture.folder.limitSize(used);
    fixture.run({persist(2, 2)}).wait(fixture.io.waitScope);
    REQUIRE(fixture.outcomes.size() == 2);
    CHECK(std::get<PersistToken>(fixture.outcomes.back()) == PersistToken(2));
    CHECK(fixture.reports.full == 1);
    CHECK(fixture.reports.written == 1);
    CHECK(fixture.folder.rejectedWrites() == 1);
}

} // namespace sapphirespool::consensus
