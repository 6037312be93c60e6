// peercodec.h: conversion between messages of proxies and their Cap'n Proto encoding.
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

/// \return nothing if the parameters are not a JSON array or the step is unknown
[[nodiscard]] auto read(schema::TransactionRequest::Reader reader) -> std::optional<proxy::TransactionRequest>;

/// \return a copy of the text of \p reader
[[nodiscard]] auto text(capnp::Text::Reader reader) -> std::string;

/// \return a view of \p text as builders take it
[[nodiscard]] auto view(const std::string &text) -> kj::StringPtr;

} // namespace sapphirespool::peers
