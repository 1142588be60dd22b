#include "core/WorkerPool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <future>

using namespace foxtail;
namespace asio = boost::asio;

namespace {

// Stays suspended on its own executor while it owns a socket of another
// context.
asio::awaitable<void> WaitWithAcceptor(
  std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor,
  std::promise<void>& aStarted)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::hours(1));
  aStarted.set_value();
  co_await timer.async_wait(asio::use_awaitable);
  aAcceptor->close();
}

} // namespace

// Guards against a use after free when the pool destroys its contexts one after
// another: the coroutine's socket would outlive its context. Only the address
// sanitizer build detects the fault.
TEST_CASE("a suspended coroutine that owns another context's socket is "
          "destroyed safely")
{
  WorkerPool pool(2);
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(
    pool.Context(0),
    asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  std::promise<void> started;
  asio::co_spawn(pool.Context(1),
                 WaitWithAcceptor(std::move(acceptor), started),
                 asio::detached);
  pool.Start();
  started.get_future().wait();
  pool.Stop();
}
