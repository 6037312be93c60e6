// relay.h: a way between two processes that misbehaves as networks do, for the fault soak.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace sapphirespool::standin
{

/// What a way does to the connections on it.
enum class RelayTrouble : std::uint8_t {
    None,
    /// Bytes arrive later.
    Delays,
    /// Each connection is reset, and each new one.
    Resets,
    /// Bytes of both directions are held, and delivered after the trouble; connections stay open without a word.
    Silent,
    /// Only the bytes towards the target are held: it hears nothing and is heard.
    OneWay,
};

[[nodiscard]] auto name(RelayTrouble trouble) -> std::string_view;

struct RelaySettings
{
    Endpoint listen;
    Endpoint target;
    /// Mean time without trouble between two troubles; zero: troubles come by Relay::begin() alone.
    std::chrono::milliseconds calm{0};
    /// Longest trouble; the shortest is a tenth of it.
    std::chrono::milliseconds longestTrouble{2'000};
    /// What bytes are late by under RelayTrouble::Delays.
    std::chrono::milliseconds delay{150};
    std::uint64_t seed = 1;
};

/// Passes connections on to a target. All calls come on the executor.
class Relay
{
public:
    Relay() = default;
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;
    virtual ~Relay() = default;

    /// Begins to accept connections.
    /// \param told called when a trouble begins, and with None when it ends
    /// \return where it listens
    virtual auto start(std::function<void(RelayTrouble)> told) -> Endpoint = 0;

    virtual auto begin(RelayTrouble trouble) -> void = 0;

    /// Closes all connections and accepts no more.
    virtual auto stop() -> void = 0;
};

[[nodiscard]] auto makeRelay(const boost::asio::any_io_executor &executor, RelaySettings settings) -> std::shared_ptr<Relay>;

} // namespace sapphirespool::standin
