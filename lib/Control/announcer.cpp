#include "sapphirespool/Control/announcer.h"

#include "exchangeloop.h"
#include "ownentry.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <utility>

namespace sapphirespool::control
{

namespace
{

/// How often the own entry is compared with the one that was announced.
constexpr auto changeInterval = 50 * kj::MILLISECONDS;

/// Announcements of another group are repeated several times within this time.
constexpr auto suspension = DirectoryTable::entryLifetime;

class ReplicaAnnouncer : public Announcer, private kj::TaskSet::ErrorHandler
{
public:
    ReplicaAnnouncer(rpc::LoopContext &context, AnnouncerSettings settings, consensus::Replica &replica)
        : context(context)
        , settings(std::move(settings))
        , replica(replica)
        , announced(this->entry())
        , calls(context, this->exchangeParts())
        , tasks(*this)
    {
        this->watchForever();
    }

    ~ReplicaAnnouncer() noexcept override = default;
    ReplicaAnnouncer(const ReplicaAnnouncer &) = delete;
    auto operator=(const ReplicaAnnouncer &) -> ReplicaAnnouncer & = delete;

    auto setSeeds(std::vector<Endpoint> seeds) -> void override
    {
        this->settings.seeds = std::move(seeds);
    }

private:
    auto entry() const -> ControlVmEntry
    {
        return ownEntry(this->replica, this->settings.zone, support::now());
    }

    auto exchangeParts() -> ExchangeParts
    {
        auto parts = ExchangeParts();
        parts.seed = this->settings.seed;
        parts.callees = [this] {
            return this->callees();
        };
        parts.known = [this] {
            return std::vector{KnownControlVm{this->entry(), Duration::zero()}};
        };
        parts.onAnswer = [this](const std::vector<KnownControlVm> &known) {
            this->checkForOtherGroup(known);
        };
        return parts;
    }

    auto callees() const -> std::vector<Endpoint>
    {
        auto endpoints = this->settings.directories();
        endpoints.insert(endpoints.end(), this->settings.seeds.begin(), this->settings.seeds.end());
        return distinctOthers(std::move(endpoints), this->replica.selfMember().endpoint);
    }

    auto checkForOtherGroup(const std::vector<KnownControlVm> &known) -> void
    {
        const auto now = support::now();
        const auto *const other = leaderOfOtherGroup(this->entry(), known);
        if (other == nullptr) {
            return;
        }
        if (now >= std::exchange(this->suspendedUntil, now + suspension)) {
            support::log(
                support::Event::OtherGroupSeen,
                {{"vm", this->replica.selfMember().vm.value()}, {"other_leader", other->vm.value()}, {"other_members", std::uint64_t{other->groupSize}}});
        }
        this->replica.suspendCommands(this->suspendedUntil);
    }

    auto watchForever() -> void
    {
        this->tasks.add(this->context.timer.afterDelay(changeInterval).then([this] {
            if (auto current = this->entry(); current != this->announced) {
                this->announced = std::move(current);
                this->calls.callNow();
            }
            this->watchForever();
        }));
    }

    auto taskFailed(kj::Exception &&) -> void override
    {
    }

    rpc::LoopContext &context;
    AnnouncerSettings settings;
    consensus::Replica &replica;
    ControlVmEntry announced;
    TimePoint suspendedUntil;
    ExchangeLoop calls;
    kj::TaskSet tasks;
};

} // namespace

auto makeAnnouncer(rpc::LoopContext &context, AnnouncerSettings settings, consensus::Replica &replica) -> std::unique_ptr<Announcer>
{
    return std::make_unique<ReplicaAnnouncer>(context, std::move(settings), replica);
}

} // namespace sapphirespool::control
