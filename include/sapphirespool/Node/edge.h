// edge.h: the protocols by which a VM meets callers, upstreams and operators, where they are not the project's own.
#pragma once

#include "sapphirespool/Configuration/reader.h"
#include "sapphirespool/Http/server.h"
#include "sapphirespool/Interactive/session.h"
#include "sapphirespool/Interactive/upstreamconnection.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Platform/groupoperator.h"
#include "sapphirespool/Settings/settings.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace sapphirespool::node
{

/// Accepts callers and runs their statements in sessions. All calls come on its executor.
class CallerServer
{
public:
    CallerServer() = default;
    CallerServer(const CallerServer &) = delete;
    auto operator=(const CallerServer &) -> CallerServer & = delete;
    virtual ~CallerServer() = default;

    /// Starts to accept.
    /// \throws boost::system::system_error if the endpoint cannot be had
    /// \return the endpoint with the port that was bound
    virtual auto listen(const Endpoint &endpoint) -> Endpoint = 0;

    /// Closes each connection as soon as it has no request and no transaction. Goes on to accept, since the balancer may be late.
    virtual auto drain() -> void = 0;

    /// Closes each connection as soon as it has no request, also within a transaction.
    virtual auto closeUnasked() -> void = 0;

    /// Closes all connections, whatever they do.
    virtual auto close() -> void = 0;

    [[nodiscard]] virtual auto connections() const -> std::size_t = 0;

    /// \return the connections with a request that was read and whose answer has not been written in full
    [[nodiscard]] virtual auto unanswered() const -> std::size_t = 0;
};

/// One implementation for each world that the product is placed in.
class Edge
{
public:
    Edge() = default;
    Edge(const Edge &) = delete;
    auto operator=(const Edge &) -> Edge & = delete;
    virtual ~Edge() = default;

    [[nodiscard]] virtual auto configurationReader() -> std::shared_ptr<const configuration::Reader> = 0;

    /// \return what carries orders to the members of database groups
    [[nodiscard]] virtual auto groupOperator(const boost::asio::any_io_executor &executor, const settings::Settings &settings)
        -> std::shared_ptr<platform::GroupOperator>
        = 0;

    /// \return what answers the operators and the upstreams at a control VM
    [[nodiscard]] virtual auto controlHandler(std::shared_ptr<membership::ControlLink> control, std::shared_ptr<membership::ViewHolder> views)
        -> std::shared_ptr<http::Handler>
        = 0;

    [[nodiscard]] virtual auto upstreamConnector(const boost::asio::any_io_executor &executor) -> std::shared_ptr<interactive::UpstreamConnector> = 0;

    [[nodiscard]] virtual auto callerServer(const boost::asio::any_io_executor &executor, std::shared_ptr<interactive::SessionService> sessions)
        -> std::shared_ptr<CallerServer>
        = 0;
};

} // namespace sapphirespool::node
