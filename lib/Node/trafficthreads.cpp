#include "trafficthreads.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <exception>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace sapphirespool::node
{

namespace
{

namespace asio = boost::asio;

/// One thread with its loop, which runs until it is told to stop.
struct Loop
{
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->io);
    std::thread thread{[this] {
        this->io.run();
    }};
};

} // namespace

class TrafficThreads::Loops
{
public:
    explicit Loops(std::size_t count)
    {
        for (std::size_t place = 0; place < count; ++place) {
            this->all.push_back(std::make_unique<Loop>());
        }
    }

    ~Loops()
    {
        this->stop();
    }

    Loops(const Loops &) = delete;
    auto operator=(const Loops &) -> Loops & = delete;

    auto stop() -> void
    {
        for (const auto &loop : this->all) {
            loop->io.stop();
        }
        for (const auto &loop : this->all) {
            if (loop->thread.joinable()) {
                loop->thread.join();
            }
        }
    }

    auto first() -> asio::any_io_executor
    {
        return this->all.front()->io.get_executor();
    }

    auto next() -> asio::any_io_executor
    {
        return this->all[this->turn++ % this->all.size()]->io.get_executor();
    }

private:
    std::vector<std::unique_ptr<Loop>> all;
    std::atomic<std::size_t> turn = 0;
};

TrafficThreads::TrafficThreads(std::size_t count)
    : loops(std::make_shared<Loops>(count))
{
}

TrafficThreads::~TrafficThreads() = default;

auto TrafficThreads::dispatch() const -> asio::any_io_executor
{
    return this->loops->first();
}

auto TrafficThreads::sessions() -> http::ExecutorSource
{
    return [loops = this->loops.get()] {
        return loops->next();
    };
}

auto TrafficThreads::stop() -> void
{
    this->loops->stop();
}

auto TrafficThreads::runOnDispatch(std::function<void()> work) -> void
{
    auto done = std::make_shared<std::promise<void>>();
    asio::post(this->loops->first(), [done, work = std::move(work)] {
        try {
            work();
            done->set_value();
        } catch (const std::exception &) {
            done->set_exception(std::current_exception());
        }
    });
    done->get_future().get();
}

} // namespace sapphirespool::node
