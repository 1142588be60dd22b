#include "load/ConnectionPool.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;

ConnectionPool::ConnectionPool(TcpEndpoint aEndpoint,
                               size_t aMaxConnections,
                               asio::io_context& aContext)
  : endpoint_(std::move(aEndpoint))
  , maxConnections_(aMaxConnections)
  , context_(aContext)
{
}

asio::awaitable<std::unique_ptr<HttpClient>> ConnectionPool::Take()
{
  while (taken_ >= maxConnections_) {
    auto turn = std::make_shared<asio::steady_timer>(context_);
    turn->expires_at(TimePoint::max());
    waiting_.push_back(turn);
    boost::system::error_code ignored;
    co_await turn->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  ++taken_;
  while (!idle_.empty()) {
    auto client = std::move(idle_.back());
    idle_.pop_back();
    // A balancer sees the close of an idle connection and does not use it.
    if (!client->IsClosedByPeer()) {
      co_return client;
    }
  }
  co_return std::make_unique<HttpClient>(context_.get_executor(), endpoint_);
}

void ConnectionPool::GiveBack(std::unique_ptr<HttpClient> aClient)
{
  --taken_;
  if (aClient->IsOpen()) {
    idle_.push_back(std::move(aClient));
  }
  if (!waiting_.empty()) {
    waiting_.front()->cancel();
    waiting_.pop_front();
  }
}

} // namespace foxtail
