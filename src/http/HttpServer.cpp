#include "http/HttpServer.h"

#include "core/Listen.h"
#include "core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <map>
#include <mutex>
#include <thread>

namespace foxtail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

// State shared by the server and its connections, which may outlive the server.
struct HttpServer::SharedState
{
  SharedState(HttpServerSettings aSettings, WorkerPool& aWorkers)
    : settings_(std::move(aSettings))
    , workers_(aWorkers)
    , acceptor_(aWorkers.Context(0))
  {
  }

  HttpServerSettings settings_;
  WorkerPool& workers_;
  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  uint16_t port_ = 0;
  std::atomic<bool> isDraining_{ false };
  std::atomic<bool> isStopped_{ false };
  std::atomic<size_t> requests_{ 0 };
  std::atomic<size_t> connections_{ 0 };

  // Functions that StopAccepting() calls, one for each open connection. The key
  // is the address of the connection.
  std::mutex mutex_;
  std::map<const void*, std::function<void()>> closeIfIdle_;
};

namespace {

HttpResponse ErrorResponse(HttpStatus aStatus, std::string_view aMessage)
{
  std::string body = R"({"outcome":"not_run","error":)";
  AppendJsonString(body, aMessage);
  body += "}\n";
  HttpResponse response = JsonResponse(aStatus, std::move(body));
  response.set("Foxtail-Outcome", "not_run");
  response.keep_alive(false);
  return response;
}

// Returns the response to a request that could not be read, or std::nullopt
// when the peer has disconnected or sent no complete request.
std::optional<HttpResponse> ResponseToReadError(const error_code& aError)
{
  namespace http = beast::http;
  if (aError == http::error::body_limit) {
    return ErrorResponse(HttpStatus::payload_too_large,
                         "the body is too large; send a smaller one");
  }
  if (aError == http::error::header_limit) {
    return ErrorResponse(HttpStatus::request_header_fields_too_large,
                         "the header is too large; send a smaller one");
  }
  if (aError == http::error::end_of_stream ||
      aError == http::error::partial_message ||
      aError.category() !=
        http::make_error_code(http::error::bad_method).category()) {
    return std::nullopt;
  }
  return ErrorResponse(HttpStatus::bad_request,
                       "the request is malformed; send HTTP/1.1");
}

class CountGuard
{
public:
  explicit CountGuard(std::atomic<size_t>& aCount)
    : count_(aCount)
  {
    ++count_;
  }
  ~CountGuard() { --count_; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;

private:
  std::atomic<size_t>& count_;
};

asio::awaitable<HttpResponse> InvokeHandler(const HttpServer::Handler& aHandler,
                                            HttpRequest aRequest)
{
  try {
    co_return co_await aHandler(std::move(aRequest));
  } catch (const std::exception& exception) {
    LogLine(LogLevel::Error, "http_handler_failed")
      .Add("error", exception.what());
  }
  HttpResponse response = JsonResponse(
    HttpStatus::internal_server_error,
    R"({"outcome":"unknown","error":"internal error; see the log"})");
  response.set("Foxtail-Outcome", "unknown");
  co_return response;
}

// One connection: reads requests and answers them one after another.
template<typename SharedState>
class Connection : public std::enable_shared_from_this<Connection<SharedState>>
{
public:
  Connection(std::shared_ptr<SharedState> aShared,
             asio::ip::tcp::socket aSocket)
    : shared_(std::move(aShared))
    , stream_(std::move(aSocket))
  {
  }

