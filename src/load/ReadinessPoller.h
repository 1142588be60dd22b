#ifndef LOAD_READINESSPOLLER_H
#define LOAD_READINESSPOLLER_H

#include "http/HttpTypes.h"
#include "load/Balancer.h"

#include <boost/asio/io_context.hpp>
#include <vector>

namespace foxtail {

/// Asks each entry instance's /readyz again and again and tells the balancer.
/// Lives as long as its context.
class ReadinessPoller
{
public:
  ReadinessPoller(std::vector<TcpEndpoint> aEndpoints,
                  Balancer& aBalancer,
                  boost::asio::io_context& aContext);

  void Start();

private:
  boost::asio::awaitable<void> Poll(size_t aTarget);

  std::vector<TcpEndpoint> endpoints_;
  Balancer& balancer_;
  boost::asio::io_context& context_;
};

} // namespace foxtail

#endif // LOAD_READINESSPOLLER_H
