#include "controlload.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::control
{

auto ControlLoad::addHeartbeat(std::size_t announcements) -> void
{
    ++this->sample.heartbeats;
    this->sample.announcements += announcements;
}

auto ControlLoad::addBuiltView() -> void
{
    ++this->sample.viewsBuilt;
}

auto ControlLoad::addSentView(std::size_t bytes, bool isDelta) -> void
{
    ++this->sample.viewsSent;
    this->sample.wholeViewsSent += isDelta ? 0 : 1;
    this->sample.viewBytes += bytes;
}

auto ControlLoad::addDelay(Duration delay) -> void
{
    this->sample.longestDelay = std::max(this->sample.longestDelay, delay);
}

auto ControlLoad::report(TimePoint now) -> std::optional<LoadSample>
{
    if (this->reportedAt && now - *this->reportedAt < reportInterval) {
        return std::nullopt;
    }
    const auto isFirst = !std::exchange(this->reportedAt, now);
    const auto done = std::exchange(this->sample, {});
    return isFirst ? std::nullopt : std::optional(done);
}

} // namespace sapphirespool::control
