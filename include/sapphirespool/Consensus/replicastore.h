// replicastore.h: persistent storage of a replica in its data folder.
#pragma once

#include "sapphirespool/Consensus/coretypes.h"
#include "sapphirespool/Storage/folder.h"
#include "sapphirespool/Storage/journal.h"
#include "sapphirespool/Storage/reserve.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <vector>

namespace sapphirespool::consensus
{

/// Stores the identity file, the journal of the log and the latest snapshot. Failures carry a storage::StorageError.
class ReplicaStore
{
public:
    /// Opens \p folder, which must outlive the store; an empty folder is initialized for \p vm and \p newReplica. A folder that is
    /// initialized can be opened while its disk is full.
    [[nodiscard]] static auto open(storage::Folder &folder, const VmId &vm, ReplicaId newReplica) -> boost::leaf::result<std::unique_ptr<ReplicaStore>>;

    [[nodiscard]] auto replica() const -> ReplicaId;

    /// \return the state read from the folder; empty after the first call
    [[nodiscard]] auto takeRecovered() -> Recovered;

    /// Writes without a sync.
    auto write(const Persist &persist) -> boost::leaf::result<void>;
    /// Writes and syncs.
    auto write(const SaveSnapshot &save) -> boost::leaf::result<void>;
    auto sync() -> boost::leaf::result<void>;

    /// Drops what was written after the last sync, so that a batch that was rejected in part can be written again.
    auto discardUnsynced() -> boost::leaf::result<void>;

    /// Writes the reserve file unless it is there.
    auto fillReserve() -> boost::leaf::result<void>;
    /// Removes the reserve file.
    /// \return whether that freed space
    auto releaseReserve() -> bool;

private:
    explicit ReplicaStore(storage::Folder &folder);

    auto openIdentity(const VmId &vm, ReplicaId newReplica) -> boost::leaf::result<void>;
    auto openLog() -> boost::leaf::result<void>;

    storage::Folder &folder;
    std::unique_ptr<storage::Journal> journal;
    storage::Reserve reserve;
    ReplicaId self;
    Recovered recovered;
};

} // namespace sapphirespool::consensus
