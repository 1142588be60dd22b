#include "load/ReadinessPoller.h"

#include "http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;

ReadinessPoller::ReadinessPoller(std::vector<TcpEndpoint> aEndpoints,
                                 Balancer& aBalancer,
                                 asio::io_context& aContext)
  : endpoints_(std::move(aEndpoints))
  , balancer_(aBalancer)
  , context_(aContext)
{
}

void ReadinessPoller::Start()
{
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    asio::co_spawn(context_, Poll(i), asio::detached);
  }
}

asio::awaitable<void> ReadinessPoller::Poll(size_t aTarget)
{
  constexpr milliseconds kInterval{ 100 };
  constexpr milliseconds kTimeout{ 300 };
  HttpClient client(context_.get_executor(), endpoints_[aTarget]);
  asio::steady_timer timer(context_);
  while (true) {
    HttpRequest request = MakeRequest(boost::beast::http::verb::get, "/readyz");
    const auto response =
      co_await client.Exchange(std::move(request), kTimeout);
    balancer_.SetReady(aTarget,
                       response.ok() && response->result() == HttpStatus::ok);
    timer.expires_after(kInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

} // namespace foxtail
