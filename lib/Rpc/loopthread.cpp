#include "sapphirespool/Rpc/loopthread.h"

#include "sapphirespool/Rpc/loopsignal.h"

#include <kj/async.h>

#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace sapphirespool::rpc
{

namespace
{

/// KJ fills static tables at the first setup. The thread sanitizer sees nothing of the library's own guard for them and reports a
/// race when two loops start; with a lock of ours it sees the order.
auto setupIo() -> kj::AsyncIoContext
{
    static auto mutex = std::mutex();
    const auto guard = std::lock_guard(mutex);
    return kj::setupAsyncIo();
}

} // namespace

class LoopThread::State
{
public:
    State()
        : thread([this] {
            this->run();
        })
    {
    }

    auto post(LoopWork work) -> void
    {
        const auto guard = std::lock_guard(this->mutex);
        if (this->stopping) {
            return;
        }
        this->queue.push_back(std::move(work));
        this->wake();
    }

    auto stop() -> void
    {
        {
            const auto guard = std::lock_guard(this->mutex);
            this->stopping = true;
            this->wake();
        }
        this->thread.join();
    }

private:
    /// Requires the mutex.
    auto wake() -> void
    {
        if (this->signal != nullptr) {
            this->signal->raise();
        }
    }

    auto run() -> void
    {
        auto io = setupIo();
        auto context = LoopContext{io.provider->getNetwork(), io.provider->getTimer(), *io.lowLevelProvider};
        auto ownSignal = LoopSignal(*io.lowLevelProvider);
        this->useSignal(&ownSignal);
        for (auto more = true; more;) {
            ownSignal.awaitRaised().wait(io.waitScope);
            more = this->runQueued(context);
        }
        this->useSignal(nullptr);
    }

    auto useSignal(LoopSignal *newSignal) -> void
    {
        const auto guard = std::lock_guard(this->mutex);
        this->signal = newSignal;
        // What was posted before there was a signal has woken nobody.
        this->wake();
    }

    /// \return false once the loop has to stop; all that was posted has run then
    auto runQueued(LoopContext &context) -> bool
    {
        auto taken = std::vector<LoopWork>();
        auto more = true;
        {
            const auto guard = std::lock_guard(this->mutex);
            taken.swap(this->queue);
            more = !this->stopping;
        }
        for (const auto &work : taken) {
            work(context);
        }
        return more;
    }

    std::mutex mutex;
    std::vector<LoopWork> queue;
    /// The loop's, while it runs.
    LoopSignal *signal = nullptr;
    bool stopping = false;
    std::thread thread;
};

LoopThread::LoopThread()
    : state(std::make_unique<State>())
{
}

LoopThread::~LoopThread()
{
    this->state->stop();
}

auto LoopThread::post(LoopWork work) -> void
{
    this->state->post(std::move(work));
}

} // namespace sapphirespool::rpc
