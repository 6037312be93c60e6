// sessionhistory.h: what one session was told, and what that obliges the system to.
#pragma once

#include "sapphirespool/Load/report.h"
#include "sapphirespool/Load/target.h"

#include <cstdint>
#include <map>

namespace sapphirespool::load
{

/// Number of a write of one session, from 1. A read of the session asks for the highest one that stands in the database.
using WriteNumber = std::uint64_t;

/// The writes of one session, one after the other, and the checks on them.
class SessionHistory
{
public:
    /// \return the number of the next write
    auto beginWrite() -> WriteNumber;

    /// Takes what the caller was told of a write.
    auto endWrite(WriteNumber number, ReplyKind kind) -> void;

    /// \return the highest number that a read which begins now must see
    [[nodiscard]] auto floor() const -> WriteNumber;

    /// Takes what a read saw that began when floor() was \p floorAtBegin.
    auto endRead(WriteNumber floorAtBegin, WriteNumber seen) -> void;

    /// Compares with how often each number stands in the database at the end, and adds what is wrong to \p violations.
    auto check(const std::map<WriteNumber, std::uint64_t> &stored, Violations &violations) const -> void;

private:
    std::map<WriteNumber, ReplyKind> writes;
    WriteNumber last = 0;
    WriteNumber seenFloor = 0;
    std::uint64_t staleReads = 0;
};

} // namespace sapphirespool::load
