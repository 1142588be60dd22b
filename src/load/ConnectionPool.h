#ifndef LOAD_CONNECTIONPOOL_H
#define LOAD_CONNECTIONPOOL_H

#include "http/HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace foxtail {

/// One worker's keep-alive connections to one entry instance. Called from that
/// worker.
class ConnectionPool
{
public:
  ConnectionPool(TcpEndpoint aEndpoint,
                 size_t aMaxConnections,
                 boost::asio::io_context& aContext);

  /// Takes an idle connection, or a new one, or waits for one.
  boost::asio::awaitable<std::unique_ptr<HttpClient>> Take();
  void GiveBack(std::unique_ptr<HttpClient> aClient);

private:
  TcpEndpoint endpoint_;
  size_t maxConnections_;
  boost::asio::io_context& context_;
  size_t taken_ = 0;
  std::vector<std::unique_ptr<HttpClient>> idle_;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

} // namespace foxtail

#endif // LOAD_CONNECTIONPOOL_H
