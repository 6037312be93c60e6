#include "sapphirespool/Controller/controller.h"

#include "changelimiter.h"
#include "leadership.h"
#include "numberedchanges.h"

#include "sapphirespool/Configuration/configuration.h"
#include "sapphirespool/Support/log.h"
#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace sapphirespool::controller
{

namespace
{

constexpr auto changeIdLimit = std::size_t{128};
constexpr auto limiterPause = std::chrono::milliseconds(1'000);

using membership::ConfigurationChange;
using membership::ConfigurationOutcome;

using CheckedText = std::variant<configuration::Configuration, NotRun>;

auto check(const configuration::Reader &reader, const ConfigurationChange &change) -> CheckedText
{
    if (change.change.value().empty() || change.change.value().size() > changeIdLimit) {
        return NotRun{RefusalReason::MalformedRequest, "a change id has 1 to 128 characters"};
    }
    return boost::leaf::try_handle_all(
        [&reader, &change]() -> boost::leaf::result<CheckedText> {
            BOOST_LEAF_AUTO(configuration, reader.read(change.text));
            return CheckedText(std::move(configuration));
        },
        [](const support::TextProblems &problems) {
            return CheckedText(NotRun{RefusalReason::ConfigurationInvalid, describe(problems)});
        },
        [] {
            return CheckedText(NotRun{RefusalReason::ConfigurationInvalid, "the text cannot be read"});
        });
}

struct OutcomeOfResult
{
    const ConfigurationChange &change;

    auto operator()(const state::Accepted &accepted) const -> ConfigurationOutcome
    {
        return membership::ConfigurationAccepted{accepted.revision};
    }

    auto operator()(const state::Conflict &conflict) const -> ConfigurationOutcome
    {
        return NotRun{RefusalReason::RevisionConflict,
                      "base " + std::to_string(this->change.base.value()) + " is not the current revision " + std::to_string(conflict.current.value())};
    }

    auto operator()(const state::ChangeIdReused &) const -> ConfigurationOutcome
    {
        return NotRun{RefusalReason::KeyReused, "change id '" + this->change.change.value() + "' was used for another text or base"};
    }

    auto operator()(const state::Applied &) const -> ConfigurationOutcome
    {
        return OutcomeUnknown{RefusalReason::Internal, "the replicated state gave no result for the change"};
    }

    auto operator()(const state::Ignored &) const -> ConfigurationOutcome
    {
        return OutcomeUnknown{RefusalReason::Internal, "the replicated state did not understand the change"};
    }
};

auto outcomeOf(const ConfigurationChange &change, const consensus::ProposalOutcome &outcome) -> ConfigurationOutcome
{
    if (const auto *const failure = std::get_if<consensus::ProposalFailure>(&outcome)) {
        if (*failure == consensus::ProposalFailure::NotLeader) {
            return NotRun{RefusalReason::ControlUnreachable, "this control VM does not lead"};
        }
        return OutcomeUnknown{RefusalReason::ControlUnreachable, "the answer of the control group was lost"};
    }
    const auto result = state::decodeResult(std::get<consensus::Bytes>(outcome));
    return std::visit(OutcomeOfResult{change}, result.value_or(state::Ignored()));
}

class ReplicatedController : public Controller, public std::enable_shared_from_this<ReplicatedController>
{
public:
    explicit ReplicatedController(ControllerParts parts)
        : parts(std::move(parts))
        , duty(this->parts.vm)
    {
    }

    auto tick() -> void override
    {
        // VMs that are not the leader track the age of grants too, since any of them may be elected next.
        noteGrant(this->parts, this->duty);
        if (const auto present = this->currentLeadership()) {
            present->tick();
        }
    }

    /// Called when this VM ceases to be the leader. The leadership is dropped with the next call, as one of its functions may run now.
    auto leadershipLost() -> void
    {
        if (this->leadership) {
            this->leadership->revoke();
        }
    }

    auto heartbeat(control::VmHeartbeat heartbeat, std::function<void(control::HeartbeatOutcome)> done) -> void override
    {
        const auto present = this->currentLeadership();
        if (!present) {
            done(NotRun{RefusalReason::ControlUnreachable, "this control VM does not lead"});
            return;
        }
        present->heartbeat(heartbeat, std::move(done));
    }

    auto changeConfiguration(ConfigurationChange change, std::function<void(ConfigurationOutcome)> done) -> void override
    {
        auto checked = check(*this->parts.reader, change);
        if (const auto *const refusal = std::get_if<NotRun>(&checked)) {
            done(*refusal);
            return;
        }
        auto command = state::ChangeConfiguration{change.change, change.base, change.text, std::get<configuration::Configuration>(std::move(checked))};
        if (command.content.version) {
            this->changeNumbered(std::move(command), std::move(done));
            return;
        }
        if (!this->limiter.tryTake(this->parts.clock())) {
            done(NotRun{RefusalReason::QueueFull, "more than 20 changes of the configuration in a second", limiterPause});
            return;
        }
        this->propose(std::move(command), std::move(done));
    }

    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void override
    {
        this->parts.log.confirmRead([weak = this->weak_from_this(), done = std::move(done)](std::optional<consensus::ProposalFailure> failure) {
            const auto self = weak.lock();
            if (failure || !self) {
                done(NotRun{RefusalReason::ControlUnreachable, "this control VM does not lead"});
                return;
            }
            done(membership::ConfigurationText{self->parts.state.configuration(), self->parts.state.text()});
        });
    }

    auto readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void override
    {
        this->parts.log.confirmRead([weak = this->weak_from_this(), done = std::move(done)](std::optional<consensus::ProposalFailure> failure) {
            const auto self = weak.lock();
            const auto present = self ? self->currentLeadership() : nullptr;
            if (failure || !present) {
                done(NotRun{RefusalReason::ControlUnreachable, "this control VM does not lead"});
                return;
            }
            done(present->status());
        });
    }

    [[nodiscard]] auto currentView() const -> std::shared_ptr<const membership::ClusterView> override
    {
        return this->parts.state.view();
    }

    auto onViewChange(std::function<void()> listener) -> void override
    {
        this->parts.state.onChange(std::move(listener));
    }

private:
    auto propose(state::ChangeConfiguration command, std::function<void(ConfigurationOutcome)> done) -> void
    {
        const auto change = ConfigurationChange{command.change, command.base, {}};
        this->parts.log.propose(encode(state::Command(std::move(command))), [change, done = std::move(done)](const consensus::ProposalOutcome &result) {
            const auto outcome = outcomeOf(change, result);
            if (const auto *const accepted = std::get_if<membership::ConfigurationAccepted>(&outcome)) {
                support::log(support::Event::ConfigurationAccepted, {{"change", change.change.value()}, {"revision", accepted->revision.value()}});
            }
            done(outcome);
        });
    }

    auto changeNumbered(state::ChangeConfiguration command, std::function<void(ConfigurationOutcome)> done) -> void
    {
        if (!this->numbered.hasRoom()) {
            done(NotRun{RefusalReason::QueueFull, "too many changes of the configuration wait for their commit", limiterPause});
            return;
        }
        if (auto first = this->numbered.add(std::move(command), std::move(done))) {
            this->proposeNumbered(std::move(*first));
        }
    }

    auto proposeNumbered(state::ChangeConfiguration command) -> void
    {
        this->propose(std::move(command), [weak = this->weak_from_this(), post = this->parts.post](ConfigurationOutcome outcome) {
            // Posted because a log that fails proposals within the call would recurse once for each waiting change.
            post([weak, outcome = std::move(outcome)] {
                if (const auto self = weak.lock()) {
                    self->finishNumbered(outcome);
                }
            });
        });
    }

    auto finishNumbered(const ConfigurationOutcome &outcome) -> void
    {
        if (auto next = this->numbered.finish(outcome)) {
            this->proposeNumbered(std::move(*next));
        }
    }

    /// \return the current leadership, created after an election and destroyed after its loss here; null if this VM is not leader
    auto currentLeadership() -> std::shared_ptr<Leadership>
    {
        const auto now = this->parts.clock();
        if (this->leadership && !this->leadership->isCurrent(now)) {
            this->leadership.reset();
        }
        if (!this->leadership && this->parts.log.holdsLeaderLease(now)) {
            this->leadership = std::make_shared<Leadership>(this->parts, this->duty);
        }
        return this->leadership;
    }

    ControllerParts parts;
    PromotionDuty duty;
    ChangeLimiter limiter;
    NumberedChanges numbered;
    std::shared_ptr<Leadership> leadership;
};

} // namespace

auto makeController(ControllerParts parts) -> std::shared_ptr<Controller>
{
    auto &log = parts.log;
    auto controller = std::make_shared<ReplicatedController>(std::move(parts));
    log.onLeadershipLost([weak = std::weak_ptr(controller)] {
        if (const auto present = weak.lock()) {
            present->leadershipLost();
        }
    });
    return controller;
}

} // namespace sapphirespool::controller
