#include "sapphirespool/Rpc/loopsignal.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace sapphirespool::rpc
{

namespace
{

auto openEventDescriptor() -> int
{
    const auto descriptor = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "no descriptor for waking the event loop; raise the process's limit of open files");
    }
    return descriptor;
}

constexpr auto wrapFlags
    = kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC | kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;

} // namespace

LoopSignal::LoopSignal(kj::LowLevelAsyncIoProvider &lowLevel)
    : descriptor(openEventDescriptor())
    , input(lowLevel.wrapInputFd(this->descriptor, wrapFlags))
{
}

auto LoopSignal::raise() -> void
{
    const auto one = std::uint64_t{1};
    // A full counter is the only way for this to fail, and then the loop is woken already.
    [[maybe_unused]] const auto written = ::write(this->descriptor, &one, sizeof(one));
}

auto LoopSignal::awaitRaised() -> kj::Promise<void>
{
    return this->input->read(&this->raises, sizeof(this->raises));
}

} // namespace sapphirespool::rpc
