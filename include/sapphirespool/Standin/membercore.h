// membercore.h: terms, part and log of a stand-in member; without sockets, clocks or threads.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Standin/memberstore.h"
#include "sapphirespool/Standin/replicationlog.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sapphirespool::standin
{

/// The replicated part of a member. The database that it fills follows appliedPosition().
class MemberCore
{
public:
    /// Starts from what \p store holds.
    MemberCore(UpstreamId id, Incarnation incarnation, std::shared_ptr<MemberStore> store);

    /// Refuses all work of terms below that of \p request from now on.
    auto fence(const platform::FenceRequest &request, TimePoint now) -> platform::PositionReport;

    /// Makes the member the primary of the term.
    /// \return nothing if it has seen a higher term or follows another primary in this one
    auto promote(const platform::PromoteRequest &request, TimePoint now) -> std::optional<platform::PositionReport>;

    /// Makes the member a replica, dropping what an earlier term wrote above `keptUpTo`.
    /// \return nothing if it has seen a higher term or is the primary of this one
    auto follow(const platform::FollowRequest &request, TimePoint now) -> std::optional<platform::PositionReport>;

    /// \return whether a write of \p term may run here
    [[nodiscard]] auto mayWrite(Term term) const -> bool;

    /// \return whether a read bound to \p term may run here; term 0 is bound to none. A member whose log was not yet compared
    /// with that of its term's primary reads nothing: it may end in entries that the promotion dropped.
    [[nodiscard]] auto mayRead(Term term) const -> bool;

    /// Adds a committed write of the primary.
    auto append(std::vector<LoggedStatement> statements, TimePoint now) -> LogPosition;

    /// \return whether logAfter() has something to say at once
    [[nodiscard]] auto hasNewsFor(const LogRequest &request) const -> bool;

    /// Answers a replica.
    [[nodiscard]] auto logAfter(const LogRequest &request) const -> LogReply;

    /// \return what a replica asks next, or nothing if it follows nobody
    [[nodiscard]] auto nextRequest() const -> std::optional<LogRequest>;

    /// Takes the answer to \p request, which was sent at \p sentAt.
    auto accept(const LogRequest &request, const LogReply &reply, TimePoint sentAt, TimePoint now) -> void;

    /// Time by which a replica's reads stay behind what it holds.
    auto setLag(std::chrono::milliseconds lag) -> void;

    /// Lets entries become visible to reads.
    auto advance(TimePoint now) -> void;

    [[nodiscard]] auto report(TimePoint now) const -> platform::PositionReport;
    [[nodiscard]] auto state() const -> const MemberState &;
    [[nodiscard]] auto position() const -> LogPosition;
    [[nodiscard]] auto appliedPosition() const -> LogPosition;
    /// \return entries above \p after that reads may see
    [[nodiscard]] auto visibleAfter(LogPosition after) const -> std::span<const LogEntry>;
    /// \return number of times that entries were dropped; a database filled before then is void
    [[nodiscard]] auto cuts() const -> std::uint64_t;
    /// \return by how much the data that reads see may be behind the primary's
    [[nodiscard]] auto age(TimePoint now) const -> std::chrono::milliseconds;

private:
    /// A time at which the primary's log ended at `position`.
    struct FreshMark
    {
        std::uint64_t position = 0;
        TimePoint asOf;
    };

    auto save(MemberState next) -> void;
    auto addEntry(LogEntry entry, TimePoint now) -> void;
    auto cutAt(std::uint64_t position) -> void;
    auto showEverything() -> void;
    [[nodiscard]] auto lastTerm() const -> std::uint64_t;
    [[nodiscard]] auto termAt(std::uint64_t position) const -> std::uint64_t;

    UpstreamId id;
    Incarnation incarnation;
    std::shared_ptr<MemberStore> store;
    MemberState durable;
    std::vector<LogEntry> log;
    /// When each entry arrived here; as long as the log.
    std::vector<TimePoint> arrivals;
    std::uint64_t applied = 0;
    std::uint64_t cutCount = 0;
    /// Whether the primary of this term confirmed that this log is a part of its own.
    bool matched = false;
    std::chrono::milliseconds lag{0};
    std::deque<FreshMark> marks;
    std::optional<TimePoint> freshAsOf;
};

} // namespace sapphirespool::standin
