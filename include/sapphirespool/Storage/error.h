// error.h: errors of the data folder.
#pragma once

#include <string>

namespace sapphirespool::storage
{

/// The kind of a storage failure. Each kind has its own remedy.
enum class StorageErrorKind {
    /// The operating system refused a file operation such as a write, sync, rename or removal, for example because the disk is full. The
    /// journal also returns it for all operations after a failed write or sync.
    OperationFailed,
    /// Another process holds the lock of the data folder.
    Locked,
    /// A synced record does not match its checksum.
    Corrupt,
    /// The folder belongs to another VM.
    WrongVm,
};

/// Error object of a failed boost::leaf::result.
struct StorageError
{
    StorageErrorKind kind;
    /// What happened and the remedy, lower case, without a full stop.
    std::string detail;
};

} // namespace sapphirespool::storage
