// diskthread.h: writes and syncs a replica's log and snapshots on a thread of its own.
#pragma once

#include "sapphirespool/Consensus/replicastore.h"
#include "sapphirespool/Rpc/loopsignal.h"

#include <kj/async.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace sapphirespool::consensus
{

/// A write that the core requested.
using DiskWrite = std::variant<Persist, SaveSnapshot>;

/// Result of a batch: the token up to which all writes are synced, or the storage error.
using DiskOutcome = std::variant<PersistToken, storage::StorageError>;

/// Writes batches in the order of submission, with one sync for each batch.
///
/// A sync takes from a tenth of a millisecond to a second on a busy disk. On the control thread it would delay heartbeats, and the
/// followers would elect another leader although the current one is alive.
class DiskThread
{
public:
    /// Must be constructed, called and destroyed on the same thread, which runs a KJ event loop.
    DiskThread(std::unique_ptr<ReplicaStore> store, kj::LowLevelAsyncIoProvider &lowLevel);
    ~DiskThread();
    DiskThread(const DiskThread &) = delete;
    auto operator=(const DiskThread &) -> DiskThread & = delete;

    /// Writes and syncs \p batch, which must not be empty.
    auto run(std::vector<DiskWrite> batch) -> kj::Promise<DiskOutcome>;

private:
    auto runThread() -> void;
    auto writeBatch(const std::vector<DiskWrite> &batch) -> DiskOutcome;
    auto awaitOutcomes() -> kj::Promise<void>;
    auto deliverOutcomes() -> void;

    std::unique_ptr<ReplicaStore> store;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::vector<DiskWrite>> batches;
    /// Results in the order of the batches, until the event loop delivers them. Guarded by the mutex.
    std::vector<DiskOutcome> outcomes;
    bool stopping = false;
    /// Fulfillers of the pending results, in the order of the batches. Used on the event loop thread only.
    std::deque<kj::Own<kj::PromiseFulfiller<DiskOutcome>>> fulfillers;
    rpc::LoopSignal outcomesReady;
    kj::Promise<void> outcomeTask;
    std::thread thread;
};

} // namespace sapphirespool::consensus
