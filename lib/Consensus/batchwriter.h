// batchwriter.h: writes batches of a replica to its store, and repeats those that a full disk rejects.
#pragma once

#include "sapphirespool/Consensus/replicastore.h"
#include "sapphirespool/Storage/error.h"

#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace sapphirespool::consensus
{

/// A write that the core requested.
using DiskWrite = std::variant<Persist, SaveSnapshot>;

/// Result of a batch: the token up to which all writes are synced, or the storage error.
using DiskOutcome = std::variant<PersistToken, storage::StorageError>;

/// Writes one batch after the other.
class BatchWriter
{
public:
    explicit BatchWriter(std::unique_ptr<ReplicaStore> store);

    /// Writes and syncs \p batch. If the outcome is StorageErrorKind::Full, nothing of it is left in the log, and the next call must be for
    /// the same batch.
    auto write(const std::vector<DiskWrite> &batch) -> DiskOutcome;

    /// \return whether the reserve is on the disk afterwards
    auto fillReserve() -> bool;
    /// \return whether that freed space
    auto releaseReserve() -> bool;

private:
    auto writeRest(const std::vector<DiskWrite> &batch) -> boost::leaf::result<PersistToken>;
    auto discardUnsynced() -> void;

    std::unique_ptr<ReplicaStore> store;
    /// Number of writes of the current batch that are synced.
    std::size_t syncedWrites = 0;
};

} // namespace sapphirespool::consensus
