// types.h: the identities and counters that the libraries exchange.
#pragma once

#include "sapphirespool/Support/strongtype.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace sapphirespool
{

/// Reign of one primary of a database group; rises with each promotion.
using Term = support::StrongType<struct TermTag, std::uint64_t>;
/// Number of the last log entry of a database group that a member holds.
using LogPosition = support::StrongType<struct LogPositionTag, std::uint64_t>;
/// Version of the control state; rises with each accepted change and never falls.
using Revision = support::StrongType<struct RevisionTag, std::uint64_t>;
/// Number that an operator gave to a text of the configuration; the highest one wins.
using ConfigurationVersion = support::StrongType<struct ConfigurationVersionTag, std::uint64_t>;
/// Number drawn anew at each start of a process; tells a restarted process from the one before it at the same address.
using Incarnation = support::StrongType<struct IncarnationTag, std::uint64_t>;
/// Number of a request on one connection, from 1.
using RequestId = support::StrongType<struct RequestIdTag, std::uint64_t>;

/// Name of a database group: a primary and its replicas.
using GroupId = support::StrongType<struct GroupIdTag, std::string>;
/// Name of one member of a database group, unique in the system.
using UpstreamId = support::StrongType<struct UpstreamIdTag, std::string>;
/// Name of a service of the operators' text.
using ServiceId = support::StrongType<struct ServiceIdTag, std::string>;
/// Name of a customer, on whose behalf callers run statements.
using CustomerId = support::StrongType<struct CustomerIdTag, std::string>;
/// Name of a caller's session; the caller keeps it, sapphirespool issues it.
using SessionId = support::StrongType<struct SessionIdTag, std::string>;
/// Name of a VM of the system.
using VmId = support::StrongType<struct VmIdTag, std::string>;
/// Name of an availability zone.
using ZoneId = support::StrongType<struct ZoneIdTag, std::string>;
/// Name of an open transaction; it begins with the VM that holds the upstream connection.
using TransactionId = support::StrongType<struct TransactionIdTag, std::string>;
/// A caller's `Idempotency-Key`.
using IdempotencyKey = support::StrongType<struct IdempotencyKeyTag, std::string>;
/// Name of one change of the configuration, chosen by the operator; a resend repeats it.
using ChangeId = support::StrongType<struct ChangeIdTag, std::string>;

/// Source of time of the decisions; passed in, never read by them.
using TimePoint = std::chrono::steady_clock::time_point;
/// Length of time of the decisions.
using Duration = std::chrono::steady_clock::duration;

/// What a statement does to the data.
enum class Access {
    Read,
    Write,
};

/// An IP address and port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace sapphirespool
