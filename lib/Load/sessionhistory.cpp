#include "sapphirespool/Load/sessionhistory.h"

#include <algorithm>

namespace sapphirespool::load
{

auto SessionHistory::beginWrite() -> WriteNumber
{
    ++this->last;
    this->writes[this->last] = ReplyKind::Unknown;
    return this->last;
}

auto SessionHistory::endWrite(WriteNumber number, ReplyKind kind) -> void
{
    this->writes[number] = kind;
    if (kind == ReplyKind::Answered) {
        this->seenFloor = std::max(this->seenFloor, number);
    }
}

auto SessionHistory::floor() const -> WriteNumber
{
    return this->seenFloor;
}

auto SessionHistory::endRead(WriteNumber floorAtBegin, WriteNumber seen) -> void
{
    this->staleReads += seen < floorAtBegin ? 1 : 0;
}

auto SessionHistory::check(const std::map<WriteNumber, std::uint64_t> &stored, Violations &violations) const -> void
{
    violations.staleReads += this->staleReads;
    for (const auto &[number, kind] : this->writes) {
        const auto found = stored.find(number);
        const auto times = found == stored.end() ? 0 : found->second;
        violations.doubledWrites += times > 1 ? 1 : 0;
        violations.lostWrites += kind == ReplyKind::Answered && times == 0 ? 1 : 0;
        violations.untrueRefusals += kind == ReplyKind::NotRun && times > 0 ? 1 : 0;
    }
}

} // namespace sapphirespool::load
