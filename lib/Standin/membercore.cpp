#include "sapphirespool/Standin/membercore.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

using platform::Role;

/// Age reported by a replica that never heard of a primary: one day, more than any reader accepts.
constexpr auto unknownAge = std::chrono::milliseconds(86'400'000);

/// Entries in one answer; keeps an answer to a late joiner around 100 KB.
constexpr auto largestBatch = std::size_t{512};

} // namespace

MemberCore::MemberCore(UpstreamId id, Incarnation incarnation, std::shared_ptr<MemberStore> store)
    : id(std::move(id))
    , incarnation(incarnation)
    , store(std::move(store))
    , durable(this->store->loadState())
    , log(this->store->loadLog())
    , arrivals(this->log.size())
    , applied(this->log.size())
{
}

auto MemberCore::fence(const platform::FenceRequest &request, TimePoint now) -> platform::PositionReport
{
    if (request.term > this->durable.term) {
        // An old primary that a restart made forget its fence would have its writes confirmed after the promotion. The term
        // is durable before the answer that lets the promotion go on.
        auto next = MemberState();
        next.term = request.term;
        this->save(std::move(next));
    }
    return this->report(now);
}

auto MemberCore::promote(const platform::PromoteRequest &request, TimePoint now) -> std::optional<platform::PositionReport>
{
    const auto sameTerm = request.term == this->durable.term;
    if (request.term < this->durable.term || (sameTerm && this->durable.role == Role::Replica)) {
        return std::nullopt;
    }
    if (!sameTerm || this->durable.role != Role::Primary) {
        auto next = MemberState();
        next.term = request.term;
        next.role = Role::Primary;
        next.promotedAt = this->log.size();
        next.promotedLastTerm = this->lastTerm();
        this->save(std::move(next));
        this->showEverything();
    }
    // A repeated promotion must name the same end of the earlier terms, whatever was written since.
    auto report = this->report(now);
    report.position = this->durable.promotedAt;
    report.applied = this->durable.promotedAt;
    report.lastTerm = this->durable.promotedLastTerm;
    return report;
}

auto MemberCore::follow(const platform::FollowRequest &request, TimePoint now) -> std::optional<platform::PositionReport>
{
    const auto sameTerm = request.term == this->durable.term;
    if (request.term < this->durable.term || (sameTerm && this->durable.role == Role::Primary)) {
        return std::nullopt;
    }
    if (this->log.size() > request.keptUpTo && this->termAt(request.keptUpTo + 1) < request.term) {
        this->cutAt(request.keptUpTo);
    }
    auto next = MemberState();
    next.term = request.term;
    next.role = Role::Replica;
    next.primary = request.primary;
    next.primaryAddress = request.address;
    next.primaryPort = request.port;
    this->save(std::move(next));
    return this->report(now);
}

auto MemberCore::mayWrite(Term term) const -> bool
{
    return this->durable.role == Role::Primary && term.value() == this->durable.term;
}

auto MemberCore::mayRead(Term term) const -> bool
{
    const auto readable = this->durable.role == Role::Primary || (this->durable.role == Role::Replica && this->matched);
    return readable && (term.value() == 0 || term.value() == this->durable.term);
}

auto MemberCore::append(std::vector<LoggedStatement> statements, TimePoint now) -> LogPosition
{
    assert(this->durable.role == Role::Primary && "only a primary writes");
    this->addEntry(LogEntry{this->durable.term, std::move(statements)}, now);
    this->applied = this->log.size();
    return this->position();
}

auto MemberCore::hasNewsFor(const LogRequest &request) const -> bool
{
    const auto serves = this->durable.role == Role::Primary && request.term == this->durable.term;
    return !serves || this->log.size() != request.after || this->lastTerm() != request.lastTerm;
}

auto MemberCore::logAfter(const LogRequest &request) const -> LogReply
{
    auto reply = LogReply();
    reply.term = this->durable.term;
    if (this->durable.role != Role::Primary || request.term != this->durable.term) {
        reply.status = LogStatus::WrongTerm;
        return reply;
    }
    if (request.after > this->log.size() || this->termAt(request.after) != request.lastTerm) {
        // A member that was away during a promotion may end in entries that the promotion dropped. Terms rise along a log,
        // so what lies above the last entry of at most its own last term cannot agree.
        reply.status = LogStatus::Conflict;
        reply.position = std::min<std::uint64_t>(request.after == 0 ? 0 : request.after - 1, this->log.size());
        while (reply.position > 0 && this->termAt(reply.position) > request.lastTerm) {
            --reply.position;
        }
        return reply;
    }
    const auto count = std::min(largestBatch, this->log.size() - request.after);
    const auto first = this->log.begin() + static_cast<std::ptrdiff_t>(request.after);
    reply.entries.assign(first, first + static_cast<std::ptrdiff_t>(count));
    reply.position = this->log.size();
    return reply;
}

