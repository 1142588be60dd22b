#include "core/WorkerPool.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;
namespace asio = boost::asio;

namespace {

asio::awaitable<HttpResponse> Echo(HttpRequest aRequest)
{
  if (PathOf(aRequest) == "/slow") {
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             milliseconds(300));
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (PathOf(aRequest) == "/throw") {
    throw std::runtime_error("planted");
  }
  co_return JsonResponse(HttpStatus::ok, aRequest.body());
}

struct Fixture
{
  explicit Fixture(HttpServerSettings aSettings = {})
    : workers_(2)
    , server_(aSettings, workers_)
  {
    REQUIRE(server_.Start(Echo).ok());
    workers_.Start();
  }

  TcpEndpoint Endpoint() const
  {
    return { asio::ip::make_address("127.0.0.1"), server_.Port() };
  }

  absl::StatusOr<HttpResponse> Post(std::string_view aTarget, std::string aBody)
  {
    return BlockingExchange(
      Endpoint(),
      MakeRequest(boost::beast::http::verb::post, aTarget, std::move(aBody)),
      milliseconds(3000));
  }

  // Sends raw bytes and returns all bytes received until the connection closes.
  std::string ExchangeRawBytes(std::string_view aBytes)
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(Endpoint());
    boost::system::error_code error;
    // The write may fail, as the server may reply and close the connection
    // before it has read all bytes.
    asio::write(socket, asio::buffer(aBytes.data(), aBytes.size()), error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::string reply;
    asio::read(socket, asio::dynamic_buffer(reply), error);
    return reply;
  }

  WorkerPool workers_;
  HttpServer server_;
};

} // namespace

TEST_CASE("the response to a request has the whole body")
{
  Fixture fixture;
  const auto response = fixture.Post("/echo", "body");
  REQUIRE(response.ok());
  CHECK(response->body() == "body");
}

TEST_CASE("malformed, oversized or truncated requests get an error or a closed "
          "connection, and the server continues to serve")
{
  HttpServerSettings settings;
  settings.maxBodyBytes_ = 1000;
  settings.transferTimeout_ = milliseconds(200);
  Fixture fixture(settings);
  struct Row
  {
    const char* name_;
    std::string bytes_;
    const char* reply_;
  };
  const Row rows[] = {
    { "garbage", "\x01\xff garbage\r\n\r\n", "400" },
    { "nothing", "", "" },
    { "truncated header", "POST /echo HTT", "" },
    { "truncated body",
      "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
      "" },
    { "large body",
      "POST /echo HTTP/1.1\r\nContent-Length: 100000\r\n\r\n",
      "413" },
    { "large header",
      "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n",
      "431" },
    { "two lengths",
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
      "400" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const std::string reply = fixture.ExchangeRawBytes(row.bytes_);
    CHECK(reply.substr(0, 13).find(row.reply_) != std::string::npos);
    CHECK(fixture.Post("/echo", "still up").ok());
  }
}

TEST_CASE("a handler that throws yields a response with outcome unknown")
{
  Fixture fixture;
  const auto response = fixture.Post("/throw", "x");
  REQUIRE(response.ok());
  CHECK(HeaderOf(*response, "Foxtail-Outcome") == "unknown");
}

TEST_CASE("a graceful stop completes the request in flight")
{
  Fixture fixture;
  absl::StatusOr<HttpResponse> response;
  std::thread caller([&] { response = fixture.Post("/slow", "kept"); });
  while (fixture.server_.RequestsInFlight() == 0) {
    std::this_thread::yield();
  }
  fixture.server_.BeginDrain();
  fixture.server_.StopAccepting();
  CHECK(fixture.server_.WaitUntilIdle(milliseconds(5000)));
  caller.join();
  REQUIRE(response.ok());
  CHECK(response->body() == "kept");
  CHECK_FALSE(response->keep_alive());
}

TEST_CASE("ParseEndpoint accepts only a numeric IP address with a port")
{
  CHECK(ParseEndpoint("127.0.0.1:80").ok());
  CHECK(ParseEndpoint("[::1]:80").ok());
  for (const char* text : { "",
                            "127.0.0.1",
                            "localhost:80",
                            "127.0.0.1:0",
                            "127.0.0.1:99999",
                            "127.0.0.1:8x" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseEndpoint(text).ok());
  }
}

TEST_CASE("an idle connection stays open until the client closes it")
{
  Fixture fixture;
  asio::io_context context;
  auto client =
    std::make_unique<HttpClient>(context.get_executor(), fixture.Endpoint());
  const auto exchange = [&] {
    absl::StatusOr<HttpResponse> result = absl::UnknownError("no end");
    asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        result = co_await client->Exchange(
          MakeRequest(boost::beast::http::verb::post, "/echo", "x"),
          milliseconds(3000));
      },
      asio::detached);
    context.restart();
    context.run();
    return result.ok();
  };
  REQUIRE(exchange());
  std::this_thread::sleep_for(milliseconds(600));
  CHECK(exchange());
  client.reset();
  for (int i = 0; i < 200 && fixture.server_.OpenConnections() > 0; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(fixture.server_.OpenConnections() == 0);
}

