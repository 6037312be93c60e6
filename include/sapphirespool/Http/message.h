// message.h: the HTTP messages that servers and clients exchange.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string_view>

namespace sapphirespool::http
{

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Status = boost::beast::http::status;
using Verb = boost::beast::http::verb;

/// \return a response with \p body as `application/json`
[[nodiscard]] auto jsonResponse(Status status, const boost::json::object &body) -> Response;

/// \return a response with \p body as plain text
[[nodiscard]] auto textResponse(Status status, std::string_view body) -> Response;

/// \return a request with \p body as `application/json`
[[nodiscard]] auto jsonRequest(Verb verb, std::string_view target, const boost::json::object &body) -> Request;

} // namespace sapphirespool::http
