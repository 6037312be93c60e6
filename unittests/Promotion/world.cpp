#include "world.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

const auto group = GroupId("orders-1");
const auto zones = std::vector<ZoneId>{ZoneId("hobart"), ZoneId("launceston"), ZoneId("devonport")};

constexpr auto writeInterval = 20ms;
/// Time after which a proxy abandons a write that is not confirmed.
constexpr auto writeTimeout = 5s;

auto configurationWithGroup() -> state::Command
{
    auto change = state::ChangeConfiguration{ChangeId("first"), Revision(0), "text", {}};
    auto service = membership::ServiceView();
    service.id = ServiceId("orders");
    service.group = group;
    change.content.services.push_back(service);
    change.content.groups.push_back({group, 3});
    return change;
}

auto viewOf(const FakeMember &member) -> membership::UpstreamView
{
    auto view = membership::UpstreamView();
    view.id = member.id;
    view.endpoint = {"127.0.0.1", 1};
    view.incarnation = member.incarnation;
    view.leaving = member.leaving;
    return view;
}

auto announcementOf(const FakeMember &member) -> platform::Announcement
{
    const auto report = member.report();
    auto announcement = platform::Announcement();
    announcement.group = group.value();
    announcement.id = report.id;
    announcement.incarnation = report.incarnation;
    announcement.term = report.term;
    announcement.role = report.role;
    announcement.lastTerm = report.lastTerm;
    announcement.position = report.position;
    announcement.leaving = member.leaving;
    return announcement;
}

} // namespace

World::World(std::uint32_t seed, Delays delays)
    : delays(delays)
    , random(seed)
{
    for (const auto *id : {"a", "b", "c"}) {
        auto member = FakeMember();
        member.id = UpstreamId(id);
        this->members.push_back(std::move(member));
    }
    this->committed.push_back(configurationWithGroup());
    this->startLeader();
    this->every(200ms, [this] {
        this->sendHealthReports();
    });
    this->every(5ms, [this] {
        this->replicateAll();
        this->confirmAll();
    });
    this->every(writeInterval, [this] {
        this->writeAll();
    });
    this->every(100ms, [this] {
        this->suspectAll();
    });
    this->every(10ms, [this] {
        for (const auto &leader : std::vector(this->leaders)) {
            this->carryOut(leader, leader->promoter->tick(this->now));
        }
    });
}

auto World::run(Duration length) -> void
{
    const auto end = this->now + length;
    while (!this->queue.empty() && this->queue.top().due <= end) {
        const auto job = this->queue.top();
        this->queue.pop();
        this->now = job.due;
        job.work();
    }
    this->now = end;
}

auto World::runUntilServed(Duration limit) -> bool
{
    this->marks = Milestones();
    const auto firstWrite = this->nextWrite;
    const auto end = this->now + limit;
    while (this->now < end) {
        this->run(1ms);
        const auto newest = this->acknowledged.empty() ? 0 : this->acknowledged.rbegin()->first;
        if (newest >= firstWrite) {
            this->marks.acknowledged = this->now;
            return true;
        }
    }
    return false;
}

auto World::changeLeader(bool staysActive) -> void
{
    auto &former = *this->leaders.back();
    former.current = false;
    former.connected = staysActive;
    if (!staysActive) {
        former.promoter = std::make_unique<Promoter>(former.state, this->now);
        this->leaders.pop_back();
    }
    this->startLeader();
}

auto World::member(std::size_t place) -> FakeMember &
{
    return this->members.at(place);
}

auto World::primary() -> FakeMember *
{
    const auto id = this->record().view.primary;
    return id ? &this->find(*id) : nullptr;
}

auto World::restart(FakeMember &member) -> void
{
    member.incarnation = member.incarnation.next();
    member.running = true;
}

auto World::heal() -> void
{
    for (auto &member : this->members) {
        if (!member.running) {
            this->restart(member);
        }
        member.controlReaches = true;
        member.membersReach = true;
        member.cutZones.clear();
        member.leaving = false;
    }
}

auto World::leader() -> FakeLeader &
{
    return *this->leaders.back();
}

auto World::record() -> const state::GroupRecord &
{
    return *this->leader().state.findGroup(group);
}

auto World::termEnds() const -> const std::vector<TermEnd> &
{
    return this->ends;
}

auto World::acknowledgedCount() const -> std::size_t
{
    return this->acknowledged.size();
}

auto World::time() const -> TimePoint
{
    return this->now;
}

auto World::milestones() -> Milestones &
{
    return this->marks;
}

auto World::after(Duration delay, std::function<void()> work) -> void
{
    ++this->jobs;
    this->queue.push({this->now + delay, this->jobs, std::move(work)});
}

