// diskthread.h: writes and syncs a replica's log and snapshots on a thread of its own.
#pragma once

#include "batchwriter.h"
#include "diskobserver.h"
#include "sapphirespool/Consensus/replicastore.h"
#include "sapphirespool/Rpc/loopsignal.h"

#include <kj/async.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace sapphirespool::consensus
{

/// Writes batches in the order of submission, with one sync for each batch. A batch that a full disk rejects is repeated until it is written.
///
/// A sync takes from a tenth of a millisecond to a second on a busy disk. On the control thread it would delay heartbeats, and the
/// followers would elect another leader although the current one is alive.
class DiskThread
{
public:
    /// Must be constructed, called and destroyed on the same thread, which runs a KJ event loop.
    DiskThread(std::unique_ptr<ReplicaStore> store, kj::LowLevelAsyncIoProvider &lowLevel, std::unique_ptr<DiskObserver> observer);
    ~DiskThread();
    DiskThread(const DiskThread &) = delete;
    auto operator=(const DiskThread &) -> DiskThread & = delete;

    /// Writes and syncs \p batch, which must not be empty. The outcome is never StorageErrorKind::Full.
    auto run(std::vector<DiskWrite> batch) -> kj::Promise<DiskOutcome>;

private:
    auto runThread() -> void;
    /// \return the next batch; nothing once the thread must end
    auto nextBatch() -> std::optional<std::vector<DiskWrite>>;
    /// \return the outcome; nothing if the thread must end while the disk is full
    auto writeBatch(const std::vector<DiskWrite> &batch) -> std::optional<DiskOutcome>;
    /// \return whether the thread must end
    auto waitForRetry() -> bool;
    auto fillReserveIfDue() -> void;
    auto awaitOutcomes() -> kj::Promise<void>;
    auto deliverOutcomes() -> void;

    BatchWriter writer;
    std::unique_ptr<DiskObserver> observer;
    /// When to write the reserve next; nothing while it is on the disk. Used on the disk thread only.
    std::optional<TimePoint> reserveDue;
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
