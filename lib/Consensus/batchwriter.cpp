#include "batchwriter.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace sapphirespool::consensus
{

namespace
{

auto tokenOf(const DiskWrite &write) -> PersistToken
{
    return std::visit(
        [](const auto &request) {
            return request.token;
        },
        write);
}

} // namespace

BatchWriter::BatchWriter(std::unique_ptr<ReplicaStore> store)
    : store(std::move(store))
{
}

auto BatchWriter::write(const std::vector<DiskWrite> &batch) -> DiskOutcome
{
    auto outcome = boost::leaf::try_handle_all(
        [this, &batch]() -> boost::leaf::result<DiskOutcome> {
            BOOST_LEAF_AUTO(token, this->writeRest(batch));
            return DiskOutcome(token);
        },
        [](const storage::StorageError &error) {
            return DiskOutcome(error);
        },
        [] {
            return DiskOutcome(storage::StorageError{storage::StorageErrorKind::OperationFailed, "write failed; restart the VM's process"});
        });
    const auto *const error = std::get_if<storage::StorageError>(&outcome);
    if (error != nullptr && error->kind == storage::StorageErrorKind::Full) {
        this->discardUnsynced();
    } else {
        this->syncedWrites = 0;
    }
    return outcome;
}

auto BatchWriter::writeRest(const std::vector<DiskWrite> &batch) -> boost::leaf::result<PersistToken>
{
    for (auto position = this->syncedWrites; position < batch.size(); ++position) {
        const auto &write = batch[position];
        if (const auto *const persist = std::get_if<Persist>(&write)) {
            BOOST_LEAF_CHECK(this->store->write(*persist));
            continue;
        }
        // A replaced log cannot be rolled back, so the writes up to the snapshot and the snapshot itself are not repeated.
        BOOST_LEAF_CHECK(this->store->sync());
        this->syncedWrites = position;
        BOOST_LEAF_CHECK(this->store->write(std::get<SaveSnapshot>(write)));
        this->syncedWrites = position + 1;
    }
    BOOST_LEAF_CHECK(this->store->sync());
    return tokenOf(batch.back());
}

auto BatchWriter::discardUnsynced() -> void
{
    boost::leaf::try_handle_all(
        [this] {
            return this->store->discardUnsynced();
        },
        [] {
            // The next append repeats the truncation, and reports its failure.
        });
}

auto BatchWriter::fillReserve() -> bool
{
    return boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(this->store->fillReserve());
            return true;
        },
        [] {
            return false;
        });
}

auto BatchWriter::releaseReserve() -> bool
{
    return this->store->releaseReserve();
}

} // namespace sapphirespool::consensus
