#include "codec.h"

#include "sapphirespool/Rpc/listlength.h"

#include <capnp/serialize-packed.h>
#include <forwarding.capnp.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <utility>

namespace sapphirespool::forwarding
{

namespace
{

using interactive::AppliedState;
using interactive::Command;
using interactive::CommandKind;
using interactive::CommandResult;
using interactive::DataPosition;
using interactive::Failure;
using interactive::FailureReply;
using interactive::PreparedShape;
using interactive::SessionValues;
using interactive::TransactionStatus;
using rpc::ofSaneLength;

template <typename Elements>
auto listSize(const Elements &elements) -> unsigned
{
    return static_cast<unsigned>(elements.size());
}

auto toString(capnp::Text::Reader from) -> std::string
{
    return {from.begin(), from.size()};
}

/// \return the enum value of \p number, or \p highest if \p number is above it
template <typename Enum>
auto enumOrHighest(std::uint8_t number, Enum highest) -> Enum
{
    return number <= static_cast<std::uint8_t>(highest) ? static_cast<Enum>(number) : highest;
}

auto write(schema::Position::Builder to, const DataPosition &from) -> void
{
    to.setTerm(from.term.value());
    to.setNumber(from.number.value());
}

auto read(schema::Position::Reader from) -> DataPosition
{
    return {Term(from.getTerm()), LogPosition(from.getNumber())};
}

auto write(schema::Shape::Builder to, const PreparedShape &from) -> void
{
    to.setWrites(from.writes);
    to.setShape(from.shape);
}

auto read(schema::Shape::Reader from) -> PreparedShape
{
    return {from.getWrites(), toString(from.getShape())};
}

auto write(capnp::List<schema::Value>::Builder to, const SessionValues &from) -> void
{
    auto index = 0U;
    for (const auto &[name, value] : from) {
        to[index].setName(name);
        to[index].setValue(value);
        ++index;
    }
}

auto read(capnp::List<schema::Value>::Reader from) -> SessionValues
{
    auto values = SessionValues();
    for (const auto value : ofSaneLength(from)) {
        values.insert_or_assign(toString(value.getName()), toString(value.getValue()));
    }
    return values;
}

template <typename Builder>
auto writeState(Builder to, const AppliedState &from) -> void
{
    write(to.initValues(listSize(from.values)), from.values);
    auto prepared = to.initPrepared(listSize(from.prepared));
    auto index = 0U;
    for (const auto &[shape, name] : from.prepared) {
        write(prepared[index].initShape(), shape);
        prepared[index].setName(name);
        ++index;
    }
}

template <typename Reader>
auto readState(Reader from) -> AppliedState
{
    auto state = AppliedState{read(from.getValues()), {}};
    for (const auto prepared : ofSaneLength(from.getPrepared())) {
        state.prepared.insert_or_assign(read(prepared.getShape()), toString(prepared.getName()));
    }
    return state;
}

auto write(schema::Failure::Builder to, const FailureReply &from) -> void
{
    to.setFailure(static_cast<std::uint8_t>(from.failure));
    to.setDetail(from.detail);
    to.setRetryAfterMs(static_cast<std::uint64_t>(from.retryAfter.value_or(std::chrono::milliseconds(0)).count()));
}

auto read(schema::Failure::Reader from) -> FailureReply
{
    auto failure = FailureReply{enumOrHighest(from.getFailure(), Failure::OverQuota), toString(from.getDetail()), {}};
    if (from.getRetryAfterMs() > 0) {
        failure.retryAfter = std::chrono::milliseconds(from.getRetryAfterMs());
    }
    return failure;
}

auto write(schema::Command::Builder to, const Command &from) -> void
{
    to.setKind(static_cast<std::uint8_t>(from.kind));
    to.setId(from.id);
    to.setName(from.name);
    to.setText(from.text);
    if (from.kind == CommandKind::Prepare) {
        write(to.initShape(), from.shape);
    }
    if (from.after) {
        write(to.initAfter(), *from.after);
    }
}

auto read(schema::Command::Reader from) -> Command
{
    auto command = Command();
    command.kind = enumOrHighest(from.getKind(), CommandKind::Run);
    command.id = toString(from.getId());
    command.name = toString(from.getName());
    command.text = toString(from.getText());
    if (from.hasShape()) {
        command.shape = read(from.getShape());
    }
    if (from.hasAfter()) {
        command.after = read(from.getAfter());
    }
    return command;
}

auto write(schema::CommandResult::Builder to, const CommandResult &from) -> void
{
    auto rows = to.initRows(listSize(from.rows));
    for (auto index = 0U; index < rows.size(); ++index) {
        rows.set(index, from.rows[index]);
    }
    to.setSignature(from.signature);
    to.setStatus(static_cast<std::uint8_t>(from.status));
    if (from.failure) {
        write(to.initFailure(), *from.failure);
    }
    if (from.position) {
        write(to.initPosition(), *from.position);
    }
}

auto read(schema::CommandResult::Reader from) -> CommandResult
{
    auto result = CommandResult();
    // Unlike that of other lists, the number of rows is not checked: an answer may have many, and each one takes up bytes of the message.
    for (const auto row : from.getRows()) {
        result.rows.push_back(toString(row));
    }
    result.signature = toString(from.getSignature());
    result.status = enumOrHighest(from.getStatus(), TransactionStatus::Failed);
    if (from.hasFailure()) {
        result.failure = read(from.getFailure());
    }
    if (from.hasPosition()) {
        result.position = read(from.getPosition());
    }
    return result;
}

/// \return \p time in whole microseconds, rounded up: a delay must not end early
auto microseconds(Duration time) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::microseconds>(time).count());
}

