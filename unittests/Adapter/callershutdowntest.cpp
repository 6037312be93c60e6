#include "../../lib/Node/callershutdown.h"

#include "Interactive/fakedatabases.h"
#include "platform/callerserver.h"

#include "sapphirespool/Interactive/session.h"
#include "sapphirespool/Support/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <istream>
#include <random>
#include <set>

namespace sapphirespool::adapter
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

class SilentRecorder : public interactive::SessionRecorder
{
public:
    auto served(const ServiceId &, Access, bool, Duration) -> void override
    {
    }

    auto refused(const ServiceId &, interactive::Failure) -> void override
    {
    }

    auto retried(const ServiceId &, interactive::Failure) -> void override
    {
    }
};

/// A proxy on the wire that is stopped while callers work.
///
/// The end of a stop is far away: a machine that is slow may delay a step, but never cuts an answer.
struct StoppingProxy
{
    explicit StoppingProxy(std::uint64_t seed)
        : random(seed)
    {
        this->databases.service.timeout = 1s;
        this->views->publish(this->databases.view());
        this->views->extendLease(support::now() + 1h);
        this->views->noteContact(support::now());
        auto dependencies = interactive::SessionServiceDependencies();
        dependencies.zone = ZoneId("zone-a");
        dependencies.views = this->views;
        dependencies.pool = interactive::makeConnectionPool(this->databases.connector(), this->io.get_executor());
        dependencies.recorder = std::make_shared<SilentRecorder>();
        dependencies.executor = this->io.get_executor();
        for (const auto &member : this->databases.members) {
            dependencies.pool->setLimits(UpstreamId(member.id), {4, 4});
        }
        this->sessions = interactive::makeSessionService(std::move(dependencies));
        this->callers = makeCallerServer(this->io.get_executor(), this->sessions);
        this->endpoint = this->callers->listen({"127.0.0.1", 0});
        auto parts = node::CallerShutdownParts();
        parts.sessions = this->sessions;
        parts.callers = this->callers;
        parts.executor = this->io.get_executor();
        this->shutdown = std::make_shared<node::CallerShutdown>(std::move(parts), proxy::ShutdownTimes{60ms, 90ms, 150ms, 20s});
    }

    auto within(std::chrono::milliseconds limit) -> std::chrono::milliseconds
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(this->random));
    }

    /// Lets \p count callers work, each with transactions and single writes at random times, and stops the proxy meanwhile.
    auto play(std::size_t count) -> void
    {
        for (auto caller = std::size_t{0}; caller < count; ++caller) {
            asio::co_spawn(this->io, this->work(), asio::detached);
        }
        auto timer = asio::steady_timer(this->io, 20ms);
        timer.async_wait([this](const boost::system::error_code &) {
            this->shutdown->begin([this] {
                this->callers->close();
                this->hasEnded = true;
            });
        });
        const auto limit = std::chrono::steady_clock::now() + 25s;
        while ((!this->hasEnded || this->working > 0) && std::chrono::steady_clock::now() < limit) {
            this->io.restart();
            this->io.run_one_for(20ms);
        }
    }

    /// \return the requests that the upstream ran and that were not answered
    [[nodiscard]] auto lost() const -> std::set<std::string>
    {
        auto ran = std::set<std::string>();
        for (const auto &received : this->databases.received) {
            if (!received.command.id.empty() && !this->answered.contains(received.command.id)) {
                ran.insert(received.command.id);
            }
        }
        return ran;
    }

    interactive::FakeDatabases databases;
    asio::io_context io;
    std::mt19937_64 random;
    std::shared_ptr<membership::ViewHolder> views = std::make_shared<membership::ViewHolder>();
    std::shared_ptr<interactive::SessionService> sessions;
    std::shared_ptr<node::CallerServer> callers;
    std::shared_ptr<node::CallerShutdown> shutdown;
    Endpoint endpoint;
    bool hasEnded = false;
    std::size_t working = 0;
    std::size_t lastId = 0;
    std::set<std::string> answered;
    std::size_t refused = 0;

