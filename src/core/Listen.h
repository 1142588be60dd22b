#ifndef CORE_LISTEN_H
#define CORE_LISTEN_H

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace foxtail {

/// Opens and binds @p aAcceptor and starts listening.
///
/// @param aAddress numeric IP address.
/// @param aPort 0 selects a free port.
/// @return InvalidSettings when the address cannot be bound; the acceptor is
/// then closed.
absl::Status Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
                    const std::string& aAddress,
                    uint16_t aPort);

} // namespace foxtail

#endif // CORE_LISTEN_H
