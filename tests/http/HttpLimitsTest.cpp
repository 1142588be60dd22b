#include "core/WorkerPool.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

asio::awaitable<HttpResponse> SizeOfBody(HttpRequest aRequest)
{
  co_return TextResponse(
    HttpStatus::ok, "text/plain", std::to_string(aRequest.body().size()));
}

struct Fixture
{
  explicit Fixture(HttpServerSettings aSettings)
    : workers_(2)
    , server_(std::move(aSettings), workers_)
  {
    REQUIRE(server_.Start(SizeOfBody).ok());
    workers_.Start();
  }

  tcp::socket Connect()
  {
    tcp::socket socket(context_);
    socket.connect({ asio::ip::make_address("127.0.0.1"), server_.Port() });
    return socket;
  }

  /// @return connections that send @p aBytes and stay open.
  std::vector<tcp::socket> Crowd(size_t aCount, const std::string& aBytes)
  {
    std::vector<tcp::socket> crowd;
    for (size_t i = 0; i < aCount; ++i) {
      crowd.push_back(Connect());
      boost::system::error_code ignored;
      asio::write(crowd.back(), asio::buffer(aBytes), ignored);
    }
    return crowd;
  }

  /// Sends a request again until it is answered.
  bool IsServed()
  {
    for (int i = 0; i < 100; ++i) {
      const auto response = BlockingExchange(
        { asio::ip::make_address("127.0.0.1"), server_.Port() },
        MakeRequest(boost::beast::http::verb::post, "/", "1234"),
        seconds(2));
      if (response.ok() && response->result_int() == 200) {
        return response->body() == "4";
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  asio::io_context context_;
  WorkerPool workers_;
  HttpServer server_;
};

std::string Stalling(size_t aBody)
{
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(aBody) + "\r\n\r\n" + std::string(aBody - 1, 'x');
}

} // namespace

TEST_CASE("a crowd of stalled bodies holds no more than the budget, and others "
          "are served while it stays")
{
  HttpServerSettings settings;
  const auto budget = std::make_shared<ByteBudget>(size_t{ 1024 } * 1024);
  settings.peerBytes_ = budget;
  Fixture fixture(settings);
  {
    const auto crowd = fixture.Crowd(30, Stalling(200000));
    CHECK(budget->InUse() <= budget->Limit());
    CHECK(fixture.IsServed());
    CHECK(fixture.server_.Evictions() + fixture.server_.BudgetRefusals() > 0);
  }
  for (int i = 0; i < 200 && budget->InUse() > 0; ++i) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(budget->InUse() == 0);
}

TEST_CASE("connections that wait for their peers make room for new ones")
{
  HttpServerSettings settings;
  settings.maxConnections_ = 20;
  Fixture fixture(settings);
  const auto crowd = fixture.Crowd(40, "POST / HT");
  CHECK(fixture.server_.OpenConnections() <= 22);
  CHECK(fixture.IsServed());
}

TEST_CASE("a body without a use is discarded, and one beyond its limit refused")
{
  HttpServerSettings settings;
  settings.bodyLimit_ = [](const HttpRequest& aHeader) {
    return aHeader.target() == "/used" ? uint64_t{ 10 } : uint64_t{ 0 };
  };
  Fixture fixture(settings);
  const auto post = [&](std::string_view aTarget, std::string aBody) {
    return *BlockingExchange(
      { asio::ip::make_address("127.0.0.1"), fixture.server_.Port() },
      MakeRequest(boost::beast::http::verb::post, aTarget, std::move(aBody)),
      seconds(2));
  };
  CHECK(post("/used", "0123456789").body() == "10");
  CHECK(post("/used", "0123456789a").result_int() == 413);
  CHECK(post("/other", std::string(500000, 'x')).body() == "0");
}
