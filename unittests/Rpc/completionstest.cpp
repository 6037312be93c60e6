#include "sapphirespool/Rpc/completions.h"

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace sapphirespool::rpc
{

namespace
{

/// A loop with the objects that live on it.
class LoopWithCompletions
{
public:
    LoopWithCompletions()
    {
        this->loop->post([this](LoopContext &) {
            this->completions = std::make_shared<Completions>(this->loop);
            this->tasks = std::make_unique<Tasks>();
        });
    }

    ~LoopWithCompletions()
    {
        this->close();
    }

    auto close() -> void
    {
        if (this->loop == nullptr) {
            return;
        }
        this->loop->post([this](LoopContext &) {
            this->tasks.reset();
            this->completions.reset();
        });
        this->loop.reset();
    }

    /// \return a completion, after which \p seen gets what \p written holds by then
    auto expect(const std::shared_ptr<int> &written, std::promise<int> &seen) -> Completion
    {
        auto given = std::promise<Completion>();
        auto completion = given.get_future();
        this->loop->post([this, &given, &seen, written](LoopContext &) {
            auto pending = this->completions->add();
            this->tasks->set.add(pending.promise.then([&seen, written] {
                seen.set_value(*written);
            }));
            given.set_value(std::move(pending.completion));
        });
        return completion.get();
    }

private:
    struct Tasks final : kj::TaskSet::ErrorHandler
    {
        kj::TaskSet set{*this};

        auto taskFailed(kj::Exception &&exception) -> void override
        {
            kj::throwFatalException(kj::mv(exception));
        }
    };

    std::shared_ptr<LoopThread> loop = std::make_shared<LoopThread>();
    std::shared_ptr<Completions> completions;
    std::unique_ptr<Tasks> tasks;
};

} // namespace

// Failure: a call's result is read on the loop before the thread that computes it has written it; the thread sanitizer would report the race.
TEST_CASE("a promise resolves after its completion is destroyed on another thread, and sees what was written before")
{
    constexpr auto rounds = 500;
    auto loop = LoopWithCompletions();
    for (auto round = 0; round < rounds; ++round) {
        auto seen = std::promise<int>();
        const auto written = std::make_shared<int>(-1);
        auto completion = loop.expect(written, seen);
        auto worker = std::thread([held = std::move(completion), written, round]() mutable {
            const auto completing = std::move(held);
            *written = round;
        });
        CHECK(seen.get_future().get() == round);
        worker.join();
    }
}

// Failure: a call that is answered after its loop has ended uses freed memory.
TEST_CASE("a completion that outlives its loop does nothing")
{
    auto seen = std::promise<int>();
    auto loop = LoopWithCompletions();
    const auto completion = loop.expect(std::make_shared<int>(1), seen);
    loop.close();
}

} // namespace sapphirespool::rpc
