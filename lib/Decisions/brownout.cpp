#include "sapphirespool/Decisions/brownout.h"

#include <array>

namespace sapphirespool::decisions
{

namespace
{

constexpr auto agesByLevel = std::to_array<std::chrono::milliseconds>({
    std::chrono::milliseconds(10'000),
    std::chrono::milliseconds(1'000),
    std::chrono::milliseconds(1),
});
static_assert(agesByLevel.size() == Brownout::highestLevel);

} // namespace

Brownout::Brownout(BrownoutSettings settings)
    : settings(settings)
{
}

auto Brownout::observe(Duration wait, TimePoint now) -> void
{
    if (!this->settings.enabled) {
        return;
    }
    if (wait >= this->settings.enterDelay) {
        this->calmSince.reset();
        const auto mayStep = this->present == 0 || now - this->changedAt >= this->settings.enterStep;
        if (mayStep && this->present < highestLevel) {
            ++this->present;
            this->changedAt = now;
        }
        return;
    }
    if (wait > this->settings.leaveDelay) {
        this->calmSince.reset();
        return;
    }
    if (!this->calmSince) {
        this->calmSince = now;
    }
    if (this->present > 0 && now - *this->calmSince >= this->settings.leaveStep) {
        --this->present;
        this->changedAt = now;
        this->calmSince = now;
    }
}

auto Brownout::level() const -> std::uint32_t
{
    return this->present;
}

auto Brownout::admits(std::chrono::milliseconds maxAge) const -> bool
{
    return this->present == 0 || maxAge < agesByLevel[this->present - 1];
}

} // namespace sapphirespool::decisions