auto MemberCore::nextRequest() const -> std::optional<LogRequest>
{
    if (this->durable.role != Role::Replica) {
        return std::nullopt;
    }
    return LogRequest{this->durable.term, this->log.size(), this->lastTerm()};
}

auto MemberCore::accept(const LogRequest &request, const LogReply &reply, TimePoint sentAt, TimePoint now) -> void
{
    // An answer from before a fence or a cut would bring back what an ended term wrote.
    const auto current = this->nextRequest();
    const auto stands = current && current->term == request.term && current->after == request.after && current->lastTerm == request.lastTerm;
    if (!stands || reply.term != request.term || reply.status == LogStatus::WrongTerm) {
        return;
    }
    if (reply.status == LogStatus::Conflict) {
        this->cutAt(std::min<std::uint64_t>(reply.position, this->log.size()));
        return;
    }
    this->matched = true;
    for (const auto &entry : reply.entries) {
        this->addEntry(entry, now);
    }
    this->marks.push_back(FreshMark{reply.position, sentAt + std::chrono::milliseconds(reply.heldMs)});
    this->advance(now);
}

auto MemberCore::setLag(std::chrono::milliseconds newLag) -> void
{
    this->lag = newLag;
}

auto MemberCore::advance(TimePoint now) -> void
{
    if (this->durable.role == Role::Primary) {
        this->showEverything();
    }
    while (this->applied < this->log.size() && this->arrivals[this->applied] + this->lag <= now) {
        ++this->applied;
    }
    while (!this->marks.empty() && this->marks.front().position <= this->applied) {
        this->freshAsOf = this->marks.front().asOf;
        this->marks.pop_front();
    }
}

auto MemberCore::report(TimePoint now) const -> platform::PositionReport
{
    auto report = platform::PositionReport();
    report.id = this->id.value();
    report.incarnation = this->incarnation.value();
    report.term = this->durable.term;
    report.role = this->durable.role;
    report.lastTerm = this->lastTerm();
    report.position = this->log.size();
    report.applied = this->mayRead(Term(0)) ? this->applied : 0;
    report.ageMs = static_cast<std::uint64_t>(this->age(now).count());
    return report;
}

auto MemberCore::state() const -> const MemberState &
{
    return this->durable;
}

auto MemberCore::position() const -> LogPosition
{
    return LogPosition(this->log.size());
}

auto MemberCore::appliedPosition() const -> LogPosition
{
    return LogPosition(this->applied);
}

auto MemberCore::visibleAfter(LogPosition after) const -> std::span<const LogEntry>
{
    assert(after.value() <= this->applied && "reads never go back without a cut");
    return std::span(this->log).subspan(after.value(), this->applied - after.value());
}

auto MemberCore::cuts() const -> std::uint64_t
{
    return this->cutCount;
}

auto MemberCore::age(TimePoint now) const -> std::chrono::milliseconds
{
    if (this->durable.role == Role::Primary) {
        return std::chrono::milliseconds(0);
    }
    if (!this->freshAsOf) {
        return unknownAge;
    }
    return std::min(unknownAge, std::chrono::ceil<std::chrono::milliseconds>(std::max(now - *this->freshAsOf, Duration::zero())));
}

auto MemberCore::save(MemberState next) -> void
{
    this->store->saveState(next);
    if (next.term != this->durable.term || next.role != this->durable.role) {
        this->matched = false;
        this->marks.clear();
    }
    this->durable = std::move(next);
}

auto MemberCore::addEntry(LogEntry entry, TimePoint now) -> void
{
    this->store->append(entry);
    this->log.push_back(std::move(entry));
    this->arrivals.push_back(now);
}

auto MemberCore::cutAt(std::uint64_t position) -> void
{
    this->store->cut(position);
    this->log.resize(position);
    this->arrivals.resize(position);
    this->marks.clear();
    ++this->cutCount;
    this->applied = std::min(this->applied, position);
}

auto MemberCore::showEverything() -> void
{
    this->applied = this->log.size();
}

auto MemberCore::lastTerm() const -> std::uint64_t
{
    return this->log.empty() ? 0 : this->log.back().term;
}

auto MemberCore::termAt(std::uint64_t position) const -> std::uint64_t
{
    return position == 0 ? 0 : this->log[position - 1].term;
}

} // namespace sapphirespool::standin
