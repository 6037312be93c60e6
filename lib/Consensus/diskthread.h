// diskthread.h: writes and syncs of a replica, off the control thread.
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

/// One write of the core.
using DiskWrite = std::variant<Persist, SaveSnapshot>;

/// How a batch ended: the token up to which all is synced, or why the disk failed.
using DiskOutcome = std::variant<PersistToken, storage::StorageError>;

/// Runs batches of writes, one sync for each, in their order.
///
/// A sync takes from a tenth of a millisecond to a second on a busy disk. On the control thread it would hold up heartbeats, and the
/// followers would elect another leader although this one lives.
class DiskThread
{
public:
    /// Call on the thread of a KJ loop, which also makes all other calls and destroys the object.
    DiskThread(std::unique_ptr<ReplicaStore> store, kj::LowLevelAsyncIoProvider &lowLevel);
    ~DiskThread();
    DiskThread(const DiskThread &) = delete;
    auto operator=(const DiskThread &) -> DiskThread & = delete;

    /// Writes \p batch, which is not empty, and syncs it.
    auto run(std::vector<DiskWrite> batch) -> kj::Promise<DiskOutcome>;

private:
    auto loop() -> void;
    auto perform(const std::vector<DiskWrite> &batch) -> DiskOutcome;
    auto awaitOutcomes() -> kj::Promise<void>;
    auto handOver() -> void;

    std::unique_ptr<ReplicaStore> store;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::vector<DiskWrite>> batches;
    /// How batches ended, in their order, until the loop takes them.
    std::vector<DiskOutcome> outcomes;
    bool stopping = false;
    /// Of the loop: who waits for outcomes, in the order of the batches.
    std::deque<kj::Own<kj::PromiseFulfiller<DiskOutcome>>> waiting;
    rpc::LoopSignal ended;
    kj::Promise<void> outcomeTask;
    std::thread thread;
};

} // namespace sapphirespool::consensus
