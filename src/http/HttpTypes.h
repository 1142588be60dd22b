#ifndef HTTP_HTTPTYPES_H
#define HTTP_HTTPTYPES_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace foxtail {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;
using HttpStatus = boost::beast::http::status;
using TcpEndpoint = boost::asio::ip::tcp::endpoint;

/// @return a response with Content-Type application/json.
HttpResponse JsonResponse(HttpStatus aStatus, std::string aBody);

/// @return a response with the given Content-Type.
HttpResponse TextResponse(HttpStatus aStatus,
                          std::string_view aContentType,
                          std::string aBody);

/// @return the value of the header @p aName, or an empty string when the
/// message has no such header.
std::string_view HeaderOf(const HttpRequest& aRequest, std::string_view aName);
std::string_view HeaderOf(const HttpResponse& aResponse,
                          std::string_view aName);

/// @return the path of the request target, without the query string.
std::string_view PathOf(const HttpRequest& aRequest);

} // namespace foxtail

#endif // HTTP_HTTPTYPES_H
