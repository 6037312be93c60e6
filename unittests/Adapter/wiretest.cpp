#include "platform/callerserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace sapphirespool::adapter
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using interactive::TransactionStatus;

/// Answers each statement with its own text; counts what reached it.
class EchoSession : public interactive::Session
{
public:
    explicit EchoSession(std::vector<std::string> &seen)
        : seen(seen)
    {
    }

    auto execute(interactive::Statement statement) -> asio::awaitable<interactive::Reply> override
    {
        this->seen.push_back(statement.text);
        this->current = statement.kind == interactive::StatementKind::Begin ? TransactionStatus::Open : this->current;
        auto reply = interactive::Reply();
        reply.rows.push_back(statement.text);
        reply.status = this->current;
        co_return reply;
    }

    auto end() -> void override
    {
    }

    [[nodiscard]] auto status() const -> TransactionStatus override
    {
        return this->current;
    }

private:
    std::vector<std::string> &seen;
    TransactionStatus current = TransactionStatus::None;
};

class EchoService : public interactive::SessionService
{
public:
    auto awaitFirstView() -> boost::asio::awaitable<void> override
    {
        co_return;
    }

    [[nodiscard]] auto open(std::string_view database, std::string_view) -> interactive::OpenResult override
    {
        if (database != "orders") {
            return interactive::FailureReply{interactive::Failure::UnknownDatabase, "no such database", {}};
        }
        return std::make_shared<EchoSession>(this->seen);
    }

    auto viewChanged() -> void override
    {
    }

    auto refuseNewWork() -> void override
    {
    }

    auto endForwardingAt(TimePoint) -> void override
    {
    }

    [[nodiscard]] auto counts() const -> interactive::SessionCounts override
    {
        return {};
    }

    std::vector<std::string> seen;
};

/// A server and a caller that writes raw bytes.
struct Wire
{
    Wire()
        : server(makeCallerServer(this->io.get_executor(), this->service))
        , endpoint(this->server->listen({"127.0.0.1", 0}))
    {
    }

    ~Wire()
    {
        this->server->close();
        this->pass();
    }

    Wire(const Wire &) = delete;
    auto operator=(const Wire &) -> Wire & = delete;

    auto connect() -> tcp::socket
    {
        auto socket = tcp::socket(this->io);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->endpoint.port));
        socket.non_blocking(true);
        return socket;
    }

    auto pass() -> void
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(20));
    }

    /// Sends \p bytes.
    auto say(tcp::socket &socket, std::string_view bytes) -> void
    {
        auto ignored = boost::system::error_code();
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    /// \return whether \p expected comes next, within the time of a busy machine
    auto hears(tcp::socket &socket, std::string_view expected) -> bool
    {
        auto heard = std::string();
        for (auto look = 0; look < looks && heard.size() < expected.size() && !this->closed; ++look) {
            this->pass();
            heard += this->read(socket);
        }
        return std::string_view(heard).starts_with(expected);
    }

    /// \return whether the server ends the connection
    auto hearsEnd(tcp::socket &socket) -> bool
    {
        this->closed = false;
        for (auto look = 0; look < looks && !this->closed; ++look) {
            this->pass();
            this->read(socket);
        }
        return std::exchange(this->closed, false);
    }

    /// \return what has arrived; notes the end of the connection
    auto read(tcp::socket &socket) -> std::string
    {
        auto error = boost::system::error_code();
        auto bytes = std::string(64 * 1024, '\0');
        const auto size = socket.read_some(asio::buffer(bytes), error);
        this->closed = error == asio::error::eof || error == asio::error::connection_reset;
        bytes.resize(error ? 0 : size);
        return bytes;
    }

    /// Two seconds.
    static constexpr auto looks = 100;

    asio::io_context io;
    std::shared_ptr<EchoService> service = std::make_shared<EchoService>();
    std::shared_ptr<node::CallerServer> server;
    Endpoint endpoint;
    bool closed = false;
};

} // namespace

TEST_CASE("a session over the wire, in pieces and pipelined")
{
    auto wire = Wire();
    auto socket = wire.connect();
    wire.say(socket, "STARTUP orders u1\r\n");
    CHECK(wire.hears(socket, "READY I -\r\n"));
    wire.say(socket, "QUERY 1 FET");
    wire.pass();
    wire.say(socket, "CH a\r\nQUERY 2 FETCH b\r\n");
    CHECK(wire.hears(socket, "DATAROW FETCH a\r\nCOMPLETE -\r\nREADY I -\r\nDATAROW FETCH b\r\nCOMPLETE -\r\nREADY I -\r\n"));
}

TEST_CASE("bad input ends its own connection with a word, reaches nothing, and disturbs nobody")
{
    // One caller sends bytes that are no message. Another caller's session goes on; the upstream hears nothing of it.
    auto wire = Wire();
    auto good = wire.connect();
    wire.say(good, "STARTUP orders u1\r\n");
    CHECK(wire.hears(good, "READY"));
    for (const auto *const bytes : {"HELLO\r\n", "QUERY 1 FETCH a\r\n", "STARTUP\r\n", "\r\n", "QUERY\r\n"}) {
        INFO(bytes);
        auto bad = wire.connect();
        wire.say(bad, bytes);
        CHECK(wire.hears(bad, "ERROR MALFORMED"));
        CHECK(wire.hearsEnd(bad));
    }
    auto unknown = wire.connect();
    wire.say(unknown, "STARTUP nobody u1\r\n");
    CHECK(wire.hears(unknown, "ERROR NODATABASE"));
    wire.closed = false;
    auto drop = wire.connect();
    wire.say(drop, "STARTUP orders u1\r\nQUERY 1 DROP a\r\n");
    CHECK(wire.hears(drop, "READY I -\r\nERROR MALFORMED"));
    wire.closed = false;
    CHECK(wire.service->seen.empty());
    wire.say(good, "QUERY 9 FETCH x\r\n");
    CHECK(wire.hears(good, "DATAROW FETCH x"));
    CHECK(wire.service->seen.size() == 1);
}

TEST_CASE("a stop closes idle callers at once, and one in a transaction after it")
{
    auto wire = Wire();
    auto idle = wire.connect();
    auto busy = wire.connect();
    wire.say(idle, "STARTUP orders u1\r\n");
    wire.say(busy, "STARTUP orders u2\r\nQUERY 1 BEGIN\r\n");
    CHECK(wire.hears(idle, "READY I -\r\n"));
    CHECK(wire.hears(busy, "READY I -\r\nDATAROW \r\nCOMPLETE -\r\nREADY T -\r\n"));
    CHECK(wire.server->connections() == 2);
    wire.server->drain();
    CHECK(wire.hearsEnd(idle));
    CHECK(wire.server->connections() == 1);
    wire.say(busy, "QUERY 2 FETCH a\r\n");
    CHECK(wire.hears(busy, "DATAROW FETCH a"));
    wire.pass();
    wire.server->closeUnasked();
    CHECK(wire.hearsEnd(busy));
    CHECK(wire.server->connections() == 0);
}

} // namespace sapphirespool::adapter
