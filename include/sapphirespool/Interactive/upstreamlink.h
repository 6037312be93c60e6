// upstreamlink.h: one connection to an upstream that keeps state between statements.
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

/// What a link is told.
enum class CommandKind : std::uint8_t {
    SetValue,
    Prepare,
    /// Clears the values and the prepared names.
    Discard,
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Execute,
    /// A read or write as the caller wrote it.
    Run,
};

/// One command on a link.
struct Command
{
    CommandKind kind = CommandKind::Run;
    /// The caller's id; empty for a command of the proxy's own.
    std::string id;
    std::string name;
    std::string text;
    PreparedShape shape;
    /// Position that the upstream's log must hold, or it does not run the command.
    std::optional<DataPosition> after;
    /// Whether what it changes may last although its answer is lost: a commit, or a write on its own. Others can be given up without a
    /// doubt, since a transaction that is not committed is rolled back.
    bool lasting = false;
};

/// Outcome of one command.
struct CommandResult
{
    std::vector<std::string> rows;
    std::string signature;
    std::optional<FailureReply> failure;
    /// Transaction of the connection after the command.
    TransactionStatus status = TransactionStatus::None;
    std::optional<DataPosition> position;
};

/// Outcome of some commands that were sent together.
struct ExchangeResult
{
    /// One for each command that was answered in full, in their order.
    std::vector<CommandResult> results;
    /// Whether a byte may have reached the upstream. False proves that it did not.
    bool sent = false;
    /// The connection broke, fell silent or sent what cannot be read; it is closed.
    bool broken = false;
    /// When the commands were sent.
    TimePoint sentAt{};
};

/// Values of a session, or of a connection, by their names.
using SessionValues = std::map<std::string, std::string>;

/// Values and prepared statements of a connection.
struct LinkState
{
    SessionValues values;
    /// Name on the connection of each shape that was prepared on it.
    std::map<PreparedShape, std::string> prepared;
};

/// A connection. One exchange at a time.
class UpstreamLink
{
public:
    UpstreamLink() = default;
    UpstreamLink(const UpstreamLink &) = delete;
    auto operator=(const UpstreamLink &) -> UpstreamLink & = delete;
    virtual ~UpstreamLink() = default;

    /// Sends \p commands together and waits for their results, for \p limit at most; the link is closed then.
    virtual auto exchange(std::span<const Command> commands, Duration limit) -> boost::asio::awaitable<ExchangeResult> = 0;

    virtual auto close() -> void = 0;

    /// \return whether the connection can be used: it is open, and nothing has arrived on it unasked
    [[nodiscard]] virtual auto isUsable() const -> bool = 0;

    /// What the proxy has set on the connection.
    LinkState state;
};

/// A link, or why there is none; the reason promises that nothing was run.
using ConnectResult = std::variant<std::shared_ptr<UpstreamLink>, FailureReply>;

/// Opens links.
class LinkConnector
{
public:
    LinkConnector() = default;
    LinkConnector(const LinkConnector &) = delete;
    auto operator=(const LinkConnector &) -> LinkConnector & = delete;
    virtual ~LinkConnector() = default;

    /// Connects to \p upstream as a member of \p group within \p limit.
    virtual auto connect(GroupId group, membership::UpstreamView upstream, Duration limit) -> boost::asio::awaitable<ConnectResult> = 0;

    /// \return whether \p upstream takes a connection within \p limit. It does no work for that, and none of its links is used.
    virtual auto reaches(membership::UpstreamView upstream, Duration limit) -> boost::asio::awaitable<bool> = 0;
};

} // namespace sapphirespool::interactive
