// error.h: errors of the data folder.
#pragma once

#include <string>

namespace sapphirespool::storage
{

/// The kind of a storage failure. Each kind has its own remedy.
enum class StorageErrorKind {
    /// The operating system refused a file operation such as a write, sync, rename or removal. The journal also returns it for all
    /// operations after such a failure.
    OperationFailed,
    /// A write was rejected for want of space: the disk is full, or a quota or the file size limit is reached. What was stored before is
    /// intact, and the write may be repeated.
    Full,
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
