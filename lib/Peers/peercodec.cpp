#include "peercodec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace sapphirespool::peers
{

// The enumerations of the schema have the same values as those of the code. A peer of another build may send other values, which read() replaces by
// the state Full or refuses.
static_assert(static_cast<int>(schema::KeyState::REUSED) == static_cast<int>(sessions::KeyState::Reused));
static_assert(static_cast<int>(schema::KeyState::FULL) == static_cast<int>(sessions::KeyState::Full));
static_assert(static_cast<int>(schema::Step::ROLLBACK) == static_cast<int>(proxy::TransactionStep::Rollback));

auto write(schema::KeyStart::Builder builder, const sessions::KeyStart &start) -> void
{
    builder.setKey(view(start.key.value()));
    builder.setFingerprint(start.fingerprint.value());
    builder.setAttempt(view(start.attempt.value()));
    builder.setAllowedMs(static_cast<std::uint64_t>(std::max<std::int64_t>(0, start.allowed.count())));
}

auto read(schema::KeyStart::Reader reader) -> sessions::KeyStart
{
    auto start = sessions::KeyStart();
    start.key = sessions::KeyName(text(reader.getKey()));
    start.fingerprint = sessions::Fingerprint(reader.getFingerprint());
    start.attempt = sessions::AttemptId(text(reader.getAttempt()));
    start.allowed = std::chrono::milliseconds(reader.getAllowedMs());
    return start;
}

auto write(schema::KeyReply::Builder builder, const sessions::KeyReply &reply) -> void
{
    builder.setState(static_cast<schema::KeyState>(reply.state));
    builder.setOutcome(view(reply.outcome));
    builder.setProxiesSeen(reply.proxiesSeen);
}

auto read(schema::KeyReply::Reader reader) -> sessions::KeyReply
{
    const auto isKnown = reader.getState() <= schema::KeyState::REUSED;
    auto reply = sessions::KeyReply();
    reply.state = isKnown ? static_cast<sessions::KeyState>(reader.getState()) : sessions::KeyState::Full;
    reply.outcome = text(reader.getOutcome());
    reply.proxiesSeen = reader.getProxiesSeen();
    return reply;
}

auto write(schema::TransactionRequest::Builder builder, const proxy::TransactionRequest &request) -> void
{
    builder.setService(view(request.service.value()));
    builder.setId(view(request.id.value()));
    builder.setStep(static_cast<schema::Step>(request.step));
    builder.setSql(view(request.statement.sql));
    const auto params = boost::json::serialize(request.statement.params);
    builder.setParams(view(params));
    builder.setWrite(request.statement.access == Access::Write);
    builder.setSession(view(request.sessionToken));
    builder.setTimeoutMs(request.timeout ? static_cast<std::uint64_t>(request.timeout->count()) : 0);
}

auto read(schema::TransactionRequest::Reader reader) -> std::optional<proxy::TransactionRequest>
{
    auto error = boost::json::error_code();
    auto params = boost::json::parse(text(reader.getParams()), error);
    if (error || !params.is_array() || reader.getStep() > schema::Step::ROLLBACK) {
        return std::nullopt;
    }
    auto request = proxy::TransactionRequest();
    request.service = ServiceId(text(reader.getService()));
    request.id = TransactionId(text(reader.getId()));
    request.step = static_cast<proxy::TransactionStep>(reader.getStep());
    request.statement.sql = text(reader.getSql());
    request.statement.params = std::move(params.as_array());
    request.statement.access = reader.getWrite() ? Access::Write : Access::Read;
    request.sessionToken = text(reader.getSession());
    if (reader.getTimeoutMs() > 0) {
        request.timeout = std::chrono::milliseconds(reader.getTimeoutMs());
    }
    return request;
}

auto text(capnp::Text::Reader reader) -> std::string
{
    return {reader.begin(), reader.size()};
}

auto view(const std::string &text) -> kj::StringPtr
{
    return {text.c_str(), text.size()};
}

} // namespace sapphirespool::peers
