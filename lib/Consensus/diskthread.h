// diskthread.h: writes and syncs of a replica, off the control thread.
#pragma once

#include "sapphirespool/Consensus/replicastore.h"

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
    explicit DiskThread(std::unique_ptr<ReplicaStore> store);
    ~DiskThread();
    DiskThread(const DiskThread &) = delete;
    auto operator=(const DiskThread &) -> DiskThread & = delete;

    /// Writes \p batch, which is not empty, and syncs it. Call from the thread of a KJ loop, which gets the outcome.
    auto run(std::vector<DiskWrite> batch) -> kj::Promise<DiskOutcome>;

private:
    struct Job
    {
        std::vector<DiskWrite> batch;
        kj::Own<kj::CrossThreadPromiseFulfiller<DiskOutcome>> fulfiller;
    };

    auto loop() -> void;
    auto perform(const std::vector<DiskWrite> &batch) -> DiskOutcome;

    std::unique_ptr<ReplicaStore> store;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<Job> jobs;
    bool stopping = false;
    std::thread thread;
};

} // namespace sapphirespool::consensus