auto World::draw(Duration longest) -> Duration
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(this->random));
}

auto World::chance(std::uint32_t percent) -> bool
{
    return std::uniform_int_distribution<std::uint32_t>(0, 99)(this->random) < percent;
}

auto World::every(Duration interval, std::function<void()> work) -> void
{
    this->after(interval, [this, interval, work = std::move(work)]() mutable {
        work();
        this->every(interval, std::move(work));
    });
}

/// Members send health reports to proxies, which relay them with the next heartbeat.
auto World::sendHealthReports() -> void
{
    for (const auto &member : this->members) {
        if (!member.running || !member.controlReaches) {
            continue;
        }
        this->after(this->draw(this->delays.heartbeat), [this, announcement = announcementOf(member), view = viewOf(member)] {
            this->propose(this->leaders.back(), state::RegisterUpstream{group, view});
            this->deliverToLeaders(Announced{announcement});
        });
    }
}

auto World::replicateAll() -> void
{
    for (auto &member : this->members) {
        if (member.running && member.membersReach && member.role == platform::Role::Replica) {
            this->replicate(member);
        }
    }
}

/// Discards the entries that the primary does not have and copies one further entry.
auto World::replicate(FakeMember &replica) -> void
{
    if (replica.primary.value().empty()) {
        return;
    }
    const auto &source = this->find(replica.primary);
    const auto admits = source.running && source.membersReach && source.role == platform::Role::Primary && source.term == replica.term;
    if (!admits || this->chance(20)) {
        return;
    }
    // Entries are unique, so logs with equal entries at a position are equal up to that position.
    while (!replica.log.empty() && (replica.log.size() > source.log.size() || replica.log.back() != source.log[replica.log.size() - 1])) {
        replica.log.pop_back();
    }
    if (replica.log.size() < source.log.size()) {
        replica.log.push_back(source.log[replica.log.size()]);
    }
}

/// Proxies send a write to each member in the role of primary, including a replaced one that has received no order yet.
auto World::writeAll() -> void
{
    for (auto &member : this->members) {
        const auto reachable = std::count_if(zones.begin(), zones.end(), [&member](const ZoneId &zone) {
            return !member.cutZones.contains(zone);
        });
        if (!member.running || member.role != platform::Role::Primary || reachable == 0 || member.leaving) {
            continue;
        }
        member.log.push_back({member.term, this->nextWrite});
        this->pending.push_back({this->nextWrite, member.id, member.term, member.log.size(), this->now});
        ++this->nextWrite;
    }
}

/// Proxies acknowledge a write after a replica of the term has reached its position.
auto World::confirmAll() -> void
{
    const auto confirmed = [this](const PendingWrite &write) {
        return std::any_of(this->members.begin(), this->members.end(), [&write](const FakeMember &member) {
            return member.running && member.id != write.primary && member.role == platform::Role::Replica && member.term == write.term
                && member.log.size() >= write.position;
        });
    };
    std::erase_if(this->pending, [this](const PendingWrite &write) {
        return this->now - write.sent > writeTimeout;
    });
    std::erase_if(this->pending, [&](const PendingWrite &write) {
        if (!confirmed(write)) {
            return false;
        }
        this->acknowledged.emplace(write.write, write.term);
        this->checkAcknowledged(write);
        return true;
    });
}

auto World::suspectAll() -> void
{
    const auto *const primary = this->primary();
    if (primary == nullptr) {
        return;
    }
    for (const auto &zone : zones) {
        if (primary->running && !primary->cutZones.contains(zone)) {
            continue;
        }
        const auto suspicion = membership::Suspicion{group, this->record().view.term, primary->id};
        this->after(this->draw(this->delays.heartbeat), [this, zone, suspicion] {
            this->deliverToLeaders(Suspected{zone, suspicion});
        });
    }
}

auto World::deliverToLeaders(const Event &event) -> void
{
    for (const auto &leader : std::vector(this->leaders)) {
        if (leader->connected) {
            this->carryOut(leader, leader->promoter->handle(event, this->now));
        }
    }
}

auto World::carryOut(const std::shared_ptr<FakeLeader> &leader, const Actions &actions) -> void
{
    for (const auto &action : actions) {
        this->carryOut(leader, action);
        ++this->actionCount;
        if (this->afterAction) {
            this->afterAction(this->actionCount);
        }
    }
}

