#include "diskthread.h"

#include "sapphirespool/Support/clock.h"

#include <cassert>
#include <chrono>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

/// A full disk is asked this often: soon enough for the group, seldom enough to cost nothing.
constexpr auto retryInterval = std::chrono::milliseconds(100);
/// The reserve is written after the first batches of a start, which callers may wait for.
constexpr auto reserveDelay = std::chrono::seconds(1);
/// A disk that was full is asked for the space of the reserve this often, as the attempt takes the last free space for a moment.
constexpr auto reserveInterval = std::chrono::seconds(10);

} // namespace

DiskThread::DiskThread(std::unique_ptr<ReplicaStore> store, kj::LowLevelAsyncIoProvider &lowLevel, std::unique_ptr<DiskObserver> observer)
    : writer(std::move(store))
    , observer(std::move(observer))
    , reserveDue(support::now() + reserveDelay)
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
    while (const auto batch = this->nextBatch()) {
        if (!batch->empty()) {
            auto outcome = this->writeBatch(*batch);
            if (!outcome) {
                return;
            }
            {
                const auto guard = std::lock_guard(this->mutex);
                this->outcomes.push_back(std::move(*outcome));
            }
            this->outcomesReady.raise();
        }
        this->fillReserveIfDue();
    }
}

auto DiskThread::nextBatch() -> std::optional<std::vector<DiskWrite>>
{
    auto guard = std::unique_lock(this->mutex);
    const auto ready = [this] {
        return this->stopping || !this->batches.empty();
    };
    if (this->reserveDue) {
        this->wake.wait_for(guard, *this->reserveDue - support::now(), ready);
    } else {
        this->wake.wait(guard, ready);
    }
    if (this->batches.empty()) {
        return this->stopping ? std::nullopt : std::optional(std::vector<DiskWrite>());
    }
    auto batch = std::move(this->batches.front());
    this->batches.pop_front();
    return batch;
}

auto DiskThread::writeBatch(const std::vector<DiskWrite> &batch) -> std::optional<DiskOutcome>
{
    auto fullSince = std::optional<TimePoint>();
    while (true) {
        auto outcome = this->writer.write(batch);
        const auto *const error = std::get_if<storage::StorageError>(&outcome);
        if (error == nullptr || error->kind != storage::StorageErrorKind::Full) {
            if (fullSince && error == nullptr) {
                this->observer->onWritten(support::now() - *fullSince);
            }
            return outcome;
        }
        const auto released = this->writer.releaseReserve();
        this->reserveDue = support::now() + reserveInterval;
        if (!fullSince) {
            fullSince = support::now();
            this->observer->onFull(*error, released);
        }
        if (!released && this->waitForRetry()) {
            return std::nullopt;
        }
    }
}

auto DiskThread::waitForRetry() -> bool
{
    auto guard = std::unique_lock(this->mutex);
    return this->wake.wait_for(guard, retryInterval, [this] {
        return this->stopping;
    });
}

auto DiskThread::fillReserveIfDue() -> void
{
    const auto now = support::now();
    if (!this->reserveDue || now < *this->reserveDue) {
        return;
    }
    if (this->writer.fillReserve()) {
        this->reserveDue.reset();
    } else {
        this->reserveDue = now + reserveInterval;
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

} // namespace sapphirespool::consensus
