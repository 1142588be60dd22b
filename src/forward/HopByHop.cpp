#include "forward/HopByHop.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace foxtail {

namespace http = boost::beast::http;

namespace {

bool IsHopByHop(http::field aName)
{
  switch (aName) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length:
      return true;
    default:
      return false;
  }
}

} // namespace

void AppendEndToEndHeaders(std::string& aOut,
                           const http::fields& aHeaders,
                           std::span<const std::string> aExcept)
{
  const auto connection = aHeaders[http::field::connection];
  http::token_list named(connection);
  for (const auto& header : aHeaders) {
    const bool isExcepted =
      IsHopByHop(header.name()) ||
      (!connection.empty() && named.exists(header.name_string())) ||
      std::any_of(
        aExcept.begin(), aExcept.end(), [&](const std::string& aName) {
          return boost::beast::iequals(aName, header.name_string());
        });
    if (!isExcepted) {
      aOut.append(header.name_string().data(), header.name_string().size());
      aOut += ": ";
      aOut.append(header.value().data(), header.value().size());
      aOut += "\r\n";
    }
  }
}

std::string WithoutHeaders(std::string_view aHeaders,
                           std::span<const std::string_view> aExcept)
{
  std::string kept;
  kept.reserve(aHeaders.size());
  while (!aHeaders.empty()) {
    const size_t end = aHeaders.find("\r\n");
    const size_t length =
      end == std::string_view::npos ? aHeaders.size() : end + 2;
    const std::string_view line = aHeaders.substr(0, length);
    const std::string_view name = line.substr(0, line.find(':'));
    if (std::none_of(
          aExcept.begin(), aExcept.end(), [&](std::string_view aName) {
            return boost::beast::iequals(aName, name);
          })) {
      kept += line;
    }
    aHeaders.remove_prefix(length);
  }
  return kept;
}

} // namespace foxtail
