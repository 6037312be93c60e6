// keyrecord.h: the records of one holder about requests that carry an idempotency key.
#pragma once

#include "sapphirespool/Sessions/holderhistory.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace sapphirespool::sessions
{

/// Copies of a key's record, in different zones. A majority of three survives the loss of one VM and the restart of another.
inline constexpr auto keyCopies = std::size_t{3};

/// Identifies one attempt to run a request; unique across all proxies.
using AttemptId = support::StrongType<struct AttemptIdTag, std::string>;

/// Digest of a request's content; distinguishes a resend from a different request with the same key.
using Fingerprint = support::StrongType<struct FingerprintTag, std::uint64_t>;

/// Service and idempotency key, joined to one name.
using KeyName = support::StrongType<struct KeyNameTag, std::string>;

[[nodiscard]] auto makeKeyName(const ServiceId &service, const IdempotencyKey &key) -> KeyName;

/// Sent by a coordinator to a holder, to record that an attempt is about to be sent.
struct KeyStart
{
    KeyName key;
    Fingerprint fingerprint;
    AttemptId attempt;
    /// Time allowed for the attempt. Once it has elapsed, the attempt has ended, whatever its outcome.
    std::chrono::milliseconds allowed{0};
};

/// Sent by a coordinator to a holder, to record the outcome of an attempt.
struct KeyFinish
{
    KeyName key;
    AttemptId attempt;
    /// The encoded answer, which holders do not interpret; empty if it is too large to be kept.
    std::string outcome;
};

/// Sent by a coordinator to a holder when an attempt was not sent and never will be.
struct KeyAbandon
{
    KeyName key;
    AttemptId attempt;
};

/// A holder's reply to a KeyStart.
enum class KeyState {
    /// Recorded. This holder is authoritative for the key, and there was no earlier attempt.
    Started,
    /// Recorded, but this holder is not authoritative: it may have lost the record of an earlier attempt or never received it.
    StartedUnsure,
    /// Not recorded, because the holder has reached its limit of records.
    Full,
    /// Another attempt has started and may still be running.
    InProgress,
    /// Another attempt has finished; the reply carries its outcome.
    Finished,
    /// Another attempt started, its time has elapsed, and no outcome was recorded.
    OutcomeUnknown,
    /// The key belongs to a different request.
    Reused,
};

struct KeyReply
{
    KeyState state = KeyState::Full;
    /// Set only if the state is Finished.
    std::string outcome;
    /// Number of proxies that the holder has seen in views within the retention time of a record.
    std::uint32_t proxiesSeen = 0;
};

/// Stores the records of one holder.
///
/// A resend with the same key finds the record of the earlier attempt until it expires, and does not run a second time.
class KeyHolder
{
public:
    KeyHolder(std::size_t limit, Duration retention);

    auto start(const KeyStart &start, const HolderHistory &history, TimePoint now) -> KeyReply;
    auto finish(const KeyFinish &finish, TimePoint now) -> void;
    auto abandon(const KeyAbandon &abandon) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Record
    {
        Fingerprint fingerprint;
        AttemptId attempt;
        /// When the time allowed for the attempt has elapsed.
        TimePoint attemptEnd;
        TimePoint expiry;
        bool finished = false;
        std::string outcome;
    };

    struct Expiry
    {
        TimePoint at;
        KeyName key;
    };

    [[nodiscard]] static auto stateOf(const Record &record, const KeyStart &start, TimePoint now) -> KeyState;
    auto expire(TimePoint now) -> void;

    std::size_t limit;
    Duration retention;
    std::unordered_map<KeyName, Record> records;
    std::deque<Expiry> expiryQueue;
};

} // namespace sapphirespool::sessions
