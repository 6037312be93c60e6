// faults.h: what a stand-in member can be told to do wrongly, for tests and the demo.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace sapphirespool::standin
{

/// State of a whole member.
enum class MemberFault {
    None,
    /// The process is gone: no sockets, no announcements.
    Stopped,
    /// Platform and members cannot reach it; callers' statements still do.
    CutOff,
    /// It holds its sockets and answers nothing.
    Frozen,
};
BOOST_DESCRIBE_ENUM(MemberFault, None, Stopped, CutOff, Frozen)

/// What becomes of the answer to a statement that ran.
enum class AnswerFault {
    None,
    /// The connection closes without a byte of it.
    Dropped,
    /// It comes after `lateMs`.
    Late,
    /// It carries the number of the request before.
    Crossed,
    /// The connection closes in the middle of it.
    Half,
};
BOOST_DESCRIBE_ENUM(AnswerFault, None, Dropped, Late, Crossed, Half)

/// Body of `POST /standin/faults`; fields that are left out keep their defaults, so an empty object heals the member.
struct Faults
{
    MemberFault member = MemberFault::None;
    AnswerFault answer = AnswerFault::None;
    /// Answers to spoil; 0: all.
    std::uint32_t answers = 0;
    std::uint64_t lateMs = 0;
    /// Time after which the member heals by itself; 0: never.
    std::uint64_t forMs = 0;
};
BOOST_DESCRIBE_STRUCT(Faults, (), (member, answer, answers, lateMs, forMs))

/// \return the faults in \p text, or nothing if a field is unknown or of the wrong type
[[nodiscard]] auto parseFaults(std::string_view text) -> std::optional<Faults>;

} // namespace sapphirespool::standin
