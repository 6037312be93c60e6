// completions.h: promises of an event loop that other threads complete.
#pragma once

#include "sapphirespool/Rpc/loopthread.h"

#include <kj/async.h>

#include <cstdint>
#include <map>
#include <memory>

namespace sapphirespool::rpc
{

class Completions;

/// Completes one promise of an event loop when it is destroyed, which may happen on any thread but the loop's own. Does nothing once the
/// loop has stopped.
class Completion
{
public:
    Completion(Completion &&other) noexcept = default;
    auto operator=(Completion &&other) -> Completion & = delete;
    ~Completion();

private:
    friend class Completions;
    Completion(std::weak_ptr<LoopThread> loop, std::weak_ptr<Completions> owner, std::uint64_t ticket);

    /// Empty after a move.
    std::weak_ptr<LoopThread> loop;
    std::weak_ptr<Completions> owner;
    std::uint64_t ticket;
};

/// The promises that wait for a completion. Used on the event loop only.
///
/// KJ's own fulfillers across threads are ordered by locks inside its library, which the thread sanitizer does not see; see LoopSignal.
class Completions : public std::enable_shared_from_this<Completions>
{
public:
    struct Pending
    {
        /// Resolves on the loop after \ref completion is destroyed; what was written before is visible then.
        kj::Promise<void> promise;
        Completion completion;
    };

    explicit Completions(std::weak_ptr<LoopThread> loop);

    auto add() -> Pending;

private:
    friend class Completion;
    auto complete(std::uint64_t ticket) -> void;

    std::weak_ptr<LoopThread> loop;
    std::uint64_t lastTicket = 0;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<void>>> waiting;
};

} // namespace sapphirespool::rpc
