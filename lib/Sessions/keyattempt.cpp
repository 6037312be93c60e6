#include "sapphirespool/Sessions/keyattempt.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::sessions
{

KeyAttempt::KeyAttempt(std::size_t holders)
    : majority(holders / 2 + 1)
    , outstanding(holders)
    , hasReplied(holders, false)
{
    if (holders == 0) {
        this->decided = KeyRefusal::HoldersUnreachable;
    }
}

auto KeyAttempt::handle(std::size_t holder, std::optional<KeyReply> reply) -> void
{
    assert(holder < this->hasReplied.size() && "holder index out of range");
    // A duplicated reply would count as two holders, so that a single holder could form a majority.
    if (this->hasReplied[holder]) {
        return;
    }
    this->hasReplied[holder] = true;
    --this->outstanding;
    if (reply) {
        this->replies.push_back(std::move(*reply));
    }
    if (!this->decided) {
        this->decided = this->decide();
    }
}

auto KeyAttempt::decision() const -> const std::optional<KeyDecision> &
{
    return this->decided;
}

auto KeyAttempt::decide() const -> std::optional<KeyDecision>
{
    const auto finished = std::find_if(this->replies.begin(), this->replies.end(), [](const KeyReply &reply) {
        return reply.state == KeyState::Finished;
    });
    if (finished != this->replies.end()) {
        return AlreadyFinished{finished->outcome};
    }
    if (this->maySend()) {
        return MaySend();
    }
    if (this->outstanding > 0) {
        return std::nullopt;
    }
    if (this->count(KeyState::Reused) > 0) {
        return KeyRefusal::Reused;
    }
    if (this->count(KeyState::InProgress) > 0) {
        return KeyRefusal::InProgress;
    }
    if (this->count(KeyState::OutcomeUnknown) > 0) {
        return KeyRefusal::OutcomeUnknown;
    }
    return KeyRefusal::HoldersUnreachable;
}

auto KeyAttempt::maySend() const -> bool
{
    const auto authoritativeReplies = this->count(KeyState::Started);
    const auto recorded = authoritativeReplies + this->count(KeyState::StartedUnsure);
    return recorded >= this->majority && authoritativeReplies >= this->requiredAuthoritativeReplies();
}

auto KeyAttempt::count(KeyState state) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(this->replies.begin(), this->replies.end(), [state](const KeyReply &reply) {
        return reply.state == state;
    }));
}

auto KeyAttempt::requiredAuthoritativeReplies() const -> std::size_t
{
    // An earlier attempt may have been recorded when there were more proxies than now, by a majority of the holders at that time.
    // The authoritative replies must intersect each such majority; fewer could all come from holders that its KeyStart never
    // reached. With up to two proxies each start was recorded by all of them, so one authoritative reply is enough, and a system
    // of two VMs serves keys although one of them was restarted.
    auto proxies = std::size_t{1};
    for (const auto &reply : this->replies) {
        proxies = std::max(proxies, std::size_t{reply.proxiesSeen});
    }
    const auto copies = std::min(proxies, keyCopies);
    const auto copiesWritten = copies / 2 + 1;
    return copies - copiesWritten + 1;
}

} // namespace sapphirespool::sessions
