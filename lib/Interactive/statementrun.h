// statementrun.h: brings a link to the state of a session, and runs a statement on it.
#pragma once

#include "sapphirespool/Interactive/linkpool.h"
#include "sapphirespool/Interactive/statement.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::interactive
{

/// Values and prepared names of a caller's session, as they were acknowledged to the caller.
struct SessionState
{
    SessionValues values;
    std::map<std::string, PreparedShape> prepared;
};

/// Shapes that may be prepared on one link; callers use some dozens of them.
constexpr auto preparedLimit = std::size_t{256};

/// \param shape shape that the next statement runs, if it runs a prepared one
/// \return what has to be sent on a link in state \p link before a statement of \p session may run on it
///
/// Another caller's values would change what the statement means, and names collide between callers. So the values are made equal,
/// and shapes have names of the link's own, which all sessions share.
[[nodiscard]] auto stateCommands(const LinkState &link, const SessionState &session, const PreparedShape *shape) -> std::vector<Command>;

/// Takes the effect of \p command into \p link.
auto noteDone(LinkState &link, const Command &command) -> void;

/// \param shape shape of \p statement if it runs a prepared one
/// \return \p statement as it is sent on a link in state \p link
[[nodiscard]] auto commandOf(const Statement &statement, const LinkState &link, const PreparedShape *shape) -> Command;

/// \return why \p command failed, with the positions that decided it where the upstream's log was too old; nothing if it did not fail
[[nodiscard]] auto failureOf(const Command &command, const CommandResult &result) -> std::optional<FailureReply>;

/// Sends what brings \p link to the state of \p session, and \p last after it if there is one.
/// \return the failure of the first command that failed; nothing if all succeeded
///
/// Nothing of the caller's is among the commands, so that after a failure nothing of it can have run.
auto prepareLink(UpstreamLink &link, const SessionState &session, const PreparedShape *shape, const Command *last, Duration limit)
    -> boost::asio::awaitable<std::optional<FailureReply>>;

} // namespace sapphirespool::interactive
