// fakedatabases.h: a group of databases behind the link interface, in one process.
//
// Members keep a log of writes by item, values and prepared names by connection, and refuse as databases do. Tests take members away,
// demote them, let replicas lag and lose answers, and read what was run where.
#pragma once

#include "sapphirespool/Interactive/upstreamlink.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::interactive
{

/// A command that reached a member.
struct Seen
{
    std::string member;
    std::size_t connection = 0;
    Command command;
    SessionValues values;
    /// When it came to the member.
    TimePoint at{};
};

/// What a member does to the next commands that match.
enum class Trouble {
    None,
    /// The connection breaks before the command runs.
    BreakBefore,
    /// The command runs, and the connection breaks before its answer.
    BreakAfter,
    /// The command is refused since the queue is full.
    Busy,
    /// The command runs, and its answer never comes.
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
    /// Called before each command of a caller.
    std::function<Trouble(const Command &)> trouble;
};

class FakeDatabases
{
public:
    FakeDatabases();

    [[nodiscard]] auto connector() -> std::shared_ptr<LinkConnector>;
    auto member(const std::string &id) -> FakeMember &;
    [[nodiscard]] auto view() const -> std::shared_ptr<membership::ClusterView>;

    /// Has the replicas apply all that the primary has.
    auto replicate() -> void;

    /// Makes \p id the primary of the next term with what it has.
    auto promote(const std::string &id) -> void;

    std::vector<FakeMember> members;
    std::vector<Seen> seen;
    std::size_t connectionsMade = 0;
    membership::ServiceView service;
    /// Primary as the proxy's view names it.
    std::string viewedPrimary = "a";
    std::uint64_t revision = 1;
};

} // namespace sapphirespool::interactive
