// error.h: the ways in which the data folder can fail.
#pragma once

#include <string>

namespace sapphirespool::storage
{

/// What kind of failure; each has its own remedy.
enum class StorageErrorKind {
    /// A write, sync, rename or removal was refused by the operating system, for example because the disk is full.
    OperationFailed,
    /// Another process holds the data folder.
    Locked,
    /// A synced record does not match its checksum.
    Corrupt,
    /// The folder belongs to another VM.
    WrongVm,
};

/// Payload of a failed boost::leaf::result.
struct StorageError
{
    StorageErrorKind kind;
    /// What happened and the remedy, lower case, without a full stop.
    std::string detail;
};

} // namespace sapphirespool::storage