TEST_CASE("stopping the server closes idle connections at once")
{
  Fixture fixture;
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(fixture.Endpoint());
  while (fixture.server_.OpenConnections() == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  fixture.server_.StopAccepting();
  CHECK(fixture.server_.WaitUntilIdle(milliseconds(3000)));
  CHECK(fixture.server_.OpenConnections() == 0);
}

// A peer in trouble sent bytes without end, and the program that called it kept
// them until the exchange timed out.
TEST_CASE("a response without end is a failed exchange")
{
  const std::string filler(4096, 'a');
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct Row
  {
    const char* name_;
    std::string begin_;
    std::string endless_;
  };
  const Row rows[] = {
    { "bytes of no protocol", "", filler },
    { "one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", filler },
    { "header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n" },
    { "a body that ends with the connection",
      "HTTP/1.1 200 OK\r\n\r\n",
      filler },
    { "a body of a stated length",
      "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
      filler },
    { "a chunked body", chunked, "1000\r\n" + filler + "\r\n" },
    { "a chunk header", chunked + "4;extension=", filler },
    { "a trailer", chunked + "0\r\nX-Filler: ", filler },
    { "informational replies", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
  };
  // Buffers of the sockets on both sides, beside the limit on a response.
  constexpr size_t kMaxBytes = 16 * 1024 * 1024;
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(
      context, { asio::ip::make_address("127.0.0.1"), 0 });
    size_t sent = 0;
    std::thread server([&] {
      asio::ip::tcp::socket socket(context);
      acceptor.accept(socket);
      boost::system::error_code error;
      std::string request;
      asio::read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
      asio::write(socket, asio::buffer(row.begin_), error);
      while (!error) {
        sent += asio::write(socket, asio::buffer(row.endless_), error);
      }
    });
    const TimePoint start = Now();
    const auto response =
      BlockingExchange(acceptor.local_endpoint(),
                       MakeRequest(boost::beast::http::verb::get, "/"),
                       seconds(2));
    CHECK_FALSE(response.ok());
    CHECK(Now() - start < seconds(1));
    server.join();
    CHECK(sent < kMaxBytes);
  }
}

// Calls between own processes took any three digits for a status, and an
// informational reply for the final one.
TEST_CASE("a response that HTTP does not define is a failed exchange")
{
  struct Row
  {
    const char* statusLine_;
    bool isUsed_;
  };
  const Row rows[] = {
    { "HTTP/1.1 200 OK", true },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", true },
    { "HTTP/1.1 000 ", false },
    { "HTTP/1.1 099 Odd", false },
    { "HTTP/1.1 600 Odd", false },
    { "HTTP/1.1 999 Odd", false },
    { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Odd", false },
    { "HTTP/2.0 200 OK", false },
    { "ICY 200 OK", false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.statusLine_);
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(
      context, { asio::ip::make_address("127.0.0.1"), 0 });
    std::thread server([&] {
      asio::ip::tcp::socket socket(context);
      acceptor.accept(socket);
      boost::system::error_code error;
      std::string request;
      asio::read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
      asio::write(socket,
                  asio::buffer(std::string(row.statusLine_) +
                               "\r\nContent-Length: 2\r\n\r\nok"),
                  error);
    });
    const auto response =
      BlockingExchange(acceptor.local_endpoint(),
                       MakeRequest(boost::beast::http::verb::get, "/"),
                       seconds(3));
    server.join();
    CHECK(response.ok() == row.isUsed_);
    if (response.ok()) {
      CHECK(response->result_int() == 200);
      CHECK(response->body() == "ok");
    }
  }
}
