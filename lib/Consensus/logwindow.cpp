#include "sapphirespool/Consensus/logwindow.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

/// Approximate size of an entry's index, term and framing in a message.
constexpr auto entryOverhead = std::size_t(48);
/// Approximate size of a member's identity, name and endpoint in a message.
constexpr auto memberBytes = std::size_t(64);

} // namespace

auto after(LogIndex index, std::uint64_t count) -> LogIndex
{
    return LogIndex(index.value() + count);
}

auto before(LogIndex index) -> LogIndex
{
    assert(index.value() > 0 && "index 0 has no predecessor");
    return LogIndex(index.value() - 1);
}

auto entryBytes(const Entry &entry) -> std::size_t
{
    if (const auto *const command = std::get_if<Command>(&entry.content)) {
        return entryOverhead + command->bytes.size();
    }
    if (const auto *const members = std::get_if<Members>(&entry.content)) {
        return entryOverhead + members->members.size() * memberBytes;
    }
    return entryOverhead;
}

LogWindow::LogWindow(LogIndex index, ElectionTerm term)
    : base(index)
    , baseTerm(term)
{
}

auto LogWindow::baseIndex() const -> LogIndex
{
    return this->base;
}

auto LogWindow::lastIndex() const -> LogIndex
{
    return after(this->base, this->entries.size());
}

auto LogWindow::lastTerm() const -> ElectionTerm
{
    return this->entries.empty() ? this->baseTerm : this->entries.back().term;
}

auto LogWindow::termAt(LogIndex index) const -> std::optional<ElectionTerm>
{
    if (index < this->base || index > this->lastIndex()) {
        return std::nullopt;
    }
    return index == this->base ? this->baseTerm : this->at(index).term;
}

auto LogWindow::at(LogIndex index) const -> const Entry &
{
    assert(index > this->base && index <= this->lastIndex() && "index outside of the window");
    return this->entries[index.value() - this->base.value() - 1];
}

auto LogWindow::slice(LogIndex from, std::size_t bytes) const -> std::vector<Entry>
{
    auto taken = std::vector<Entry>();
    auto sum = std::size_t(0);
    for (auto index = from; index <= this->lastIndex(); index = index.next()) {
        const auto &entry = this->at(index);
        sum += entryBytes(entry);
        if (!taken.empty() && sum > bytes) {
            break;
        }
        taken.push_back(entry);
    }
    return taken;
}

auto LogWindow::tail(LogIndex from) const -> std::vector<Entry>
{
    auto taken = std::vector<Entry>();
    for (auto index = from; index <= this->lastIndex(); index = index.next()) {
        taken.push_back(this->at(index));
    }
    return taken;
}

auto LogWindow::append(Entry entry) -> void
{
    assert(entry.index == this->lastIndex().next() && "entry does not follow the last one");
    assert(entry.term >= this->lastTerm() && "terms must not decrease along the log");
    this->entries.push_back(std::move(entry));
}

auto LogWindow::cutFrom(LogIndex from) -> void
{
    assert(from > this->base && "cannot truncate entries at or below the base");
    while (this->lastIndex() >= from) {
        this->entries.pop_back();
    }
}

auto LogWindow::compactTo(LogIndex index) -> void
{
    assert(index <= this->lastIndex() && "cannot compact past the end of the log");
    while (this->base < index) {
        this->base = this->base.next();
        this->baseTerm = this->entries.front().term;
        this->entries.pop_front();
    }
}

auto LogWindow::lastWithTermUpTo(LogIndex index, ElectionTerm term) const -> LogIndex
{
    auto candidate = std::min(index, this->lastIndex());
    while (candidate > this->base && this->at(candidate).term > term) {
        candidate = before(candidate);
    }
    return candidate;
}

} // namespace sapphirespool::consensus
