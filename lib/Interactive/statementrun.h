// statementrun.h: synchronizes a connection with a session's state and builds the commands of a statement.
#pragma once

#include "sapphirespool/Interactive/connectionpool.h"
#include "sapphirespool/Interactive/statement.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::interactive
{

/// Values and prepared names of a caller's session, as acknowledged to the caller.
struct SessionState
{
    SessionValues values;
    std::map<std::string, PreparedShape> prepared;
};

/// Limit on the shapes prepared on one connection; callers use some dozens.
constexpr auto preparedLimit = std::size_t{256};

/// \param shape shape of the next statement if it is a prepared one, else null
/// \return the commands that bring a connection in state \p connection to the state of \p session, before a statement may run on it
///
/// Values left by another caller would change the meaning of the statement, and prepared names of different callers collide. Therefore
/// the values are made equal, and shapes are prepared under per-connection names, which all sessions share.
[[nodiscard]] auto stateCommands(const AppliedState &connection, const SessionState &session, const PreparedShape *shape) -> std::vector<Command>;

/// Updates \p connection for a successful \p command.
auto applyCommand(AppliedState &connection, const Command &command) -> void;

/// \param shape shape of \p statement if it is a prepared one, else null
/// \return the command that runs \p statement on a connection in state \p connection
[[nodiscard]] auto commandOf(const Statement &statement, const AppliedState &connection, const PreparedShape *shape) -> Command;

/// \return the failure of \p command, for Failure::Lagging with the required and the applied position; nothing if it succeeded
[[nodiscard]] auto failureOf(const Command &command, const CommandResult &result) -> std::optional<FailureReply>;

/// Sends the commands that bring \p connection to the state of \p session, followed by \p last unless it is null.
/// \return the failure of the first command that failed; nothing if all succeeded
///
/// No statement of the caller is among the commands, so none can have run after a failure.
auto prepareConnection(UpstreamConnection &connection, const SessionState &session, const PreparedShape *shape, const Command *last, Duration limit)
    -> boost::asio::awaitable<std::optional<FailureReply>>;

} // namespace sapphirespool::interactive