private:
    auto work() -> asio::awaitable<void>
    {
        ++this->working;
        try {
            auto socket = tcp::socket(this->io);
            co_await socket.async_connect(tcp::endpoint(asio::ip::make_address(this->endpoint.address), this->endpoint.port), asio::use_awaitable);
            auto buffer = asio::streambuf();
            co_await asio::async_write(socket, asio::buffer(std::string("STARTUP orders u1\r\n")), asio::use_awaitable);
            co_await readReady(socket, buffer);
            while (true) {
                const auto inTransaction = this->random() % 2 == 0;
                if (inTransaction) {
                    co_await this->query(socket, buffer, "BEGIN");
                    co_await this->query(socket, buffer, "STORE a 1");
                    co_await this->pause(150ms);
                }
                co_await this->query(socket, buffer, inTransaction ? "COMMIT" : "STORE b 2");
                co_await this->pause(20ms);
            }
        } catch (const boost::system::system_error &) {
            // The proxy has closed the connection.
        }
        --this->working;
    }

    auto pause(std::chrono::milliseconds limit) -> asio::awaitable<void>
    {
        auto timer = asio::steady_timer(this->io, this->within(limit));
        co_await timer.async_wait(asio::use_awaitable);
    }

    auto query(tcp::socket &socket, asio::streambuf &buffer, std::string text) -> asio::awaitable<void>
    {
        this->databases.member("a").answerDelay = this->within(80ms);
        const auto id = "q" + std::to_string(++this->lastId);
        co_await asio::async_write(socket, asio::buffer("QUERY " + id + " " + text + "\r\n"), asio::use_awaitable);
        const auto isRefused = co_await readReady(socket, buffer);
        this->refused += isRefused ? 1 : 0;
        this->answered.insert(id);
    }

    /// Reads up to the line that ends an answer.
    /// \return whether the answer is an error
    static auto readReady(tcp::socket &socket, asio::streambuf &buffer) -> asio::awaitable<bool>
    {
        auto isRefused = false;
        auto line = std::string();
        while (!line.starts_with("READY")) {
            co_await asio::async_read_until(socket, buffer, "\r\n", asio::use_awaitable);
            auto stream = std::istream(&buffer);
            std::getline(stream, line);
            isRefused = isRefused || line.starts_with("ERROR");
        }
        co_return isRefused;
    }
};

} // namespace

TEST_CASE("random work during a planned stop: whatever an upstream has run is answered")
{
    // Failure: a request is forwarded between two steps of a stop, and the connection is closed before its answer.
    auto refused = std::size_t{0};
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        INFO("seed " << seed);
        auto proxy = StoppingProxy(seed);
        proxy.play(12);
        REQUIRE(proxy.hasEnded);
        CHECK(proxy.working == 0);
        CHECK(proxy.lost().empty());
        refused += proxy.refused;
    }
    CHECK(refused > 0);
}

TEST_CASE("a commit is answered although its upstream takes until after the callers' connections are closed")
{
    // Failure: the connections of all callers are closed at one moment, whatever they wait for.
    auto proxy = StoppingProxy(1);
    auto socket = tcp::socket(proxy.io);
    socket.connect(tcp::endpoint(asio::ip::make_address(proxy.endpoint.address), proxy.endpoint.port));
    asio::write(socket, asio::buffer(std::string("STARTUP orders u1\r\nQUERY q1 BEGIN\r\nQUERY q2 STORE a 1\r\n")));
    proxy.io.run_for(50ms);
    proxy.databases.member("a").answerDelay = 400ms;
    asio::write(socket, asio::buffer(std::string("QUERY q3 COMMIT\r\nQUERY q4 STORE b 2\r\n")));
    proxy.io.restart();
    proxy.io.run_for(20ms);
    CHECK(proxy.callers->unanswered() == 1);
    proxy.shutdown->begin([&proxy] {
        proxy.callers->close();
        proxy.hasEnded = true;
    });
    while (!proxy.hasEnded) {
        proxy.io.restart();
        proxy.io.run_one_for(20ms);
    }
    auto heard = std::string();
    auto error = boost::system::error_code();
    while (!error) {
        auto bytes = std::string(4096, '\0');
        bytes.resize(socket.read_some(asio::buffer(bytes), error));
        heard += bytes;
    }
    CHECK(heard.find("COMPLETE signed\r\nREADY I") != std::string::npos);
    // The request that was read with the commit is refused, not left without an answer.
    CHECK(heard.find("ERROR BUSY") != std::string::npos);
    CHECK(proxy.databases.member("a").items.size() == 1);
}

} // namespace sapphirespool::adapter