struct BodyWriter
{
    schema::Message::Builder to;

    auto operator()(const Acquire &body) -> void
    {
        auto out = this->to.initAcquire();
        out.setGroup(body.group.value());
        out.setUpstream(body.upstream.value());
        write(out.initValues(listSize(body.values)), body.values);
        out.setPatienceMs(static_cast<std::uint64_t>(body.waitLimit.count()));
        out.setConnectMs(static_cast<std::uint64_t>(body.connectLimit.count()));
        out.setObjectiveMs(static_cast<std::uint64_t>(body.objective.count()));
        out.setPriority(body.priority);
        out.setCustomer(body.customer.value());
    }

    auto operator()(const Acquired &body) -> void
    {
        auto out = this->to.initAcquired();
        writeState(out, body.state);
        out.setLoad(body.load);
    }

    auto operator()(const Refused &body) -> void
    {
        auto refused = this->to.initRefused();
        write(refused.initWhy(), body.why);
        refused.setNotOwner(body.notOwner);
    }

    auto operator()(const Exchange &body) -> void
    {
        auto out = this->to.initExchange();
        auto commands = out.initCommands(listSize(body.commands));
        for (auto index = 0U; index < commands.size(); ++index) {
            write(commands[index], body.commands[index]);
        }
        out.setLimitMs(static_cast<std::uint64_t>(body.limit.count()));
    }

    auto operator()(const Exchanged &body) -> void
    {
        auto out = this->to.initExchanged();
        auto results = out.initResults(listSize(body.result.results));
        for (auto index = 0U; index < results.size(); ++index) {
            write(results[index], body.result.results[index]);
        }
        out.setSent(body.result.sent);
        out.setBroken(body.result.broken);
    }

    auto operator()(const Release &body) -> void
    {
        auto out = this->to.initRelease();
        out.setClean(body.clean);
        writeState(out, body.state);
    }

    auto operator()(const Prove &body) -> void
    {
        auto out = this->to.initProve();
        out.setGroup(body.group.value());
        out.setUpstream(body.upstream.value());
        out.setOldestMs(static_cast<std::uint64_t>(body.maxAge.count()));
        out.setLimitMs(static_cast<std::uint64_t>(body.limit.count()));
    }

    auto operator()(const Proved &body) -> void
    {
        auto out = this->to.initProved();
        if (body.position) {
            write(out.initPosition(), *body.position);
        }
        out.setAgeMs(static_cast<std::uint64_t>(body.age.count()));
    }

    auto operator()(const Ping &) -> void
    {
        this->to.setPing();
    }

    auto operator()(const Pong &) -> void
    {
        this->to.setPong();
    }

    auto operator()(const TakeQuota &body) -> void
    {
        auto out = this->to.initTakeQuota();
        out.setCustomer(body.customer.value());
        out.setMaxWaitUs(static_cast<std::uint64_t>(body.maxWait.count()));
    }

    auto operator()(const QuotaTaken &body) -> void
    {
        auto out = this->to.initQuotaTaken();
        out.setGranted(std::holds_alternative<decisions::QuotaGranted>(body.decision));
        out.setNotAllocator(std::holds_alternative<decisions::NotAllocator>(body.decision));
        if (const auto *const granted = std::get_if<decisions::QuotaGranted>(&body.decision)) {
            out.setDelayUs(microseconds(granted->delay));
        } else if (const auto *const exhausted = std::get_if<decisions::QuotaExhausted>(&body.decision)) {
            out.setDelayUs(microseconds(exhausted->retryAfter));
        }
    }
};

