#include "sapphirespool/Standin/replicationlog.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <utility>

namespace sapphirespool::standin
{

namespace
{

template <typename Message>
auto parseMessage(std::string_view text) -> std::optional<Message>
{
    auto error = boost::json::error_code();
    const auto value = boost::json::parse(text, error);
    if (error) {
        return std::nullopt;
    }
    auto message = boost::json::try_value_to<Message>(value);
    if (!message) {
        return std::nullopt;
    }
    return std::move(*message);
}

} // namespace

auto toText(const LogEntry &entry) -> std::string
{
    return boost::json::serialize(boost::json::value_from(entry));
}

auto toText(const LogReply &reply) -> std::string
{
    return boost::json::serialize(boost::json::value_from(reply));
}

auto parseLogEntry(std::string_view text) -> std::optional<LogEntry>
{
    return parseMessage<LogEntry>(text);
}

auto parseLogReply(std::string_view text) -> std::optional<LogReply>
{
    return parseMessage<LogReply>(text);
}

} // namespace sapphirespool::standin
