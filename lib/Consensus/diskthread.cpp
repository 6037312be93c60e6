#include "diskthread.h"

#include <boost/leaf/handle_errors.hpp>

#include <cassert>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

auto writeAll(ReplicaStore &store, const std::vector<DiskWrite> &batch) -> boost::leaf::result<PersistToken>
{
    auto token = PersistToken();
    for (const auto &write : batch) {
        if (const auto *const persist = std::get_if<Persist>(&write)) {
            BOOST_LEAF_CHECK(store.write(*persist));
            token = persist->token;
        } else {
            const auto &save = std::get<SaveSnapshot>(write);
            BOOST_LEAF_CHECK(store.write(save));
            token = save.token;
        }
    }
    BOOST_LEAF_CHECK(store.sync());
    return token;
}

} // namespace

DiskThread::DiskThread(std::unique_ptr<ReplicaStore> store, kj::LowLevelAsyncIoProvider &lowLevel)
    : store(std::move(store))
    , outcomesReady(lowLevel)
    , outcomeTask(this->awaitOutcomes().eagerlyEvaluate(nullptr))
    , thread([this] {
        this->runThread();
    })
{
}

DiskThread::~DiskThread()
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_one();
    this->thread.join();
}

auto DiskThread::run(std::vector<DiskWrite> batch) -> kj::Promise<DiskOutcome>
{
    assert(!batch.empty() && "a batch must not be empty");
    auto outcome = kj::newPromiseAndFulfiller<DiskOutcome>();
    this->fulfillers.push_back(kj::mv(outcome.fulfiller));
    {
        const auto guard = std::lock_guard(this->mutex);
        this->batches.push_back(std::move(batch));
    }
    this->wake.notify_one();
    return kj::mv(outcome.promise);
}

auto DiskThread::runThread() -> void
{
    while (true) {
        auto guard = std::unique_lock(this->mutex);
        this->wake.wait(guard, [this] {
            return this->stopping || !this->batches.empty();
        });
        if (this->batches.empty()) {
            return;
        }
        const auto batch = std::move(this->batches.front());
        this->batches.pop_front();
        guard.unlock();
        auto outcome = this->writeBatch(batch);
        guard.lock();
        this->outcomes.push_back(std::move(outcome));
        guard.unlock();
        this->outcomesReady.raise();
    }
}

auto DiskThread::awaitOutcomes() -> kj::Promise<void>
{
    return this->outcomesReady.awaitRaised().then([this] {
        this->deliverOutcomes();
        return this->awaitOutcomes();
    });
}

auto DiskThread::deliverOutcomes() -> void
{
    auto taken = std::vector<DiskOutcome>();
    {
        const auto guard = std::lock_guard(this->mutex);
        taken.swap(this->outcomes);
    }
    for (auto &outcome : taken) {
        auto waiter = kj::mv(this->fulfillers.front());
        this->fulfillers.pop_front();
        waiter->fulfill(std::move(outcome));
    }
}

auto DiskThread::writeBatch(const std::vector<DiskWrite> &batch) -> DiskOutcome
{
    return boost::leaf::try_handle_all(
        [this, &batch]() -> boost::leaf::result<DiskOutcome> {
            BOOST_LEAF_AUTO(token, writeAll(*this->store, batch));
            return DiskOutcome(token);
        },
        [](const storage::StorageError &error) {
            return DiskOutcome(error);
        },
        [] {
            return DiskOutcome(storage::StorageError{storage::StorageErrorKind::OperationFailed, "write failed; restart the VM's process"});
        });
}

} // namespace sapphirespool::consensus