  asio::awaitable<void> Run()
  {
    const CountGuard open(shared_->connections_);
    Register();
    // Two statements, because g++ 12 evaluates a co_await in the second operand
    // of && even when the first operand is false.
    for (bool isOpen = true; isOpen;) {
      isOpen = co_await WaitForRequest();
      if (isOpen) {
        isOpen = co_await ServeRequest();
      }
    }
    Unregister();
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

private:
  void Register()
  {
    const std::lock_guard lock(shared_->mutex_);
    shared_->closeIfIdle_[this] = [weak = this->weak_from_this(),
                                   executor = stream_.get_executor()] {
      asio::post(executor, [weak] {
        if (const auto self = weak.lock()) {
          self->CloseIfIdle();
        }
      });
    };
  }

  void Unregister()
  {
    const std::lock_guard lock(shared_->mutex_);
    shared_->closeIfIdle_.erase(this);
  }

  // Closes the connection when the server stops, unless the socket holds a
  // request that is not read yet.
  void CloseIfIdle()
  {
    error_code error;
    if (isIdle_ && stream_.socket().available(error) == 0) {
      stream_.close();
    }
  }

  asio::awaitable<bool> WaitForRequest()
  {
    if (buffer_.size() > 0) {
      co_return true;
    }
    if (shared_->isStopped_) {
      co_return false;
    }
    error_code error;
    stream_.expires_after(shared_->settings_.idleTimeout_);
    isIdle_ = true;
    const size_t count = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
    isIdle_ = false;
    buffer_.commit(count);
    co_return !error;
  }

  asio::awaitable<bool> ServeRequest()
  {
    const CountGuard inFlight(shared_->requests_);
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(shared_->settings_.maxHeaderBytes_);
    parser.body_limit(shared_->settings_.maxBodyBytes_);
    error_code error;
    stream_.expires_after(shared_->settings_.transferTimeout_);
    co_await beast::http::async_read(
      stream_,
      buffer_,
      parser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      if (auto response = ResponseToReadError(error)) {
        co_await Write(std::move(*response), false);
      }
      co_return false;
    }
    stream_.expires_never();
    HttpRequest request = parser.release();
    const bool wantsKeepAlive = request.keep_alive();
    HttpResponse response =
      co_await InvokeHandler(shared_->handler_, std::move(request));
    co_return co_await Write(std::move(response), wantsKeepAlive);
  }

  asio::awaitable<bool> Write(HttpResponse aResponse, bool aWantsKeepAlive)
  {
    const bool isKeepAlive = aWantsKeepAlive && !shared_->isDraining_;
    aResponse.keep_alive(isKeepAlive);
    aResponse.prepare_payload();
    error_code error;
    stream_.expires_after(shared_->settings_.transferTimeout_);
    co_await beast::http::async_write(
      stream_, aResponse, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && isKeepAlive;
  }

  static constexpr size_t kReadBytes = 4096;

  std::shared_ptr<SharedState> shared_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool isIdle_ = false;
};

template<typename SharedState>
asio::awaitable<void> RunConnection(std::shared_ptr<SharedState> aShared,
                                    asio::ip::tcp::socket aSocket)
{
  const auto connection = std::make_shared<Connection<SharedState>>(
    std::move(aShared), std::move(aSocket));
  co_await connection->Run();
}

template<typename SharedState>
asio::awaitable<void> RunAcceptor(std::shared_ptr<SharedState> aShared)
{
  constexpr milliseconds kAcceptRetryDelay{ 50 };
  size_t nextWorker = 0;
  while (!aShared->isStopped_) {
    asio::io_context& context = aShared->workers_.Context(nextWorker++);
    asio::ip::tcp::socket socket(context);
    error_code error;
    co_await aShared->acceptor_.async_accept(
      socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // The usual cause is a lack of file descriptors, so accepting continues
      // after a pause.
      LogLine(LogLevel::Warning, "accept_failed").Add("error", error.message());
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               kAcceptRetryDelay);
      co_await timer.async_wait(asio::use_awaitable);
      continue;
    }
    if (aShared->connections_ >= aShared->settings_.maxConnections_) {
      LogLine(LogLevel::Warning, "connection_refused")
        .Add("reason", "max_connections");
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    asio::co_spawn(
      context, RunConnection(aShared, std::move(socket)), asio::detached);
  }
}

} // namespace

HttpServerSettings HttpServerSettings::Read(JsonReader& aReader,
                                            uint16_t aDefaultPort)
{
  constexpr int64_t kMaxPort = 65535;
  constexpr int64_t kMaxBytes = 64 * 1024 * 1024;
  constexpr int64_t kMaxConnectionsLimit = 100000;
  constexpr milliseconds kMinTimeout{ 100 };
  constexpr milliseconds kMaxTimeout{ 600000 };
  HttpServerSettings settings;
  settings.address_ = aReader.String("address", settings.address_);
  error_code error;
  asio::ip::make_address(settings.address_, error);
  if (error) {
    aReader.Fault("address",
                  "is not a numeric IP address; give one such as 127.0.0.1");
  }
  settings.port_ =
    static_cast<uint16_t>(aReader.Integer("port", aDefaultPort, 0, kMaxPort));
  settings.maxHeaderBytes_ = static_cast<uint32_t>(aReader.Integer(
    "max_header_bytes", settings.maxHeaderBytes_, 1024, kMaxBytes));
  settings.maxBodyBytes_ = static_cast<uint64_t>(
    aReader.Integer("max_body_bytes",
                    static_cast<int64_t>(settings.maxBodyBytes_),
                    0,
                    kMaxBytes));
  settings.maxConnections_ = static_cast<size_t>(
    aReader.Integer("max_connections",
                    static_cast<int64_t>(settings.maxConnections_),
                    1,
                    kMaxConnectionsLimit));
  settings.idleTimeout_ = aReader.Millis(
    "idle_timeout_ms", settings.idleTimeout_, kMinTimeout, kMaxTimeout);
  settings.transferTimeout_ = aReader.Millis(
    "transfer_timeout_ms", settings.transferTimeout_, kMinTimeout, kMaxTimeout);
  return settings;
}

HttpServer::HttpServer(HttpServerSettings aSettings, WorkerPool& aWorkers)
  : shared_(std::make_shared<SharedState>(std::move(aSettings), aWorkers))
{
}

HttpServer::~HttpServer()
{
  StopAccepting();
}

absl::Status HttpServer::Start(Handler aHandler)
{
  shared_->handler_ = std::move(aHandler);
  const HttpServerSettings& settings = shared_->settings_;
  auto& acceptor = shared_->acceptor_;
  if (auto status = Listen(acceptor, settings.address_, settings.port_);
      !status.ok()) {
    return status;
  }
  shared_->port_ = acceptor.local_endpoint().port();
  asio::co_spawn(
    shared_->workers_.Context(0), RunAcceptor(shared_), asio::detached);
  return absl::OkStatus();
}

uint16_t HttpServer::Port() const
{
  return shared_->port_;
}

void HttpServer::BeginDrain()
{
  shared_->isDraining_ = true;
}

void HttpServer::StopAccepting()
{
  shared_->isDraining_ = true;
  if (shared_->isStopped_.exchange(true)) {
    return;
  }
  asio::post(shared_->workers_.Context(0), [shared = shared_] {
    error_code ignored;
    shared->acceptor_.close(ignored);
  });
  const std::lock_guard lock(shared_->mutex_);
  for (const auto& [connection, closeIfIdle] : shared_->closeIfIdle_) {
    closeIfIdle();
  }
}

size_t HttpServer::RequestsInFlight() const
{
  return shared_->requests_;
}

size_t HttpServer::OpenConnections() const
{
  return shared_->connections_;
}

bool HttpServer::WaitUntilIdle(milliseconds aTimeout) const
{
  constexpr milliseconds kPollInterval{ 5 };
  const TimePoint deadline = Now() + aTimeout;
  while (shared_->connections_ > 0 && Now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return shared_->requests_ == 0;
}

} // namespace foxtail
