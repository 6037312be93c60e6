#include "sapphirespool/Rpc/completions.h"

#include <utility>

namespace sapphirespool::rpc
{

Completion::Completion(std::weak_ptr<LoopThread> loop, std::weak_ptr<Completions> owner, std::uint64_t ticket)
    : loop(std::move(loop))
    , owner(std::move(owner))
    , ticket(ticket)
{
}

Completion::~Completion()
{
    const auto alive = this->loop.lock();
    if (alive == nullptr) {
        return;
    }
    alive->post([owner = this->owner, ticket = this->ticket](LoopContext &) {
        if (const auto completions = owner.lock()) {
            completions->complete(ticket);
        }
    });
}

Completions::Completions(std::weak_ptr<LoopThread> loop)
    : loop(std::move(loop))
{
}

auto Completions::add() -> Pending
{
    auto signal = kj::newPromiseAndFulfiller<void>();
    const auto ticket = ++this->lastTicket;
    this->waiting.emplace(ticket, kj::mv(signal.fulfiller));
    return Pending{kj::mv(signal.promise), Completion(this->loop, this->weak_from_this(), ticket)};
}

auto Completions::complete(std::uint64_t ticket) -> void
{
    auto entry = this->waiting.extract(ticket);
    if (!entry.empty()) {
        entry.mapped()->fulfill();
    }
}

} // namespace sapphirespool::rpc
