// logwindow.h: the part of the replicated log that is held in memory.
#pragma once

#include "sapphirespool/Consensus/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace sapphirespool::consensus
{

/// \return the index \p count entries after \p index
[[nodiscard]] auto after(LogIndex index, std::uint64_t count = 1) -> LogIndex;

/// \return the index before \p index, which must not be 0
[[nodiscard]] auto before(LogIndex index) -> LogIndex;

/// Log entries after a base index that a snapshot covers. Invariant: indexes have no gaps, terms never decrease.
class LogWindow
{
public:
    LogWindow() = default;

    /// Creates an empty window whose base is the entry at \p index with \p term.
    LogWindow(LogIndex index, ElectionTerm term);

    [[nodiscard]] auto baseIndex() const -> LogIndex;
    [[nodiscard]] auto lastIndex() const -> LogIndex;
    [[nodiscard]] auto lastTerm() const -> ElectionTerm;

    /// \return the term of the entry at \p index; empty if it is neither in the window nor its base
    [[nodiscard]] auto termAt(LogIndex index) const -> std::optional<ElectionTerm>;

    /// \return the entry at \p index, which must be in the window
    [[nodiscard]] auto at(LogIndex index) const -> const Entry &;

    /// \return the entries from \p from on whose total size is at most \p bytes, but at least the first one
    [[nodiscard]] auto slice(LogIndex from, std::size_t bytes) const -> std::vector<Entry>;

    /// \return all entries from \p from on
    [[nodiscard]] auto tail(LogIndex from) const -> std::vector<Entry>;

    /// Appends \p entry, which must directly follow the last one.
    auto append(Entry entry) -> void;

    /// Truncates the log: removes the entries from \p from on.
    auto cutFrom(LogIndex from) -> void;

    /// Compacts the log: removes the entries up to \p index, which becomes the base.
    auto compactTo(LogIndex index) -> void;

    /// \return the last index at or below \p index whose term is at most \p term
    [[nodiscard]] auto lastWithTermUpTo(LogIndex index, ElectionTerm term) const -> LogIndex;

private:
    LogIndex base;
    ElectionTerm baseTerm;
    std::deque<Entry> entries;
};

/// \return the approximate size of \p entry in a message, in bytes
[[nodiscard]] auto entryBytes(const Entry &entry) -> std::size_t;

} // namespace sapphirespool::consensus
