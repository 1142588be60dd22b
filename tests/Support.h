#ifndef TESTS_SUPPORT_H
#define TESTS_SUPPORT_H

#include "core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <thread>

namespace foxtail {

/// @return a port of 127.0.0.1 that nobody listens on at this time.
inline uint16_t FreePort()
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return acceptor.local_endpoint().port();
}

/// Asks again and again, for long enough on a busy machine.
///
/// @return whether the condition came true.
template<typename Condition>
bool WaitUntil(Condition aCondition)
{
  const TimePoint deadline = Now() + seconds(8);
  while (!aCondition() && Now() < deadline) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return aCondition();
}

} // namespace foxtail

#endif // TESTS_SUPPORT_H
