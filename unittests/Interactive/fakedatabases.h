// fakedatabases.h: an in-process fake of a database group behind the upstream connection interface.
//
// Members store written items, and the values and prepared statements of each connection, and refuse commands as databases do. Tests make
// members unreachable, demote them, let replicas lag, lose answers, and inspect which member ran which command.
#pragma once

#include "sapphirespool/Interactive/upstreamconnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::interactive
{

/// A command that reached a member.
struct ReceivedCommand
{
    std::string member;
    std::size_t connection = 0;
    Command command;
    SessionValues values;
    /// Customer for whom the connection was opened.
    CustomerId customer;
    /// When it reached the member.
    TimePoint at{};
};

/// Fault that a member injects into a command.
enum class Fault {
    None,
    /// The connection breaks before the command runs.
    BreakBefore,
    /// The command runs, and the connection breaks before its answer.
    BreakAfter,
    /// The member refuses the command because its queue is full.
    Busy,
    /// The command runs, and its answer never arrives.
    NoAnswer,
};

struct FakeMember
{
    std::string id;
    bool isPrimary = false;
    bool reachable = true;
    Term term{1};
    /// End of its log.
    std::uint64_t applied = 0;
    std::map<std::string, std::string> items;
    std::size_t connections = 0;
    std::size_t connectionLimit = 100;
    /// Selects the fault for each command of a caller; not called for the proxy's own commands.
    std::function<Fault(const Command &)> fault;
    /// Time from the run of a caller's command to its answer.
    std::chrono::milliseconds answerDelay{0};
};

class FakeDatabases
{
public:
    FakeDatabases();

    [[nodiscard]] auto connector() -> std::shared_ptr<UpstreamConnector>;
    auto member(const std::string &id) -> FakeMember &;
    [[nodiscard]] auto view() const -> std::shared_ptr<membership::ClusterView>;

    /// Copies the primary's items and log position to all replicas.
    auto replicate() -> void;

    /// Makes \p id the primary of the next term, with its present items.
    auto promote(const std::string &id) -> void;

    std::vector<FakeMember> members;
    std::vector<ReceivedCommand> received;
    std::size_t connectionsMade = 0;
    membership::ServiceView service;
    std::vector<membership::CustomerView> customers;
    /// The primary in the proxy's view.
    std::string viewedPrimary = "a";
    std::uint64_t revision = 1;
};

} // namespace sapphirespool::interactive
