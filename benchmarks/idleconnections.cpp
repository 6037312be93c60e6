// idleconnections.cpp: how much memory a server holds for each caller that stays connected and says nothing.
#include "sapphirespool/Http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool
{

namespace
{

namespace asio = boost::asio;

constexpr auto connectionCounts = std::to_array<std::size_t>({100, 1'000, 10'000});
constexpr auto oneExchange = std::chrono::seconds(10);

/// \return the resident memory of process \p pid in KiB
auto residentMemory(std::string_view pid) -> std::size_t
{
    auto status = std::ifstream("/proc/" + std::string(pid) + "/status");
    for (auto line = std::string(); std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

/// Connects, asks once and stays.
auto openOne(asio::io_context &io, Endpoint server, std::vector<std::shared_ptr<http::ClientConnection>> &open) -> asio::awaitable<void>
{
    const auto deadline = std::chrono::steady_clock::now() + oneExchange;
    const auto client = http::makeClientConnection(io.get_executor());
    const auto error = co_await client->connect(std::move(server), deadline);
    if (error) {
        co_return;
    }
    auto request = http::Request(http::Verb::get, "/healthz", 11);
    const auto result = co_await client->exchange(std::move(request), deadline);
    if (!result.error) {
        open.push_back(client);
    }
}

auto openUpTo(std::size_t count, const Endpoint &server, asio::io_context &io, std::vector<std::shared_ptr<http::ClientConnection>> &open) -> void
{
    // A few at a time, so that the listener's backlog does not overflow.
    constexpr auto batch = std::size_t{50};
    while (open.size() < count) {
        const auto before = open.size();
        for (auto index = std::size_t{0}; index < std::min(batch, count - before); ++index) {
            asio::co_spawn(io, openOne(io, server, open), asio::detached);
        }
        io.restart();
        io.run();
        if (open.size() == before) {
            std::cerr << "the server accepts no more than " << before << " connections\n";
            return;
        }
    }
}

auto measure(const Endpoint &server, std::string_view pid) -> void
{
    auto io = asio::io_context();
    auto open = std::vector<std::shared_ptr<http::ClientConnection>>();
    auto first = std::size_t{0};
    auto last = std::size_t{0};
    std::cout << "connections  resident KiB\n";
    for (const auto count : connectionCounts) {
        openUpTo(count, server, io, open);
        last = residentMemory(pid);
        first = count == connectionCounts.front() ? last : first;
        std::cout << open.size() << "  " << last << "\n";
    }
    const auto more = static_cast<double>(connectionCounts.back() - connectionCounts.front());
    std::cout << "slope " << static_cast<double>(last - first) * 1024 / more << " bytes for a connection\n";
}

} // namespace

} // namespace sapphirespool

auto main(int argc, char **argv) -> int
{
    auto port = std::uint16_t{0};
    const auto text = std::string_view(argc == 4 ? argv[2] : "");
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
    if (argc != 4 || parsed.ec != std::errc()) {
        std::cerr << "usage: idleconnections ADDRESS PORT PID\n";
        return 2;
    }
    sapphirespool::measure(sapphirespool::Endpoint{argv[1], port}, argv[3]);
    return 0;
}
