// diskobserver.h: reports when the disk of the data folder becomes full and when it accepts writes again.
#pragma once

#include "sapphirespool/Storage/error.h"
#include "sapphirespool/Support/types.h"

namespace sapphirespool::consensus
{

/// Receives one report at the start and one at the end of each time in which the disk rejects a batch. Called on the disk thread.
class DiskObserver
{
public:
    DiskObserver() = default;
    DiskObserver(const DiskObserver &) = delete;
    auto operator=(const DiskObserver &) -> DiskObserver & = delete;
    virtual ~DiskObserver() = default;

    /// \param reserveReleased whether the reserve was removed, so that the batch may fit now
    virtual auto onFull(const storage::StorageError &error, bool reserveReleased) -> void = 0;
    virtual auto onWritten(Duration fullFor) -> void = 0;
};

/// Logs the reports.
class DiskLogger : public DiskObserver
{
public:
    auto onFull(const storage::StorageError &error, bool reserveReleased) -> void override;
    auto onWritten(Duration fullFor) -> void override;
};

} // namespace sapphirespool::consensus
