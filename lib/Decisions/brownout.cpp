#include "sapphirespool/Decisions/brownout.h"

#include <array>

namespace sapphirespool::decisions
{

namespace
{

constexpr auto shedAgeByLevel = std::to_array<std::chrono::milliseconds>({
    std::chrono::milliseconds(10'000),
    std::chrono::milliseconds(1'000),
    std::chrono::milliseconds(1),
});
static_assert(shedAgeByLevel.size() == Brownout::highestLevel);

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
        this->belowLeaveDelaySince.reset();
        const auto mayStep = this->currentLevel == 0 || now - this->levelChangedAt >= this->settings.enterStep;
        if (mayStep && this->currentLevel < highestLevel) {
            ++this->currentLevel;
            this->levelChangedAt = now;
        }
        return;
    }
    if (wait > this->settings.leaveDelay) {
        this->belowLeaveDelaySince.reset();
        return;
    }
    if (!this->belowLeaveDelaySince) {
        this->belowLeaveDelaySince = now;
    }
    if (this->currentLevel > 0 && now - *this->belowLeaveDelaySince >= this->settings.leaveStep) {
        --this->currentLevel;
        this->levelChangedAt = now;
        this->belowLeaveDelaySince = now;
    }
}

auto Brownout::level() const -> std::uint32_t
{
    return this->currentLevel;
}

auto Brownout::admits(std::chrono::milliseconds maxAge) const -> bool
{
    return this->currentLevel == 0 || maxAge < shedAgeByLevel[this->currentLevel - 1];
}

} // namespace sapphirespool::decisions
