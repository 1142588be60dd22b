#ifndef INSTANCE_ENDPOINT_H
#define INSTANCE_ENDPOINT_H

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

/// @param aText such as 127.0.0.1:7101 or [::1]:7101.
/// @return the endpoint, or nothing when @p aText is not an IP address and a
/// port above 0.
std::optional<boost::asio::ip::tcp::endpoint> ToEndpoint(
  std::string_view aText);

/// @return the endpoint as text, in the form that ToEndpoint() parses.
std::string ToText(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace foxtail

#endif // INSTANCE_ENDPOINT_H
