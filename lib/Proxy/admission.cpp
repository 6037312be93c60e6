#include "admission.h"

#include "sapphirespool/Proxy/wakeup.h"

#include <cassert>
#include <utility>

namespace sapphirespool::proxy
{

struct Admission::Waiter
{
    explicit Waiter(const boost::asio::any_io_executor &executor)
        : wakeup(executor)
    {
    }

    Wakeup wakeup;
    std::optional<decisions::Action> decision;
};

Slot::Slot(std::shared_ptr<Admission> admission, decisions::WorkId work, UpstreamId upstream)
    : admission(std::move(admission))
    , work(work)
    , upstreamId(std::move(upstream))
{
}

Slot::~Slot()
{
    this->finish(decisions::WorkOutcome::NotRun);
}

Slot::Slot(Slot &&other) noexcept
    : admission(std::move(other.admission))
    , work(other.work)
    , upstreamId(std::move(other.upstreamId))
{
    other.admission = nullptr;
}

auto Slot::operator=(Slot &&other) noexcept -> Slot &
{
    std::swap(this->admission, other.admission);
    std::swap(this->work, other.work);
    std::swap(this->upstreamId, other.upstreamId);
    return *this;
}

auto Slot::upstream() const -> const UpstreamId &
{
    return this->upstreamId;
}

auto Slot::finish(decisions::WorkOutcome outcome) -> void
{
    const auto taken = std::exchange(this->admission, nullptr);
    if (taken != nullptr) {
        taken->finished(this->work, outcome);
    }
}

Admission::Admission(boost::asio::any_io_executor executor, std::shared_ptr<decisions::Dispatcher> dispatcher)
    : executor(std::move(executor))
    , dispatcher(std::move(dispatcher))
    , ticker(this->executor)
{
}

auto Admission::admit(decisions::Work work) -> boost::asio::awaitable<Admitted>
{
    const auto self = this->shared_from_this();
    this->last = this->last.next();
    const auto id = this->last;
    work.id = id;
    const auto waiter = std::make_shared<Waiter>(this->executor);
    this->waiting.emplace(id, waiter);
    this->apply(this->dispatcher->submit(std::move(work), std::chrono::steady_clock::now()));
    while (!waiter->decision) {
        co_await waiter->wakeup.wait(TimePoint::max());
    }
    if (const auto *const refusal = std::get_if<decisions::Refuse>(&*waiter->decision)) {
        co_return *refusal;
    }
    const auto &start = std::get<decisions::Start>(*waiter->decision);
    co_return Slot(self, id, start.upstream);
}

auto Admission::finished(decisions::WorkId work, decisions::WorkOutcome outcome) -> void
{
    this->apply(this->dispatcher->finished(work, outcome, std::chrono::steady_clock::now()));
}

auto Admission::observe(const decisions::Observation &observation) -> void
{
    this->apply(this->dispatcher->observe(observation, std::chrono::steady_clock::now()));
}

auto Admission::viewChanged(std::shared_ptr<const membership::ClusterView> view) -> void
{
    this->apply(this->dispatcher->viewChanged(std::move(view), std::chrono::steady_clock::now()));
}

auto Admission::stop() -> void
{
    this->stopped = true;
    this->ticker.cancel();
}

auto Admission::apply(const decisions::Dispatcher::Actions &actions) -> void
{
    for (const auto &action : actions) {
        const auto work = std::visit(
            [](const auto &decision) {
                return decision.id;
            },
            action);
        this->settle(work, action);
    }
    this->armTick();
}

auto Admission::settle(decisions::WorkId work, const decisions::Action &action) -> void
{
    const auto found = this->waiting.find(work);
    assert(found != this->waiting.end() && "the dispatcher decides once for each work");
    const auto waiter = found->second;
    this->waiting.erase(found);
    waiter->decision = action;
    waiter->wakeup.notify();
}

auto Admission::armTick() -> void
{
    const auto next = this->dispatcher->nextTick();
    if (this->stopped || !next || (this->armedFor && *this->armedFor <= *next)) {
        return;
    }
    this->armedFor = next;
    this->ticker.expires_at(*next);
    this->ticker.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || self == nullptr) {
            return;
        }
        self->armedFor.reset();
        self->apply(self->dispatcher->tick(std::chrono::steady_clock::now()));
    });
}

} // namespace sapphirespool::proxy
