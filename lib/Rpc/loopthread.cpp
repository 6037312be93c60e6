#include "sapphirespool/Rpc/loopthread.h"

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
        if (this->waker.get() != nullptr) {
            this->waker->fulfill();
            this->waker = nullptr;
        }
    }

    auto run() -> void
    {
        auto io = setupIo();
        auto context = LoopContext{io.provider->getNetwork(), io.provider->getTimer(), *io.lowLevelProvider};
        for (auto more = true; more;) {
            more = this->awaitWork(io.waitScope);
            this->runQueued(context);
        }
    }

    /// \return false once the loop has to stop
    auto awaitWork(kj::WaitScope &waitScope) -> bool
    {
        auto signal = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            const auto guard = std::lock_guard(this->mutex);
            if (this->stopping) {
                return false;
            }
            this->waker = kj::mv(signal.fulfiller);
            if (!this->queue.empty()) {
                this->wake();
            }
        }
        signal.promise.wait(waitScope);
        return true;
    }

    auto runQueued(LoopContext &context) -> void
    {
        auto taken = std::vector<LoopWork>();
        {
            const auto guard = std::lock_guard(this->mutex);
            taken.swap(this->queue);
        }
        for (const auto &work : taken) {
            work(context);
        }
    }

    std::mutex mutex;
    std::vector<LoopWork> queue;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker;
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