auto World::carryOut(const std::shared_ptr<FakeLeader> &leader, const Action &action) -> void
{
    if (const auto *const fence = std::get_if<SendFence>(&action)) {
        this->send(leader, Order::Fence, *fence, [request = fence->request](FakeMember &member) {
            return std::optional(member.fence(Term(request.term)));
        });
    } else if (const auto *const promote = std::get_if<SendPromote>(&action)) {
        this->send(leader, Order::Promote, *promote, [this, request = promote->request](FakeMember &member) {
            const auto report = member.promote(Term(request.term));
            this->checkPrimary(member);
            return report;
        });
    } else if (const auto *const follow = std::get_if<SendFollow>(&action)) {
        this->send(leader, Order::Follow, *follow, [request = follow->request](FakeMember &member) {
            return member.follow(request);
        });
    } else if (const auto *const term = std::get_if<ProposeTerm>(&action)) {
        this->ends.push_back(term->reason);
        this->marks.termProposed = this->marks.termProposed.value_or(this->now);
        this->propose(leader, term->command);
    } else if (const auto *const choice = std::get_if<ProposePrimary>(&action)) {
        this->marks.choiceProposed = this->marks.choiceProposed.value_or(this->now);
        this->propose(leader, choice->command);
    }
}

/// Delivers an order and its answer with random delay, loss and duplication.
template <typename Send, typename Execute>
auto World::send(const std::shared_ptr<FakeLeader> &leader, Order order, const Send &message, Execute execute) -> void
{
    const auto copies = this->chance(this->delays.duplicated) ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        if (this->chance(this->delays.lost)) {
            continue;
        }
        this->after(this->draw(this->delays.network), [this, leader, order, message, execute] {
            auto &member = this->find(message.member);
            if (!member.running || !member.controlReaches || !leader->connected) {
                return;
            }
            const auto answer = OrderAnswered{order, group, Term(message.request.term), message.member, execute(member)};
            if (this->chance(this->delays.lost)) {
                return;
            }
            this->after(this->draw(this->delays.network), [this, leader, answer] {
                this->carryOut(leader, leader->promoter->handle(answer, this->now));
            });
        });
    }
}

auto World::propose(const std::shared_ptr<FakeLeader> &leader, const state::Command &command) -> void
{
    this->after(this->draw(this->delays.commit), [this, leader, command] {
        if (!leader->current) {
            return;
        }
        this->committed.push_back(command);
        const auto before = this->record().view;
        this->applyCommitted(*leader);
        const auto &after = this->record().view;
        if (after.term != before.term) {
            this->marks.termCommitted = this->marks.termCommitted.value_or(this->now);
        }
        if (after.primary && !before.primary) {
            this->marks.choiceCommitted = this->marks.choiceCommitted.value_or(this->now);
        }
        this->carryOut(leader, leader->promoter->handle(GroupChanged{group}, this->now));
    });
}

auto World::applyCommitted(FakeLeader &leader) -> void
{
    for (; leader.applied < this->committed.size(); ++leader.applied) {
        leader.state.execute(this->committed[leader.applied]);
    }
}

/// Checks at each promotion that the new primary has every acknowledged write of earlier terms and that its term had no other primary.
auto World::checkPrimary(const FakeMember &member) -> void
{
    if (member.role != platform::Role::Primary) {
        return;
    }
    const auto known = this->primaries.try_emplace(member.term, member.id);
    if (!known.second && known.first->second != member.id) {
        throw std::logic_error("two members were primary of one term");
    }
    if (!known.second) {
        return;
    }
    this->marks.promoted = this->marks.promoted.value_or(this->now);
    auto held = std::set<std::uint64_t>();
    for (const auto &entry : member.log) {
        held.insert(entry.write);
    }
    // A delayed order may promote a member for a term that has ended; it need not have the writes of later terms.
    for (const auto &[write, writeTerm] : this->acknowledged) {
        if (writeTerm < member.term && !held.contains(write)) {
            throw std::logic_error("a new primary lacks an acknowledged write");
        }
    }
}

/// Checks at each acknowledgement that the primaries of later terms have the write.
auto World::checkAcknowledged(const PendingWrite &write) -> void
{
    for (const auto &member : this->members) {
        const auto later = member.role == platform::Role::Primary && member.term > write.term;
        const auto holds = std::any_of(member.log.begin(), member.log.end(), [&write](const Entry &entry) {
            return entry.write == write.write;
        });
        if (later && !holds) {
            throw std::logic_error("a write was acknowledged that a later primary lacks");
        }
    }
}

auto World::find(const UpstreamId &id) -> FakeMember &
{
    return *std::find_if(this->members.begin(), this->members.end(), [&id](const FakeMember &member) {
        return member.id == id;
    });
}

auto World::startLeader() -> void
{
    auto leader = std::make_shared<FakeLeader>();
    this->applyCommitted(*leader);
    leader->promoter = std::make_unique<Promoter>(leader->state, this->now);
    leader->promoter->setProxies({zones.size(), Revision(1), Revision(1)});
    this->leaders.push_back(leader);
}

} // namespace sapphirespool::promotion
