// stopsignal.h: waits for the request to stop, and for changes of the settings.
#pragma once

#include <chrono>
#include <csignal>
#include <ctime>

namespace sapphirespool::tool
{

/// What ended a wait.
enum class Wake {
    Stop,
    /// SIGHUP: the settings have changed.
    Reload,
    /// The time ran out.
    Timeout,
};

/// Blocks SIGINT, SIGTERM and SIGHUP for this thread and those that it starts; make it before the first thread.
class StopSignal
{
public:
    StopSignal()
    {
        sigemptyset(&this->signals);
        sigaddset(&this->signals, SIGINT);
        sigaddset(&this->signals, SIGTERM);
        sigaddset(&this->signals, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
    }

    /// Returns once one of the signals has come, or after \p limit.
    auto wait(std::chrono::seconds limit) -> Wake
    {
        const auto time = timespec{limit.count(), 0};
        switch (sigtimedwait(&this->signals, nullptr, &time)) {
        case SIGINT:
        case SIGTERM:
            return Wake::Stop;
        case SIGHUP:
            return Wake::Reload;
        default:
            return Wake::Timeout;
        }
    }

    /// Returns once the process is asked to stop.
    auto waitForStop() -> void
    {
        while (this->wait(std::chrono::hours(1)) != Wake::Stop) { }
    }

private:
    sigset_t signals{};
};

} // namespace sapphirespool::tool
