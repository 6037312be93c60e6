#include "viewtransfer.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::control
{

auto ViewTransfers::begin(const VmId &vm, const ViewUpdate &update) -> std::uint64_t
{
    this->transfers.insert_or_assign(vm, Transfer{++this->lastNumber, update});
    return this->lastNumber;
}

auto ViewTransfers::partAt(const VmId &vm, std::uint64_t transfer, std::size_t offset, std::size_t limit) -> std::optional<ViewPart>
{
    const auto found = this->transfers.find(vm);
    if (!this->holds(vm, transfer) || offset >= found->second.update.content->size()) {
        return std::nullopt;
    }
    const auto &update = found->second.update;
    this->handedOut = update.content;
    const auto whole = std::span(*this->handedOut);
    const auto data = whole.subspan(offset, std::min(limit, whole.size() - offset));
    const auto part = ViewPart{transfer, whole.size(), update.isDelta, data};
    if (offset + data.size() == whole.size()) {
        this->transfers.erase(found);
    }
    return part;
}

auto ViewTransfers::holds(const VmId &vm, std::uint64_t transfer) const -> bool
{
    const auto found = this->transfers.find(vm);
    return found != this->transfers.end() && found->second.number == transfer;
}

auto ViewAssembly::add(const ViewPart &part) -> bool
{
    if (std::exchange(this->number, part.transfer) != part.transfer) {
        this->bytes.clear();
    }
    this->bytes.insert(this->bytes.end(), part.data.begin(), part.data.end());
    return this->bytes.size() >= part.total;
}

auto ViewAssembly::clear() -> void
{
    this->number = 0;
    this->bytes = {};
}

auto ViewAssembly::transfer() const -> std::uint64_t
{
    return this->number;
}

auto ViewAssembly::content() const -> std::span<const std::byte>
{
    return this->bytes;
}

} // namespace sapphirespool::control
