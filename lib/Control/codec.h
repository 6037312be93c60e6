// codec.h: the messages between proxies and control in Cap'n Proto.
#pragma once

#include "directorytable.h"
#include "sapphirespool/Control/controlservice.h"
#include "sapphirespool/Membership/viewdelta.h"
#include "sapphirespool/Rpc/bytes.h"

#include <control.capnp.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::control
{

using rpc::toData;

/// A view or a delta as it is sent.
using PackedView = std::vector<std::byte>;

auto write(const membership::UpstreamView &member, schema::UpstreamView::Builder out) -> void;
[[nodiscard]] auto read(schema::UpstreamView::Reader in) -> membership::UpstreamView;
auto write(const membership::TermStart &start, schema::TermStart::Builder out) -> void;
auto write(const membership::GroupView &group, schema::GroupView::Builder out) -> void;
[[nodiscard]] auto read(schema::GroupView::Reader in) -> membership::GroupView;
auto write(const membership::ServiceView &service, schema::ServiceView::Builder out) -> void;
[[nodiscard]] auto read(schema::ServiceView::Reader in) -> membership::ServiceView;
auto write(const membership::CustomerView &customer, schema::CustomerView::Builder out) -> void;
[[nodiscard]] auto read(schema::CustomerView::Reader in) -> membership::CustomerView;
auto write(const membership::ProxyView &proxy, schema::ProxyView::Builder out) -> void;
[[nodiscard]] auto read(schema::ProxyView::Reader in) -> membership::ProxyView;
auto write(const platform::Announcement &announcement, schema::Announcement::Builder out) -> void;
[[nodiscard]] auto read(schema::Announcement::Reader in) -> platform::Announcement;
auto write(const membership::Suspicion &suspicion, schema::Suspicion::Builder out) -> void;
auto write(const membership::VmStatus &status, schema::VmStatus::Builder out) -> void;

auto write(const membership::ClusterView &view, schema::ClusterView::Builder out) -> void;
[[nodiscard]] auto read(schema::ClusterView::Reader in) -> membership::ClusterView;

auto write(const membership::ViewDelta &delta, schema::ViewDelta::Builder out) -> void;
[[nodiscard]] auto read(schema::ViewDelta::Reader in) -> membership::ViewDelta;

/// \return a compressed message
[[nodiscard]] auto pack(const membership::ClusterView &view) -> PackedView;
[[nodiscard]] auto pack(const membership::ViewDelta &delta) -> PackedView;
/// \throws kj::Exception if \p packed holds no such message
[[nodiscard]] auto unpackView(capnp::Data::Reader packed) -> membership::ClusterView;
[[nodiscard]] auto unpackDelta(capnp::Data::Reader packed) -> membership::ViewDelta;

/// \return an operators' text as it is sent
[[nodiscard]] auto packText(std::string_view text) -> std::vector<std::byte>;
/// \throws kj::Exception if \p packed holds no text
[[nodiscard]] auto unpackText(capnp::Data::Reader packed) -> std::string;

auto write(const VmHeartbeat &heartbeat, schema::VmHeartbeat::Builder out) -> void;
[[nodiscard]] auto read(schema::VmHeartbeat::Reader in) -> VmHeartbeat;

auto write(const membership::ClusterStatus &status, schema::ClusterStatus::Builder out) -> void;
[[nodiscard]] auto read(schema::ClusterStatus::Reader in) -> membership::ClusterStatus;

auto write(const NotRun &refusal, schema::Refusal::Builder out) -> void;
auto write(const OutcomeUnknown &unknown, schema::Refusal::Builder out) -> void;
[[nodiscard]] auto readNotRun(schema::Refusal::Reader in) -> NotRun;
[[nodiscard]] auto readUnknown(schema::Refusal::Reader in) -> OutcomeUnknown;

auto write(const Endpoint &endpoint, schema::Endpoint::Builder out) -> void;
[[nodiscard]] auto read(schema::Endpoint::Reader in) -> Endpoint;
auto writeEndpoints(std::span<const Endpoint> endpoints, capnp::List<schema::Endpoint>::Builder out) -> void;
[[nodiscard]] auto readEndpoints(capnp::List<schema::Endpoint>::Reader in) -> std::vector<Endpoint>;

auto write(const KnownControlVm &known, schema::KnownControlVm::Builder out) -> void;
[[nodiscard]] auto read(schema::KnownControlVm::Reader in) -> KnownControlVm;
auto writeKnown(std::span<const KnownControlVm> known, capnp::List<schema::KnownControlVm>::Builder out) -> void;
[[nodiscard]] auto readKnown(capnp::List<schema::KnownControlVm>::Reader in) -> std::vector<KnownControlVm>;

} // namespace sapphirespool::control
