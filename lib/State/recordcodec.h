// recordcodec.h: Cap'n Proto encoding of the records that commands and snapshots share.
#pragma once

#include "sapphirespool/Configuration/configuration.h"
#include "sapphirespool/Consensus/statemachine.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Rpc/bytes.h"
#include "sapphirespool/State/commands.h"

#include <capnp/message.h>
#include <state.capnp.h>

#include <span>
#include <string>
#include <vector>

namespace sapphirespool::state
{

auto write(schema::Endpoint::Builder to, const Endpoint &from) -> void;
auto write(schema::Service::Builder to, const membership::ServiceView &from) -> void;
auto write(schema::Customer::Builder to, const membership::CustomerView &from) -> void;
auto write(schema::Upstream::Builder to, const membership::UpstreamView &from) -> void;
auto write(schema::Vm::Builder to, const membership::ProxyView &from) -> void;
auto write(schema::Result::Builder to, const Result &from) -> void;

[[nodiscard]] auto read(schema::Endpoint::Reader from) -> Endpoint;
[[nodiscard]] auto read(schema::Service::Reader from) -> membership::ServiceView;
[[nodiscard]] auto read(schema::Customer::Reader from) -> membership::CustomerView;
[[nodiscard]] auto read(schema::Upstream::Reader from) -> membership::UpstreamView;
[[nodiscard]] auto read(schema::Vm::Reader from) -> membership::ProxyView;
[[nodiscard]] auto read(schema::Result::Reader from) -> Result;

[[nodiscard]] inline auto read(capnp::Text::Reader from) -> std::string
{
    return {from.begin(), from.size()};
}

/// Writes the elements of \p from to the list \p to, which has the same length.
template <typename Builders, typename Elements>
auto writeAll(Builders to, const Elements &from) -> void
{
    auto index = 0U;
    for (const auto &element : from) {
        write(to[index], element);
        ++index;
    }
}

/// \return the decoded elements of the list \p from
template <typename Element, typename Readers>
auto readAll(const Readers &from) -> std::vector<Element>
{
    auto elements = std::vector<Element>();
    elements.reserve(from.size());
    for (const auto element : from) {
        elements.push_back(read(element));
    }
    return elements;
}

/// \return the message, framed and copied into one contiguous buffer
[[nodiscard]] auto flatten(capnp::MessageBuilder &message) -> consensus::Bytes;

using rpc::align;

} // namespace sapphirespool::state
