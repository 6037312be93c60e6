// peercodec.h: the messages between proxies in Cap'n Proto's form.
#pragma once

#include "peers.capnp.h"

#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Sessions/keyrecord.h"

#include <chrono>
#include <optional>

namespace sapphirespool::peers
{

auto write(schema::KeyStart::Builder builder, const sessions::KeyStart &start) -> void;
[[nodiscard]] auto read(schema::KeyStart::Reader reader) -> sessions::KeyStart;

auto write(schema::KeyReply::Builder builder, const sessions::KeyReply &reply) -> void;
[[nodiscard]] auto read(schema::KeyReply::Reader reader) -> sessions::KeyReply;

auto write(schema::TransactionRequest::Builder builder, const proxy::TransactionRequest &request) -> void;

/// \return nothing if the parameters are no JSON array
[[nodiscard]] auto read(schema::TransactionRequest::Reader reader) -> std::optional<proxy::TransactionRequest>;

/// \return \p reader as a string
[[nodiscard]] auto text(capnp::Text::Reader reader) -> std::string;

/// \return \p text for a builder
[[nodiscard]] auto view(const std::string &text) -> kj::StringPtr;

} // namespace sapphirespool::peers
