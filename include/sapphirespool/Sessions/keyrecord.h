// keyrecord.h: what one holder knows of the requests that carry an idempotency key.
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

/// Name of one attempt to run a request; no two attempts share it, whichever proxies make them.
using AttemptId = support::StrongType<struct AttemptIdTag, std::string>;

/// Digest of what a request asks for; tells a resend from another request under the same key.
using Fingerprint = support::StrongType<struct FingerprintTag, std::uint64_t>;

/// Service and idempotency key in one name.
using KeyName = support::StrongType<struct KeyNameTag, std::string>;

[[nodiscard]] auto makeKeyName(const ServiceId &service, const IdempotencyKey &key) -> KeyName;

/// Asks a holder to record that an attempt is about to send.
struct KeyStart
{
    KeyName key;
    Fingerprint fingerprint;
    AttemptId attempt;
    /// Time after which the attempt has ended one way or another.
    std::chrono::milliseconds allowed{0};
};

/// Tells a holder how an attempt ended.
struct KeyFinish
{
    KeyName key;
    AttemptId attempt;
    /// The answer, as the traffic path encodes it.
    std::string outcome;
};

/// Tells a holder that an attempt has sent nothing and never will.
struct KeyAbandon
{
    KeyName key;
    AttemptId attempt;
};

/// What a holder says to a KeyStart.
enum class KeyState {
    /// Recorded; this holder would know of any earlier attempt, and there was none.
    Started,
    /// Recorded; but an earlier attempt may have been forgotten, or never told to this holder.
    StartedUnsure,
    /// Not recorded, because the holder is full.
    Full,
    /// Another attempt has started and may still run.
    InProgress,
    /// Another attempt ended and this is its outcome.
    Finished,
    /// Another attempt started, its time is over, and no outcome was recorded.
    OutcomeUnknown,
    /// The key belongs to a different request.
    Reused,
};

struct KeyReply
{
    KeyState state = KeyState::Full;
    /// Only if the state is Finished.
    std::string outcome;
    /// Proxies that the holder has seen within the life of a record.
    std::uint32_t proxiesSeen = 0;
};

/// The records of one holder.
class KeyHolder
{
public:
    KeyHolder(std::size_t limit, Duration life);

    auto start(const KeyStart &start, const HolderHistory &history, TimePoint now) -> KeyReply;
    auto finish(const KeyFinish &finish, TimePoint now) -> void;
    auto abandon(const KeyAbandon &abandon) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Record
    {
        Fingerprint fingerprint;
        AttemptId attempt;
        /// When the attempt's own time is over.
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

    [[nodiscard]] static auto known(const Record &record, const KeyStart &start, TimePoint now) -> KeyState;
    auto expire(TimePoint now) -> void;

    std::size_t limit;
    Duration life;
    std::unordered_map<KeyName, Record> records;
    std::deque<Expiry> order;
};

} // namespace sapphirespool::sessions
