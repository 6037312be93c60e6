#include "sapphirespool/Http/message.h"

#include <boost/json/serialize.hpp>

#include <string>
#include <utility>

namespace sapphirespool::http
{

namespace
{

constexpr auto httpVersion = 11U;

auto responseWith(Status status, std::string body, std::string_view contentType) -> Response
{
    auto response = Response(status, httpVersion);
    response.set(boost::beast::http::field::content_type, contentType);
    response.body() = std::move(body);
    return response;
}

} // namespace

auto jsonResponse(Status status, const boost::json::object &body) -> Response
{
    return responseWith(status, boost::json::serialize(body), "application/json");
}

auto textResponse(Status status, std::string_view body) -> Response
{
    return responseWith(status, std::string(body), "text/plain; charset=utf-8");
}

auto jsonRequest(Verb verb, std::string_view target, const boost::json::object &body) -> Request
{
    auto request = Request(verb, target, httpVersion);
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = boost::json::serialize(body);
    return request;
}

} // namespace sapphirespool::http
