#include "Storage/fakefolder.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::storage
{

class FakeFile : public File
{
public:
    FakeFile(FakeFolder &folder, std::shared_ptr<FakeFolder::Content> content)
        : folder(folder)
        , content(std::move(content))
    {
    }

    auto append(std::span<const std::byte> data) -> boost::leaf::result<void> override
    {
        auto done = this->folder.beginOperation();
        // A write that fails leaves a part of the data in the file.
        const auto kept = std::min(done ? data.size() : data.size() / 2, this->folder.freeSize());
        this->content->present.insert(this->content->present.end(), data.begin(), data.begin() + static_cast<std::ptrdiff_t>(kept));
        if (done && kept < data.size()) {
            return this->folder.rejectWrite();
        }
        return done;
    }

    auto truncate(std::size_t size) -> boost::leaf::result<void> override
    {
        BOOST_LEAF_CHECK(this->folder.beginOperation());
        if (this->folder.writesRejected || this->folder.truncationsRejected) {
            return this->folder.rejectWrite();
        }
        this->content->present.resize(size);
        return {};
    }

    auto sync() -> boost::leaf::result<void> override
    {
        BOOST_LEAF_CHECK(this->folder.beginOperation());
        this->content->synced = this->content->present;
        return {};
    }

private:
    FakeFolder &folder;
    std::shared_ptr<FakeFolder::Content> content;
};

auto FakeFolder::beginOperation() -> boost::leaf::result<void>
{
    const auto number = this->operationCount++;
    if (this->failFrom && number >= *this->failFrom) {
        return boost::leaf::new_error(StorageError{StorageErrorKind::OperationFailed, "operation failed by the test"});
    }
    return {};
}

auto FakeFolder::freeSize() const -> std::size_t
{
    if (this->writesRejected) {
        return 0;
    }
    auto used = std::size_t(0);
    for (const auto &[name, content] : this->names) {
        used += content->present.size();
    }
    return this->sizeLimit - std::min<std::size_t>(used, this->sizeLimit);
}

auto FakeFolder::rejectWrite() -> boost::leaf::error_id
{
    ++this->rejections;
    return boost::leaf::new_error(StorageError{StorageErrorKind::Full, "disk full; free space on the disk of the data folder"});
}

auto FakeFolder::create(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>>
{
    BOOST_LEAF_CHECK(this->beginOperation());
    if (this->writesRejected) {
        return this->rejectWrite();
    }
    auto content = std::make_shared<Content>();
    this->names[std::string(name)] = content;
    return std::unique_ptr<File>(std::make_unique<FakeFile>(*this, std::move(content)));
}

auto FakeFolder::open(std::string_view name) -> boost::leaf::result<std::unique_ptr<File>>
{
    BOOST_LEAF_CHECK(this->beginOperation());
    return std::unique_ptr<File>(std::make_unique<FakeFile>(*this, this->names.at(std::string(name))));
}

auto FakeFolder::read(std::string_view name) -> boost::leaf::result<Bytes>
{
    return this->names.at(std::string(name))->present;
}

auto FakeFolder::list() -> boost::leaf::result<std::vector<std::string>>
{
    auto found = std::vector<std::string>();
    for (const auto &[name, content] : this->names) {
        found.push_back(name);
    }
    return found;
}

auto FakeFolder::rename(std::string_view from, std::string_view to) -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(this->beginOperation());
    const auto found = this->names.find(from);
    auto content = found->second;
    this->names.erase(found);
    this->names[std::string(to)] = std::move(content);
    return {};
}

auto FakeFolder::remove(std::string_view name) -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(this->beginOperation());
    this->names.erase(std::string(name));
    return {};
}

auto FakeFolder::sync() -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(this->beginOperation());
    this->durable = this->names;
    return {};
}

auto FakeFolder::failAt(std::uint64_t number) -> void
{
    this->failFrom = this->operationCount + number;
}

auto FakeFolder::crash(SurvivingWrites survivors) -> void
{
    this->failFrom.reset();
    // An unsynced rename may or may not have reached the disk.
    if (survivors == SurvivingWrites::None || survivors == SurvivingWrites::TornTail) {
        this->names = this->durable;
    }
    for (const auto &[name, content] : this->names) {
        auto &present = content->present;
        const auto &synced = content->synced;
        if (present.size() > synced.size() && survivors == SurvivingWrites::TornTail) {
            present.pop_back();
        }
        if (present.size() > synced.size() && survivors == SurvivingWrites::HoleInTail) {
            present[synced.size()] ^= std::byte(0x55);
        }
        if (survivors == SurvivingWrites::None) {
            present = synced;
        }
        content->synced = present;
    }
    this->durable = this->names;
}

auto FakeFolder::limitSize(std::size_t bytes) -> void
{
    this->sizeLimit = bytes;
}

auto FakeFolder::rejectWrites(bool rejected) -> void
{
    this->writesRejected = rejected;
}

auto FakeFolder::rejectTruncations(bool rejected) -> void
{
    this->truncationsRejected = rejected;
}

auto FakeFolder::rejectedWrites() const -> std::uint64_t
{
    return this->rejections;
}

auto FakeFolder::damage(std::string_view name, std::size_t offset) -> void
{
    this->names.at(std::string(name))->present.at(offset) ^= std::byte(1);
}

auto FakeFolder::operations() const -> std::uint64_t
{
    return this->operationCount;
}

} // namespace sapphirespool::storage
