// target.h: where the load goes.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace sapphirespool::load
{

/// One statement of a caller.
struct Question
{
    std::string sql;
    boost::json::array params;
    Access access = Access::Read;
    /// Token of the session; empty at its start.
    std::string session;
    std::optional<std::string> key;
    /// Age that a read accepts; absent: the service's own.
    std::optional<std::chrono::milliseconds> maxAge;
    std::chrono::milliseconds timeout{2000};
};

/// What the caller was told of its statement.
enum class ReplyKind {
    Answered,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
};

/// What the caller received.
struct Reply
{
    ReplyKind kind = ReplyKind::Unknown;
    /// Reason of a refusal; for a broken connection one of the load's own, which begin with `client_`.
    std::string reason;
    std::string session;
    bool fromReplica = false;
    boost::json::array rows;
};

/// A system that takes statements.
class Target
{
public:
    Target() = default;
    Target(const Target &) = delete;
    auto operator=(const Target &) -> Target & = delete;
    virtual ~Target() = default;

    virtual auto ask(Question question) -> boost::asio::awaitable<Reply> = 0;
};

/// \return whether \p endpoint is on this machine. A load that is pointed at somebody else's system by a slip would write into it
/// and could bring it down.
[[nodiscard]] auto isLocal(const Endpoint &endpoint) -> bool;

/// \return a proxy, asked over the callers' API
[[nodiscard]] auto makeProxyTarget(boost::asio::any_io_executor executor, Endpoint proxy, ServiceId service) -> std::shared_ptr<Target>;

/// \return a stand-in, asked past all proxies; its term is read from it before the first statement
[[nodiscard]] auto makeDirectTarget(boost::asio::any_io_executor executor, Endpoint member) -> std::shared_ptr<Target>;

} // namespace sapphirespool::load
