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

DiskThread::DiskThread(std::unique_ptr<ReplicaStore> store)
    : store(std::move(store))
    , thread([this] {
        this->loop();
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
    assert(!batch.empty() && "a batch to write");
    auto outcome = kj::newPromiseAndCrossThreadFulfiller<DiskOutcome>();
    {
        const auto guard = std::lock_guard(this->mutex);
        this->jobs.push_back(Job{std::move(batch), kj::mv(outcome.fulfiller)});
    }
    this->wake.notify_one();
    return kj::mv(outcome.promise);
}

auto DiskThread::loop() -> void
{
    while (true) {
        auto guard = std::unique_lock(this->mutex);
        this->wake.wait(guard, [this] {
            return this->stopping || !this->jobs.empty();
        });
        if (this->jobs.empty()) {
            return;
        }
        auto job = std::move(this->jobs.front());
        this->jobs.pop_front();
        guard.unlock();
        job.fulfiller->fulfill(this->perform(job.batch));
    }
}

auto DiskThread::perform(const std::vector<DiskWrite> &batch) -> DiskOutcome
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
