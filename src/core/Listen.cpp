#include "core/Listen.h"

#include "core/Error.h"

namespace foxtail {

namespace asio = boost::asio;

absl::Status Listen(asio::ip::tcp::acceptor& aAcceptor,
                    const std::string& aAddress,
                    uint16_t aPort)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aAddress, error);
  const asio::ip::tcp::endpoint endpoint(address, aPort);
  if (!error) {
    aAcceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    return absl::OkStatus();
  }
  const std::string reason = error.message();
  aAcceptor.close(error);
  return MakeError(ErrorKind::InvalidSettings,
                   "cannot listen on " + aAddress + ":" +
                     std::to_string(aPort) + " (" + reason +
                     "); give an address of this machine and a free port");
}

} // namespace foxtail
