// reserve.h: space of the data folder that is kept for the time when its disk is full.
#pragma once

#include "sapphirespool/Storage/folder.h"

#include <boost/leaf/result.hpp>

#include <cstddef>

namespace sapphirespool::storage
{

/// Size of the reserve: enough for votes, the last batch of the log and its compaction.
constexpr auto reserveSize = std::size_t{1024 * 1024};

/// A file that only occupies space and is removed once the disk is full. It does not help on a disk that rejects every write.
class Reserve
{
public:
    /// \p folder must outlive the reserve.
    explicit Reserve(Folder &folder);

    /// Writes the file unless it is complete. After a failure there is no file.
    auto fill() -> boost::leaf::result<void>;

    /// Removes the file.
    /// \return whether that freed space
    auto release() -> bool;

private:
    [[nodiscard]] auto existingSize() -> boost::leaf::result<std::size_t>;
    auto removeFile() -> bool;

    Folder &folder;
    bool filled = false;
};

} // namespace sapphirespool::storage
