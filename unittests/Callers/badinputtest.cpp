#include "Callers/fakeexecutor.h"

#include "sapphirespool/Callers/handler.h"
#include "sapphirespool/Http/router.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

namespace sapphirespool::callers
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto goodRequest = std::string_view("POST /v1/services/orders/statements HTTP/1.1\r\nHost: x\r\nContent-Length: 34\r\n\r\n"
                                              R"({"sql":"select 1","access":"read"})");

/// The callers' server on a thread of its own, and sockets of badly behaved callers.
class Entry
{
public:
    Entry()
    {
        auto limits = http::ServerLimits();
        limits.headerBytes = 1024;
        limits.bodyBytes = 2048;
        limits.receiveTimeout = std::chrono::milliseconds(100);
        limits.idleTimeout = std::chrono::milliseconds(400);
        const auto work = this->io.get_executor();
        const auto router = std::make_shared<http::Router>(makeHandler(this->executor));
        this->server = http::makeServer(
            work,
            [work] {
                return work;
            },
            limits,
            router);
        this->endpoint = this->server->listen({"127.0.0.1", 0});
        this->thread = std::thread([this] {
            this->io.run();
        });
    }

    ~Entry()
    {
        this->server->close();
        this->io.stop();
        this->thread.join();
    }

    auto connect() -> tcp::socket
    {
        auto socket = tcp::socket(this->clients);
        socket.connect(tcp::endpoint(asio::ip::make_address(this->endpoint.address), this->endpoint.port));
        return socket;
    }

    /// Sends \p bytes, ends the sending side if told so, and reads until the server closes.
    auto talk(std::string_view bytes, bool half = false) -> std::string
    {
        auto socket = this->connect();
        auto error = boost::system::error_code();
        asio::write(socket, asio::buffer(bytes), error);
        if (half) {
            socket.shutdown(tcp::socket::shutdown_send);
        }
        auto answer = std::string();
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    std::shared_ptr<testing::FakeExecutor> executor = std::make_shared<testing::FakeExecutor>();

private:
    asio::io_context io;
    asio::io_context clients;
    std::shared_ptr<http::Server> server;
    Endpoint endpoint;
    std::thread thread;
};

auto has(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("input that is no request gets a 4xx with a reason, and nothing runs")
{
    // Whatever a broken or hostile caller sends, it reads a reason and a remedy, no upstream hears of it, and the request of a
    // well-behaved caller on another connection is answered as ever.
    auto entry = Entry();
    const auto garbage = entry.talk("\x01\x02 not http\r\n\r\n");
    CHECK(has(garbage, "HTTP/1.1 400"));
    CHECK(has(garbage, "\"reason\":\"malformed_request\""));
    CHECK(has(garbage, "\"executed\":\"no\""));
    const auto longHeader = entry.talk("POST / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
    CHECK(has(longHeader, "HTTP/1.1 431"));
    CHECK(has(longHeader, "\"reason\":\"request_too_large\""));
    const auto largeBody = entry.talk("POST /v1/services/orders/statements HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" + std::string(500'000, 'x'));
    CHECK(has(largeBody, "HTTP/1.1 413"));
    CHECK(has(largeBody, "\"remedy\""));
    const auto badLength = entry.talk("POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n");
    CHECK(has(badLength, "HTTP/1.1 400"));
    CHECK(entry.executor->statements.empty());
    CHECK(has(entry.talk(goodRequest, true), "HTTP/1.1 200"));
}

TEST_CASE("a slow sender is told that its request did not arrive in time")
{
    // A caller sends half a request and then nothing. It must not hold its connection for ever, and it should learn why it is cut.
    auto entry = Entry();
    const auto answer = entry.talk(goodRequest.substr(0, 80));
    CHECK(has(answer, "HTTP/1.1 408"));
    CHECK(has(answer, "did not arrive in time"));
    CHECK(entry.executor->statements.empty());
}

TEST_CASE("a socket that is closed for sending in the middle of a request is answered, after a whole request served")
{
    auto entry = Entry();
    const auto cut = entry.talk(goodRequest.substr(0, 80), true);
    CHECK(has(cut, "HTTP/1.1 400"));
    CHECK(entry.executor->statements.empty());
    CHECK(has(entry.talk(goodRequest, true), "HTTP/1.1 200"));
    CHECK(entry.executor->statements.size() == 1);
}

TEST_CASE("requests sent one after the other without waiting are answered in order")
{
    auto entry = Entry();
    const auto bad = std::string("POST /v1/services/orders/nothing HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    const auto answers = entry.talk(std::string(goodRequest) + bad + std::string(goodRequest), true);
    const auto first = answers.find("HTTP/1.1 200");
    const auto second = answers.find("HTTP/1.1 404");
    const auto third = answers.rfind("HTTP/1.1 200");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
}

TEST_CASE("a connection that never says anything is closed")
{
    auto entry = Entry();
    CHECK(entry.talk("").empty());
}

} // namespace sapphirespool::callers
