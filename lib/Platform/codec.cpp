#include "sapphirespool/Platform/codec.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <utility>

namespace sapphirespool::platform
{

template <typename Message>
auto toJson(const Message &message) -> boost::json::object
{
    return boost::json::value_from(message).as_object();
}

template <typename Message>
auto fromJson(std::string_view text) -> std::optional<Message>
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

template auto toJson(const Announcement &message) -> boost::json::object;
template auto toJson(const ExecuteRequest &message) -> boost::json::object;
template auto toJson(const ExecuteReply &message) -> boost::json::object;
template auto toJson(const PositionReport &message) -> boost::json::object;
template auto toJson(const FenceRequest &message) -> boost::json::object;
template auto toJson(const PromoteRequest &message) -> boost::json::object;
template auto toJson(const FollowRequest &message) -> boost::json::object;

template auto fromJson(std::string_view text) -> std::optional<Announcement>;
template auto fromJson(std::string_view text) -> std::optional<ExecuteRequest>;
template auto fromJson(std::string_view text) -> std::optional<ExecuteReply>;
template auto fromJson(std::string_view text) -> std::optional<PositionReport>;
template auto fromJson(std::string_view text) -> std::optional<FenceRequest>;
template auto fromJson(std::string_view text) -> std::optional<PromoteRequest>;
template auto fromJson(std::string_view text) -> std::optional<FollowRequest>;

} // namespace sapphirespool::platform
