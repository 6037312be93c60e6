// upstreamconnection.h: interface of a stateful connection to an upstream.
#pragma once

#include "sapphirespool/Interactive/reply.h"
#include "sapphirespool/Interactive/statement.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace sapphirespool::interactive
{

/// Kind of a command on an upstream connection.
enum class CommandKind : std::uint8_t {
    SetValue,
    Prepare,
    /// Clears the values and the prepared statements of the connection.
    Discard,
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Execute,
    /// A read or write in the caller's own text.
    Run,
};

/// One command on an upstream connection.
struct Command
{
    CommandKind kind = CommandKind::Run;
    /// The caller's statement id; empty for commands that the proxy itself sends.
    std::string id;
    std::string name;
    std::string text;
    PreparedShape shape;
    /// Position that the upstream's log must contain; otherwise the upstream refuses the command.
    std::optional<DataPosition> after;
    /// Whether its changes may be durable although its answer is lost: a commit, or a write outside of a transaction. Other commands can
    /// safely be abandoned, since a transaction that is not committed is rolled back.
    bool mayCommit = false;
};

/// Outcome of one command.
struct CommandResult
{
    std::vector<std::string> rows;
    std::string signature;
    std::optional<FailureReply> failure;
    /// Transaction status of the connection after the command.
    TransactionStatus status = TransactionStatus::None;
    std::optional<DataPosition> position;
};

/// Outcome of the commands that were sent together.
struct ExchangeResult
{
    /// One result for each command that was answered completely, in the order of the commands.
    std::vector<CommandResult> results;
    /// Whether any byte may have reached the upstream. False proves that none did.
    bool sent = false;
    /// The connection broke, timed out or sent malformed data; it is closed.
    bool broken = false;
    /// When the commands were sent.
    TimePoint sentAt{};
};

/// Values of a session or connection by name.
using SessionValues = std::map<std::string, std::string>;

/// Session values and prepared statements that are set on a connection.
struct AppliedState
{
    SessionValues values;
    /// Name on this connection of each prepared shape.
    std::map<PreparedShape, std::string> prepared;
};

/// A connection to an upstream. It handles one exchange at a time.
class UpstreamConnection
{
public:
    UpstreamConnection() = default;
    UpstreamConnection(const UpstreamConnection &) = delete;
    auto operator=(const UpstreamConnection &) -> UpstreamConnection & = delete;
    virtual ~UpstreamConnection() = default;

    /// Sends \p commands together and waits for their results. The connection is closed if they take longer than \p limit.
    virtual auto exchange(std::span<const Command> commands, Duration limit) -> boost::asio::awaitable<ExchangeResult> = 0;

    virtual auto close() -> void = 0;

    /// \return whether the connection is open and has received no unsolicited data
    [[nodiscard]] virtual auto isUsable() const -> bool = 0;

    /// The state that the proxy has set on the connection.
    AppliedState state;
};

/// A connection, or the reason for the failure; a failure guarantees that no command was run.
using ConnectResult = std::variant<std::shared_ptr<UpstreamConnection>, FailureReply>;

/// Opens upstream connections.
class UpstreamConnector
{
public:
    UpstreamConnector() = default;
    UpstreamConnector(const UpstreamConnector &) = delete;
    auto operator=(const UpstreamConnector &) -> UpstreamConnector & = delete;
    virtual ~UpstreamConnector() = default;

    /// Connects to \p upstream as a member of \p group within \p limit.
    /// \param customer on whose behalf the connection is used until it closes; empty for callers without a customer
    virtual auto connect(GroupId group, membership::UpstreamView upstream, CustomerId customer, Duration limit) -> boost::asio::awaitable<ConnectResult> = 0;

    /// \return whether \p upstream accepts a connection within \p limit. This costs the upstream no work and uses none of its connections.
    virtual auto reaches(membership::UpstreamView upstream, Duration limit) -> boost::asio::awaitable<bool> = 0;
};

} // namespace sapphirespool::interactive
