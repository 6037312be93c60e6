#include "statementrun.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

auto setValue(const std::string &name, const std::string &value) -> Command
{
    auto command = Command();
    command.kind = CommandKind::SetValue;
    command.name = name;
    command.text = value;
    return command;
}

auto discard() -> Command
{
    auto command = Command();
    command.kind = CommandKind::Discard;
    return command;
}

auto prepare(const PreparedShape &shape, std::size_t number) -> Command
{
    auto command = Command();
    command.kind = CommandKind::Prepare;
    command.name = "p" + std::to_string(number);
    command.shape = shape;
    return command;
}

/// \return whether the connection has a value that the session lacks. Only a Discard, which resets the whole connection, removes a value.
auto hasForeignValue(const AppliedState &connection, const SessionState &session) -> bool
{
    return std::any_of(connection.values.begin(), connection.values.end(), [&session](const auto &value) {
        return !session.values.contains(value.first);
    });
}

auto formatPosition(const std::optional<DataPosition> &position) -> std::string
{
    return position ? std::to_string(position->term.value()) + "." + std::to_string(position->number.value()) : "none";
}

} // namespace

auto failureOf(const Command &command, const CommandResult &result) -> std::optional<FailureReply>
{
    auto failure = result.failure;
    if (failure && failure->failure == Failure::Lagging) {
        failure->detail = "needs " + formatPosition(command.after) + ", holds " + formatPosition(result.position);
        failure->upstreamPosition = result.position;
    }
    return failure;
}

auto stateCommands(const AppliedState &connection, const SessionState &session, const PreparedShape *shape) -> std::vector<Command>
{
    auto commands = std::vector<Command>();
    const auto needsShape = shape != nullptr && !connection.prepared.contains(*shape);
    const auto needsDiscard = hasForeignValue(connection, session) || (needsShape && connection.prepared.size() >= preparedLimit);
    if (needsDiscard) {
        commands.push_back(discard());
    }
    for (const auto &[name, value] : session.values) {
        const auto present = connection.values.find(name);
        if (needsDiscard || present == connection.values.end() || present->second != value) {
            commands.push_back(setValue(name, value));
        }
    }
    if (shape != nullptr && (needsDiscard || needsShape)) {
        commands.push_back(prepare(*shape, needsDiscard ? 1 : connection.prepared.size() + 1));
    }
    return commands;
}

auto applyCommand(AppliedState &connection, const Command &command) -> void
{
    switch (command.kind) {
    case CommandKind::Discard:
        connection = AppliedState();
        return;
    case CommandKind::SetValue:
        connection.values.insert_or_assign(command.name, command.text);
        return;
    case CommandKind::Prepare:
        connection.prepared.insert_or_assign(command.shape, command.name);
        return;
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
    case CommandKind::Commit:
    case CommandKind::Rollback:
    case CommandKind::Execute:
    case CommandKind::Run:
        return;
    }
}

auto commandOf(const Statement &statement, const AppliedState &connection, const PreparedShape *shape) -> Command
{
    auto command = Command();
    command.id = statement.id;
    command.text = statement.text;
    if (shape != nullptr) {
        command.kind = CommandKind::Execute;
        command.name = connection.prepared.at(*shape);
    }
    return command;
}

auto prepareConnection(UpstreamConnection &connection, const SessionState &session, const PreparedShape *shape, const Command *last, Duration limit)
    -> boost::asio::awaitable<std::optional<FailureReply>>
{
    auto commands = stateCommands(connection.state, session, shape);
    if (last != nullptr) {
        commands.push_back(*last);
    }
    if (commands.empty()) {
        co_return std::nullopt;
    }
    const auto exchange = co_await connection.exchange(commands, limit);
    for (std::size_t index = 0; index < exchange.results.size(); ++index) {
        if (exchange.results[index].failure) {
            co_return failureOf(commands[index], exchange.results[index]);
        }
        applyCommand(connection.state, commands[index]);
    }
    if (exchange.broken || exchange.results.size() < commands.size()) {
        auto why = FailureReply{Failure::Unreachable, "the connection broke before the statement was sent", {}};
        co_return why;
    }
    co_return std::nullopt;
}

} // namespace sapphirespool::interactive
