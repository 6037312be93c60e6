#include "Interactive/fakedatabases.h"

#include "sapphirespool/Support/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

class FakeConnection : public UpstreamConnection
{
public:
    FakeConnection(FakeDatabases &databases, std::string member, std::size_t number, CustomerId customer)
        : databases(databases)
        , memberId(std::move(member))
        , number(number)
        , customer(std::move(customer))
    {
        ++this->member().connections;
    }

    ~FakeConnection() override
    {
        this->close();
    }

    auto exchange(std::span<const Command> commands, Duration limit) -> asio::awaitable<ExchangeResult> override
    {
        this->answerLost = false;
        auto result = ExchangeResult();
        result.sentAt = support::now();
        result.sent = this->open;
        for (const auto &command : commands) {
            if (!this->runOne(command, result)) {
                result.broken = true;
                break;
            }
        }
        const auto isFromCaller = std::any_of(commands.begin(), commands.end(), [](const Command &command) {
            return !command.id.empty();
        });
        if (const auto delay = this->member().answerDelay; isFromCaller && delay.count() > 0) {
            auto timer = asio::steady_timer(co_await asio::this_coro::executor, delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (this->answerLost) {
            auto timer = asio::steady_timer(co_await asio::this_coro::executor, limit);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (result.broken) {
            this->close();
        }
        co_return result;
    }

    auto close() -> void override
    {
        if (std::exchange(this->open, false)) {
            --this->member().connections;
        }
    }

    [[nodiscard]] auto isUsable() const -> bool override
    {
        return this->open && this->databases.member(this->memberId).reachable;
    }

private:
    auto member() -> FakeMember &
    {
        return this->databases.member(this->memberId);
    }

    auto runOne(const Command &command, ExchangeResult &result) -> bool
    {
        if (!this->open || !this->member().reachable) {
            return false;
        }
        const auto isFromCaller = !command.id.empty();
        const auto fault = isFromCaller && this->member().fault ? this->member().fault(command) : Fault::None;
        if (fault == Fault::BreakBefore) {
            return false;
        }
        this->databases.received.push_back({this->memberId, this->number, command, this->values, this->customer, support::now()});
        auto answer = fault == Fault::Busy ? this->refuse(Failure::Busy) : this->answer(command);
        this->answerLost = fault == Fault::NoAnswer;
        if (fault == Fault::BreakAfter || this->answerLost) {
            return false;
        }
        answer.status = this->status;
        answer.position = DataPosition{this->member().term, LogPosition(this->member().applied)};
        result.results.push_back(std::move(answer));
        return true;
    }

    auto refuse(Failure failure) -> CommandResult
    {
        auto result = CommandResult();
        result.failure = FailureReply{failure, "refused", {}};
        if (failure == Failure::ReadOnly && this->status == TransactionStatus::Open) {
            this->status = TransactionStatus::Failed;
        }
        return result;
    }

    auto answer(const Command &command) -> CommandResult
    {
        const auto end = DataPosition{this->member().term, LogPosition(this->member().applied)};
        if (command.after && *command.after > end) {
            return this->refuse(Failure::Lagging);
        }
        switch (command.kind) {
        case CommandKind::SetValue:
            this->values.insert_or_assign(command.name, command.text);
            return {};
        case CommandKind::Prepare:
            this->prepared.insert_or_assign(command.name, command.shape);
            return {};
        case CommandKind::Discard:
            this->values.clear();
            this->prepared.clear();
            return {};
        case CommandKind::Begin:
            return this->begin(!this->member().isPrimary, true);
        case CommandKind::BeginReadOnly:
            return this->begin(false, false);
        case CommandKind::Commit:
            return this->commit();
        case CommandKind::Rollback:
            this->status = TransactionStatus::None;
            this->written.clear();
            return {};
        case CommandKind::Execute:
            return this->execute(command);
        case CommandKind::Run:
            return this->run(command.text.starts_with("STORE"), command.text.substr(command.text.find(' ') + 1));
        }
        return this->refuse(Failure::Malformed);
    }

    auto begin(bool refused, bool writes) -> CommandResult
    {
        if (refused) {
            return this->refuse(Failure::ReadOnly);
        }
        this->status = TransactionStatus::Open;
        this->isReadWrite = writes;
        return {};
    }

    auto commit() -> CommandResult
    {
        const auto lost = !this->written.empty() && !this->member().isPrimary;
        if (lost || this->status != TransactionStatus::Open) {
            this->status = TransactionStatus::None;
            this->written.clear();
            return this->refuse(lost ? Failure::ReadOnly : Failure::Aborted);
        }
        this->status = TransactionStatus::None;
        for (const auto &[item, data] : this->written) {
            this->store(item, data);
        }
        this->written.clear();
        return signedResult();
    }

    auto execute(const Command &command) -> CommandResult
    {
        const auto found = this->prepared.find(command.name);
        return found == this->prepared.end() ? this->refuse(Failure::UnknownName) : this->run(found->second.writes, command.text);
    }

    auto run(bool writes, const std::string &arguments) -> CommandResult
    {
        const auto inReadWrite = this->status == TransactionStatus::Open && this->isReadWrite;
        if (!this->member().isPrimary && (writes || inReadWrite)) {
            return this->refuse(Failure::ReadOnly);
        }
        const auto separator = arguments.find(' ');
        const auto item = arguments.substr(0, separator);
        if (!writes) {
            return this->read(item);
        }
        const auto data = arguments.substr(separator + 1);
        if (this->status == TransactionStatus::Open) {
            this->written.insert_or_assign(item, data);
        } else {
            this->store(item, data);
        }
        return signedResult();
    }

    auto read(const std::string &item) -> CommandResult
    {
        auto result = signedResult();
        const auto own = this->written.find(item);
        const auto &items = this->member().items;
        const auto found = items.find(item);
        if (own != this->written.end()) {
            result.rows.push_back(own->second);
        } else if (found != items.end()) {
            result.rows.push_back(found->second);
        }
        return result;
    }

    auto store(const std::string &item, const std::string &data) -> void
    {
        this->member().items.insert_or_assign(item, data);
        ++this->member().applied;
    }

    static auto signedResult() -> CommandResult
    {
        auto result = CommandResult();
        result.signature = "signed";
        return result;
    }

    FakeDatabases &databases;
    std::string memberId;
    std::size_t number;
    CustomerId customer;
    bool open = true;
    bool answerLost = false;
    SessionValues values;
    std::map<std::string, PreparedShape> prepared;
    TransactionStatus status = TransactionStatus::None;
    bool isReadWrite = false;
    std::map<std::string, std::string> written;
};

class FakeConnector : public UpstreamConnector
{
public:
    explicit FakeConnector(FakeDatabases &databases)
        : databases(databases)
    {
    }

    auto connect(GroupId, membership::UpstreamView upstream, CustomerId customer, Duration) -> asio::awaitable<ConnectResult> override
    {
        auto &member = this->databases.member(upstream.id.value());
        if (!member.reachable || member.connections >= member.connectionLimit) {
            auto why = FailureReply{member.reachable ? Failure::ConnectionLimit : Failure::Unreachable, "no connection", {}};
            co_return why;
        }
        co_return std::make_shared<FakeConnection>(this->databases, member.id, ++this->databases.connectionsMade, std::move(customer));
    }

    auto reaches(membership::UpstreamView upstream, Duration) -> asio::awaitable<bool> override
    {
        co_return this->databases.member(upstream.id.value()).reachable;
    }

private:
    FakeDatabases &databases;
};

} // namespace

FakeDatabases::FakeDatabases()
{
    for (const auto *const id : {"a", "b", "c"}) {
        auto member = FakeMember();
        member.id = id;
        this->members.push_back(std::move(member));
    }
    this->members.front().isPrimary = true;
    this->service.id = ServiceId("orders");
    this->service.group = GroupId("g");
    this->service.timeout = std::chrono::milliseconds(200);
    this->service.objective = std::chrono::milliseconds(100);
}

auto FakeDatabases::connector() -> std::shared_ptr<UpstreamConnector>
{
    return std::make_shared<FakeConnector>(*this);
}

auto FakeDatabases::member(const std::string &id) -> FakeMember &
{
    const auto found = std::find_if(this->members.begin(), this->members.end(), [&id](const FakeMember &member) {
        return member.id == id;
    });
    if (found == this->members.end()) {
        throw std::logic_error("no member " + id);
    }
    return *found;
}

auto FakeDatabases::view() const -> std::shared_ptr<membership::ClusterView>
{
    auto view = std::make_shared<membership::ClusterView>();
    view->revision = Revision(this->revision);
    view->configuration = Revision(1);
    view->services.append(this->service);
    view->customers = this->customers;
    auto group = membership::GroupView();
    group.id = this->service.group;
    group.term = Term(this->revision);
    group.connectionLimit = 100;
    if (!this->viewedPrimary.empty()) {
        group.primary = UpstreamId(this->viewedPrimary);
    }
    for (const auto &member : this->members) {
        auto upstream = membership::UpstreamView();
        upstream.id = UpstreamId(member.id);
        upstream.zone = ZoneId("zone-" + member.id);
        group.members.push_back(std::move(upstream));
    }
    view->groups.push_back(std::move(group));
    return view;
}

auto FakeDatabases::replicate() -> void
{
    const auto primary = std::find_if(this->members.begin(), this->members.end(), [](const FakeMember &member) {
        return member.isPrimary;
    });
    for (auto &member : this->members) {
        if (&member != &*primary) {
            member.items = primary->items;
            member.applied = primary->applied;
            member.term = primary->term;
        }
    }
}

auto FakeDatabases::promote(const std::string &id) -> void
{
    auto next = Term();
    for (auto &member : this->members) {
        member.isPrimary = false;
        next = std::max(next, member.term.next());
    }
    auto &chosen = this->member(id);
    chosen.isPrimary = true;
    chosen.term = next;
}

} // namespace sapphirespool::interactive
