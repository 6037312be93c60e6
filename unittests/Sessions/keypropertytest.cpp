#include "sapphirespool/Sessions/keyattempt.h"

#include "Sessions/properties.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>

namespace sapphirespool::sessions
{

namespace
{

using std::chrono::milliseconds;

constexpr auto retention = milliseconds(4'000);
constexpr auto allowed = milliseconds(500);
const auto key = KeyName("orders/k1");

/// A proxy process with its holder state.
struct Process
{
    Holder self;
    HolderHistory history;
    KeyHolder records;
    bool inView = true;
};

struct Coordinator
{
    std::vector<Holder> holders;
    KeyAttempt attempt;
    TimePoint created;
    bool ended = false;
};

enum class MessageKind {
    Start,
    Reply,
    Finish,
    Abandon,
};

struct Message
{
    MessageKind kind;
    std::size_t attempt;
    std::size_t holder;
    KeyReply reply;
};

/// Simulates all proxies, all attempts with one key and all messages in transit; the bytes of a script choose each event.
class Simulation
{
public:
    Simulation()
    {
        const auto zones = std::array{"a", "b", "c", "a", "b"};
        for (auto index = std::size_t{0}; index < zones.size(); ++index) {
            const auto self = Holder{VmId("vm" + std::to_string(index)), ZoneId(zones[index]), Incarnation(1)};
            this->processes.push_back({self, HolderHistory(self.vm, retention, milliseconds(0), this->now), KeyHolder(10, retention)});
        }
        this->publishView();
    }

    auto step(std::uint8_t choice, std::uint8_t pick) -> void
    {
        switch (choice % 20) {
        case 0:
        case 7:
            this->beginAttempt();
            break;
        case 1:
            this->loseOrDuplicate(pick, false);
            break;
        case 2:
            this->loseOrDuplicate(pick, true);
            break;
        case 3:
            this->restart(this->processes[pick % this->processes.size()]);
            break;
        case 4:
            this->changeView(this->processes[pick % this->processes.size()]);
            break;
        case 5:
            this->endAttempt(pick);
            break;
        case 6:
            this->now += milliseconds(pick);
            break;
        default:
            this->deliver(pick);
        }
    }

    std::vector<TimePoint> sends;

private:
    auto beginAttempt() -> void
    {
        auto holders = chooseHolders(key.value(), this->inView(), keyCopies);
        const auto number = this->attempts.size();
        for (auto holder = std::size_t{0}; holder < holders.size(); ++holder) {
            this->messages.push_back({MessageKind::Start, number, holder, {}});
        }
        const auto count = holders.size();
        this->attempts.push_back({std::move(holders), KeyAttempt(count), this->now});
    }

    auto loseOrDuplicate(std::uint8_t pick, bool twice) -> void
    {
        if (this->messages.empty()) {
            return;
        }
        const auto chosen = this->messages.begin() + pick % this->messages.size();
        if (twice) {
            this->messages.push_back(Message(*chosen));
            return;
        }
        this->messages.erase(chosen);
    }

    auto deliver(std::uint8_t pick) -> void
    {
        if (this->messages.empty()) {
            return;
        }
        const auto chosen = this->messages.begin() + pick % this->messages.size();
        auto message = std::move(*chosen);
        this->messages.erase(chosen);
        auto &coordinator = this->attempts[message.attempt];
        if (message.kind == MessageKind::Reply) {
            this->handleReply(coordinator, message);
            return;
        }
        const auto &holder = coordinator.holders[message.holder];
        for (auto &process : this->processes) {
            if (process.self == holder) {
                this->handleAtHolder(process, std::move(message));
                return;
            }
        }
    }

    auto handleAtHolder(Process &process, Message message) -> void
    {
        const auto attempt = AttemptId(std::to_string(message.attempt));
        if (message.kind == MessageKind::Start) {
            message.reply = process.records.start({key, Fingerprint(1), attempt, allowed}, process.history, this->now);
            message.kind = MessageKind::Reply;
            this->messages.push_back(std::move(message));
        } else if (message.kind == MessageKind::Finish) {
            process.records.finish({key, attempt, "done"}, this->now);
        } else {
            process.records.abandon({key, attempt});
        }
    }

    auto handleReply(Coordinator &coordinator, const Message &message) -> void
    {
        if (coordinator.ended || coordinator.attempt.decision()) {
            return;
        }
        coordinator.attempt.handle(message.holder, message.reply);
        this->applyDecision(message.attempt);
    }

    auto applyDecision(std::size_t number) -> void
    {
        const auto &decision = this->attempts[number].attempt.decision();
        if (!decision) {
            return;
        }
        if (std::holds_alternative<MaySend>(*decision)) {
            this->sends.push_back(this->attempts[number].created);
            return;
        }
        this->sendToHolders(number, MessageKind::Abandon);
    }

    /// Ends an attempt: its send ends or it times out, and its coordinator notifies the holders, or its coordinator crashes and sends nothing.
    auto endAttempt(std::uint8_t pick) -> void
    {
        if (this->attempts.empty()) {
            return;
        }
        const auto number = pick % this->attempts.size();
        auto &coordinator = this->attempts[number];
        if (coordinator.ended) {
            return;
        }
        const auto sent = coordinator.attempt.decision() && std::holds_alternative<MaySend>(*coordinator.attempt.decision());
        coordinator.ended = true;
        if (sent && pick % 2 == 0) {
            this->sendToHolders(number, MessageKind::Finish);
        } else if (!sent && pick % 3 != 0) {
            this->sendToHolders(number, MessageKind::Abandon);
        }
    }

    auto sendToHolders(std::size_t number, MessageKind kind) -> void
    {
        for (auto holder = std::size_t{0}; holder < this->attempts[number].holders.size(); ++holder) {
            this->messages.push_back({kind, number, holder, {}});
        }
    }

    auto restart(Process &process) -> void
    {
        process.self.incarnation = process.self.incarnation.next();
        process.history = HolderHistory(process.self.vm, retention, retention, this->now);
        process.records = KeyHolder(10, retention);
        this->publishView();
    }

    auto changeView(Process &process) -> void
    {
        process.inView = !process.inView;
        if (process.inView) {
            process.history.missedViews(this->now);
        }
        this->publishView();
    }

    auto publishView() -> void
    {
        const auto proxies = this->inView();
        for (auto &process : this->processes) {
            if (process.inView) {
                process.history.viewChanged(proxies, this->now);
            }
        }
    }

    [[nodiscard]] auto inView() const -> std::vector<Holder>
    {
        auto proxies = std::vector<Holder>();
        for (const auto &process : this->processes) {
            if (process.inView) {
                proxies.push_back(process.self);
            }
        }
        return proxies;
    }

    TimePoint now{};
    std::vector<Process> processes;
    std::vector<Coordinator> attempts;
    std::vector<Message> messages;
};

} // namespace

TEST_CASE("of all attempts with one key at most one is sent within the retention time of a record")
{
    // A caller repeatedly resends a request through any proxy. Messages between proxies are lost, duplicated and delayed, holders of
    // the key's record restart and lose their state, proxies leave the view and rejoin, and coordinators crash before, during and
    // after the send. Two sends within the retention time of a record would execute the request twice.
    auto sent = std::size_t{0};
    testing::checkProperty([&sent](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &script) {
        auto simulation = Simulation();
        for (const auto &[choice, pick] : script) {
            simulation.step(choice, pick);
        }
        for (auto index = std::size_t{1}; index < simulation.sends.size(); ++index) {
            RC_ASSERT(simulation.sends[index] - simulation.sends[0] >= retention);
        }
        sent += simulation.sends.size();
    });
    CHECK(sent > 50);
}

} // namespace sapphirespool::sessions
