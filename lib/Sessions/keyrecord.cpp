#include "sapphirespool/Sessions/keyrecord.h"

#include <utility>

namespace sapphirespool::sessions
{

auto makeKeyName(const ServiceId &service, const IdempotencyKey &key) -> KeyName
{
    return KeyName(service.value() + "/" + key.value());
}

KeyHolder::KeyHolder(std::size_t limit, Duration retention)
    : limit(limit)
    , retention(retention)
{
}

auto KeyHolder::start(const KeyStart &start, const HolderHistory &history, TimePoint now) -> KeyReply
{
    this->expire(now);
    auto reply = KeyReply();
    reply.proxiesSeen = static_cast<std::uint32_t>(history.proxiesSeen(now));
    // A restarted holder has lost its records. If it reported a missing record as "never seen", a request that already ran could
    // run again. Until every record that it may have lost would have expired, it records the start but is not authoritative.
    const auto isAuthoritative = history.isAuthoritative(start.key.value(), keyCopies, now);
    const auto found = this->records.find(start.key);
    if (found != this->records.end()) {
        const auto &record = found->second;
        const auto isSameAttempt = record.attempt == start.attempt && !record.finished;
        reply.state = isSameAttempt ? (isAuthoritative ? KeyState::Started : KeyState::StartedUnsure) : stateOf(record, start, now);
        reply.outcome = reply.state == KeyState::Finished ? record.outcome : std::string();
        return reply;
    }
    // An unexpired record is never evicted, since its request could then run twice.
    if (this->records.size() >= this->limit) {
        reply.state = KeyState::Full;
        return reply;
    }
    this->records.emplace(start.key, Record{start.fingerprint, start.attempt, now + start.allowed, now + this->retention, false, {}});
    this->expiryQueue.push_back({now + this->retention, start.key});
    reply.state = isAuthoritative ? KeyState::Started : KeyState::StartedUnsure;
    return reply;
}

auto KeyHolder::finish(const KeyFinish &finish, TimePoint now) -> void
{
    this->expire(now);
    const auto found = this->records.find(finish.key);
    if (found == this->records.end() || found->second.attempt != finish.attempt) {
        return;
    }
    found->second.finished = true;
    found->second.outcome = finish.outcome;
}

auto KeyHolder::abandon(const KeyAbandon &abandon) -> void
{
    const auto found = this->records.find(abandon.key);
    if (found == this->records.end() || found->second.attempt != abandon.attempt || found->second.finished) {
        return;
    }
    this->records.erase(found);
}

auto KeyHolder::size() const -> std::size_t
{
    return this->records.size();
}

auto KeyHolder::stateOf(const Record &record, const KeyStart &start, TimePoint now) -> KeyState
{
    if (record.fingerprint != start.fingerprint) {
        return KeyState::Reused;
    }
    if (record.finished) {
        return KeyState::Finished;
    }
    return now < record.attemptEnd ? KeyState::InProgress : KeyState::OutcomeUnknown;
}

auto KeyHolder::expire(TimePoint now) -> void
{
    while (!this->expiryQueue.empty() && this->expiryQueue.front().at <= now) {
        const auto found = this->records.find(this->expiryQueue.front().key);
        if (found != this->records.end() && found->second.expiry <= now) {
            this->records.erase(found);
        }
        this->expiryQueue.pop_front();
    }
}

} // namespace sapphirespool::sessions