auto readProve(schema::Message::Prove::Reader from) -> Prove
{
    return {GroupId(toString(from.getGroup())),
            UpstreamId(toString(from.getUpstream())),
            std::chrono::milliseconds(from.getOldestMs()),
            std::chrono::milliseconds(from.getLimitMs())};
}

auto readProved(schema::Message::Proved::Reader from) -> Proved
{
    auto proved = Proved{std::nullopt, std::chrono::milliseconds(from.getAgeMs())};
    if (from.hasPosition()) {
        proved.position = read(from.getPosition());
    }
    return proved;
}

auto readAcquire(schema::Message::Acquire::Reader from) -> Acquire
{
    return {GroupId(toString(from.getGroup())),
            UpstreamId(toString(from.getUpstream())),
            read(from.getValues()),
            std::chrono::milliseconds(from.getPatienceMs()),
            std::chrono::milliseconds(from.getConnectMs()),
            std::chrono::milliseconds(from.getObjectiveMs()),
            from.getPriority(),
            CustomerId(toString(from.getCustomer()))};
}

auto readExchange(schema::Message::Exchange::Reader from) -> Exchange
{
    auto exchange = Exchange{{}, std::chrono::milliseconds(from.getLimitMs())};
    for (const auto command : ofSaneLength(from.getCommands())) {
        exchange.commands.push_back(read(command));
    }
    return exchange;
}

auto readExchanged(schema::Message::Exchanged::Reader from) -> Exchanged
{
    auto exchanged = Exchanged();
    for (const auto result : ofSaneLength(from.getResults())) {
        exchanged.result.results.push_back(read(result));
    }
    exchanged.result.sent = from.getSent();
    exchanged.result.broken = from.getBroken();
    return exchanged;
}

/// \return \p count microseconds, at most a minute: a message of another build must not overflow a duration
auto saneMicroseconds(std::uint64_t count) -> std::chrono::microseconds
{
    constexpr auto longest = std::chrono::microseconds(std::chrono::minutes(1));
    return std::chrono::microseconds(std::min<std::uint64_t>(count, longest.count()));
}

auto readQuotaTaken(schema::Message::QuotaTaken::Reader from) -> QuotaTaken
{
    if (from.getGranted()) {
        return {decisions::QuotaGranted{saneMicroseconds(from.getDelayUs())}};
    }
    if (from.getNotAllocator()) {
        return {decisions::NotAllocator()};
    }
    return {decisions::QuotaExhausted{saneMicroseconds(from.getDelayUs())}};
}

auto readBody(schema::Message::Reader from) -> std::optional<Body>
{
    switch (from.which()) {
    case schema::Message::ACQUIRE:
        return readAcquire(from.getAcquire());
    case schema::Message::ACQUIRED:
        return Acquired{readState(from.getAcquired()), from.getAcquired().getLoad()};
    case schema::Message::REFUSED:
        return Refused{read(from.getRefused().getWhy()), from.getRefused().getNotOwner()};
    case schema::Message::EXCHANGE:
        return readExchange(from.getExchange());
    case schema::Message::EXCHANGED:
        return readExchanged(from.getExchanged());
    case schema::Message::RELEASE:
        return Release{from.getRelease().getClean(), readState(from.getRelease())};
    case schema::Message::PROVE:
        return readProve(from.getProve());
    case schema::Message::PROVED:
        return readProved(from.getProved());
    case schema::Message::PING:
        return Ping();
    case schema::Message::PONG:
        return Pong();
    case schema::Message::TAKE_QUOTA:
        return TakeQuota{CustomerId(toString(from.getTakeQuota().getCustomer())), saneMicroseconds(from.getTakeQuota().getMaxWaitUs())};
    case schema::Message::QUOTA_TAKEN:
        return readQuotaTaken(from.getQuotaTaken());
    }
    return std::nullopt;
}

} // namespace

auto encode(const Message &message) -> std::string
{
    auto builder = capnp::MallocMessageBuilder();
    auto root = builder.initRoot<schema::Message>();
    root.setLease(message.lease);
    std::visit(BodyWriter{root}, message.body);
    auto stream = kj::VectorOutputStream();
    capnp::writePackedMessage(stream, builder);
    const auto bytes = stream.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

auto decode(std::string_view bytes) -> std::optional<Message>
{
    auto message = std::optional<Message>();
    const auto failure = kj::runCatchingExceptions([&] {
        auto stream = kj::ArrayInputStream(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        auto reader = capnp::PackedMessageReader(stream);
        const auto root = reader.getRoot<schema::Message>();
        if (auto body = readBody(root)) {
            message = Message{root.getLease(), *std::move(body)};
        }
    });
    return failure == nullptr ? message : std::nullopt;
}

} // namespace sapphirespool::forwarding
