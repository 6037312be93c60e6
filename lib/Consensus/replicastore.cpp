#include "sapphirespool/Consensus/replicastore.h"

#include "codec.h"

#include <boost/leaf/error.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <utility>

namespace sapphirespool::consensus
{

namespace
{

constexpr auto identityName = "identity";
constexpr auto logName = "log";
constexpr auto snapshotName = "snapshot";

auto encodeHardState(const HardState &hard) -> Bytes
{
    auto message = capnp::MallocMessageBuilder();
    auto out = message.initRoot<schema::LogRecord>().initHardState();
    out.setTerm(hard.term.value());
    out.setVote(hard.vote.value());
    out.setLeader(hard.leader.value());
    return flatten(message);
}

auto encodeTruncation(LogIndex from) -> Bytes
{
    auto message = capnp::MallocMessageBuilder();
    message.initRoot<schema::LogRecord>().setCutFrom(from.value());
    return flatten(message);
}

auto encodeEntry(const Entry &entry) -> Bytes
{
    auto message = capnp::MallocMessageBuilder();
    write(entry, message.initRoot<schema::LogRecord>().initEntry());
    return flatten(message);
}

/// Applies one journal record to the recovered state.
auto applyRecord(std::span<const std::byte> record, Recovered &recovered) -> void
{
    const auto words = AlignedWords(record);
    auto reader = capnp::FlatArrayMessageReader(words.words());
    const auto in = reader.getRoot<schema::LogRecord>();
    if (in.isHardState()) {
        const auto hard = in.getHardState();
        recovered.hard = HardState{ElectionTerm(hard.getTerm()), ReplicaId(hard.getVote()), ReplicaId(hard.getLeader())};
    } else if (in.isCutFrom()) {
        const auto from = LogIndex(in.getCutFrom());
        while (!recovered.entries.empty() && recovered.entries.back().index >= from) {
            recovered.entries.pop_back();
        }
    } else {
        recovered.entries.push_back(read(in.getEntry()));
    }
}

/// Drops the entries that the snapshot covers. After a crash between the write of the snapshot and the truncation of the log, the log may
/// have diverged from the snapshot. Entries after the snapshot are then valid only if the log has the same entry at the snapshot's index.
auto alignWithSnapshot(Recovered &recovered) -> void
{
    if (recovered.snapshot == nullptr) {
        return;
    }
    const auto &snapshot = *recovered.snapshot;
    auto matchesSnapshot = !recovered.entries.empty() && recovered.entries.front().index == snapshot.index.next();
    for (const auto &entry : recovered.entries) {
        matchesSnapshot = matchesSnapshot || (entry.index == snapshot.index && entry.term == snapshot.term);
    }
    if (!matchesSnapshot) {
        recovered.entries.clear();
    }
    std::erase_if(recovered.entries, [&snapshot](const Entry &entry) {
        return entry.index <= snapshot.index;
    });
}

} // namespace

ReplicaStore::ReplicaStore(storage::Folder &folder)
    : folder(folder)
    , reserve(folder)
{
}

auto ReplicaStore::open(storage::Folder &folder, const VmId &vm, ReplicaId newReplica) -> boost::leaf::result<std::unique_ptr<ReplicaStore>>
{
    auto store = std::unique_ptr<ReplicaStore>(new ReplicaStore(folder));
    BOOST_LEAF_CHECK(store->openIdentity(vm, newReplica));
    BOOST_LEAF_CHECK(store->openLog());
    return store;
}

auto ReplicaStore::openIdentity(const VmId &vm, ReplicaId newReplica) -> boost::leaf::result<void>
{
    BOOST_LEAF_AUTO(content, storage::readFile(this->folder, identityName));
    if (!content) {
        auto message = capnp::MallocMessageBuilder();
        auto out = message.initRoot<schema::IdentityFile>();
        out.setVm(vm.value());
        out.setReplica(newReplica.value());
        BOOST_LEAF_CHECK(storage::replaceFile(this->folder, identityName, flatten(message)));
        this->self = newReplica;
        return {};
    }
    const auto words = AlignedWords(*content);
    auto reader = capnp::FlatArrayMessageReader(words.words());
    const auto in = reader.getRoot<schema::IdentityFile>();
    if (in.getVm() != vm.value()) {
        return boost::leaf::new_error(storage::StorageError{storage::StorageErrorKind::WrongVm,
                                                            "the data folder belongs to " + std::string(in.getVm().cStr())
                                                                + "; correct the VM's name or its data folder in the settings"});
    }
    this->self = ReplicaId(in.getReplica());
    return {};
}

auto ReplicaStore::openLog() -> boost::leaf::result<void>
{
    BOOST_LEAF_AUTO(snapshot, storage::readFile(this->folder, snapshotName));
    if (snapshot) {
        this->recovered.snapshot = std::make_shared<const Snapshot>(decodeSnapshot(*snapshot));
    }
    BOOST_LEAF_AUTO(opened, storage::Journal::open(this->folder, logName));
    this->journal = std::move(opened);
    for (const auto &record : this->journal->takeRecords()) {
        applyRecord(record, this->recovered);
    }
    alignWithSnapshot(this->recovered);
    return {};
}

auto ReplicaStore::replica() const -> ReplicaId
{
    return this->self;
}

auto ReplicaStore::takeRecovered() -> Recovered
{
    return std::exchange(this->recovered, {});
}

auto ReplicaStore::write(const Persist &persist) -> boost::leaf::result<void>
{
    if (persist.hard) {
        BOOST_LEAF_CHECK(this->journal->append(encodeHardState(*persist.hard)));
    }
    if (persist.cutFrom) {
        BOOST_LEAF_CHECK(this->journal->append(encodeTruncation(*persist.cutFrom)));
    }
    for (const auto &entry : persist.entries) {
        BOOST_LEAF_CHECK(this->journal->append(encodeEntry(entry)));
    }
    return {};
}

auto ReplicaStore::write(const SaveSnapshot &save) -> boost::leaf::result<void>
{
    // Until the new snapshot is durable, the journal must hold all entries that the old snapshot lacks.
    BOOST_LEAF_CHECK(this->journal->sync());
    BOOST_LEAF_CHECK(storage::replaceFile(this->folder, snapshotName, encode(*save.snapshot)));
    auto records = std::vector<Bytes>{encodeHardState(save.hard)};
    for (const auto &entry : save.entries) {
        records.push_back(encodeEntry(entry));
    }
    return this->journal->replace(records);
}

auto ReplicaStore::sync() -> boost::leaf::result<void>
{
    return this->journal->sync();
}

auto ReplicaStore::discardUnsynced() -> boost::leaf::result<void>
{
    return this->journal->discardUnsynced();
}

auto ReplicaStore::fillReserve() -> boost::leaf::result<void>
{
    return this->reserve.fill();
}

auto ReplicaStore::releaseReserve() -> bool
{
    return this->reserve.release();
}

} // namespace sapphirespool::consensus
