#include "sapphirespool/Standin/relay.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// A client and a target with a relay between them.
struct Way
{
    Way()
    {
        auto settings = RelaySettings();
        settings.listen = {"127.0.0.1", 0};
        settings.target = {"127.0.0.1", this->acceptor.local_endpoint().port()};
        this->relay = makeRelay(this->io.get_executor(), settings);
        const auto listening = this->relay->start([this](RelayTrouble) {
            ++this->told;
        });
        this->client.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), listening.port));
        this->acceptor.async_accept(this->target, [](const boost::system::error_code &) {});
        this->pass();
        this->client.non_blocking(true);
        this->target.non_blocking(true);
    }

    ~Way()
    {
        this->relay->stop();
        this->pass();
    }

    Way(const Way &) = delete;
    auto operator=(const Way &) -> Way & = delete;

    auto pass() -> void
    {
        this->io.restart();
        this->io.run_for(20ms);
    }

    /// \return what has come to \p socket; "broken" if it has ended
    auto arrived(tcp::socket &socket) -> std::string
    {
        this->pass();
        auto bytes = std::array<char, 64>();
        auto error = boost::system::error_code();
        const auto size = socket.read_some(asio::buffer(bytes), error);
        return error && error != asio::error::would_block ? "broken" : std::string(bytes.data(), size);
    }

    asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    tcp::socket client{io};
    tcp::socket target{io};
    std::shared_ptr<Relay> relay;
    int told = 0;
};

} // namespace

TEST_CASE("a silent way holds bytes both ways and delivers them after the trouble")
{
    auto way = Way();
    asio::write(way.client, asio::buffer("ask", 3));
    CHECK(way.arrived(way.target) == "ask");
    way.relay->begin(RelayTrouble::Silent);
    asio::write(way.client, asio::buffer("more", 4));
    asio::write(way.target, asio::buffer("answer", 6));
    CHECK(way.arrived(way.target).empty());
    CHECK(way.arrived(way.client).empty());
    way.relay->begin(RelayTrouble::None);
    CHECK(way.arrived(way.target) == "more");
    CHECK(way.arrived(way.client) == "answer");
    CHECK(way.told == 2);
}

TEST_CASE("a way that is cut in one direction still carries the other")
{
    auto way = Way();
    way.relay->begin(RelayTrouble::OneWay);
    asio::write(way.client, asio::buffer("ask", 3));
    asio::write(way.target, asio::buffer("word", 4));
    CHECK(way.arrived(way.target).empty());
    CHECK(way.arrived(way.client) == "word");
}

TEST_CASE("a way that resets ends what is on it")
{
    auto way = Way();
    way.relay->begin(RelayTrouble::Resets);
    CHECK(way.arrived(way.client) == "broken");
    CHECK(way.arrived(way.target) == "broken");
}

} // namespace sapphirespool::standin
