// stopsignal.h: waits for the request to stop.
#pragma once

#include <csignal>

namespace sapphirespool::tool
{

/// Blocks SIGINT and SIGTERM for this thread and those that it starts; make it before the first thread.
class StopSignal
{
public:
    StopSignal()
    {
        sigemptyset(&this->signals);
        sigaddset(&this->signals, SIGINT);
        sigaddset(&this->signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
    }

    /// Returns once one of the signals has come.
    auto wait() -> void
    {
        auto received = 0;
        sigwait(&this->signals, &received);
    }

private:
    sigset_t signals{};
};

} // namespace sapphirespool::tool
