#include "numberedchanges.h"

#include <utility>

namespace sapphirespool::controller
{

auto NumberedChanges::add(state::ChangeConfiguration command, Done done) -> std::optional<state::ChangeConfiguration>
{
    if (this->inFlight.empty()) {
        this->inFlight.push_back(std::move(done));
        return command;
    }
    this->waiting.push_back(std::move(done));
    if (!this->highest || command.content.version > this->highest->content.version) {
        this->highest = std::move(command);
    }
    return std::nullopt;
}

auto NumberedChanges::hasRoom() const -> bool
{
    return this->waiting.size() < waitingLimit;
}

auto NumberedChanges::finish(const membership::ConfigurationOutcome &outcome) -> std::optional<state::ChangeConfiguration>
{
    const auto answered = std::exchange(this->inFlight, std::exchange(this->waiting, {}));
    auto next = std::exchange(this->highest, std::nullopt);
    for (const auto &done : answered) {
        done(outcome);
    }
    return next;
}

} // namespace sapphirespool::controller
