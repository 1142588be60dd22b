#include "instance/Endpoint.h"

#include <charconv>

namespace foxtail {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> ToEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t number = 0;
  const auto parsed =
    std::from_chars(port.data(), port.data() + port.size(), number);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(std::string(host), error);
  if (error || parsed.ec != std::errc() ||
      parsed.ptr != port.data() + port.size() || number == 0) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, number);
}

std::string ToText(const asio::ip::tcp::endpoint& aEndpoint)
{
  const std::string host = aEndpoint.address().to_string();
  const std::string port = std::to_string(aEndpoint.port());
  return aEndpoint.address().is_v6() ? "[" + host + "]:" + port
                                     : host + ":" + port;
}

} // namespace foxtail
