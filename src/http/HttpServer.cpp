#include "http/HttpServer.h"

#include "core/ConnectionEviction.h"
#include "core/HeaderCost.h"
#include "core/Listen.h"
#include "core/Log.h"

#include <algorithm>
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

namespace {

/// State of a connection that other connections read. Thread safe.
class SharedProgress
{
public:
  void OnBytes(size_t aBytes, TimePoint aNow)
  {
    const std::lock_guard lock(mutex_);
    progress_.Add(aBytes, aNow);
  }
  void SetHeld(size_t aBytes)
  {
    const std::lock_guard lock(mutex_);
    heldBytes_ = aBytes;
  }
  /// @param aIsServed whether a request is in progress from now on.
  void SetServed(bool aIsServed, TimePoint aNow)
  {
    const std::lock_guard lock(mutex_);
    isServed_ = aIsServed;
    waitingSince_ = aNow;
  }
  ConnectionProgress Snapshot(size_t aIndex, TimePoint aNow) const
  {
    const std::lock_guard lock(mutex_);
    return {
      aIndex, heldBytes_, progress_.Bytes(aNow), waitingSince_, isServed_
    };
  }

private:
  mutable std::mutex mutex_;
  RecentProgress progress_;
  size_t heldBytes_ = 0;
  TimePoint waitingSince_ = Now();
  bool isServed_ = false;
};

/// What others may do with an open connection.
struct ConnectionHandle
{
  std::function<void()> closeIfIdle_;
  std::function<void()> close_;
  std::shared_ptr<const SharedProgress> progress_;
};

} // namespace

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

  /// Closes connections that wait for their peers.
  ///
  /// @param aBytes bytes to free; 0 to free one connection.
  /// @param aFor the connection that they are freed for, which is kept.
  void Evict(size_t aBytes, const void* aFor);

  std::atomic<size_t> evictions_{ 0 };
  std::atomic<size_t> budgetRefusals_{ 0 };
  // The open connections by address.
  std::mutex mutex_;
  std::map<const void*, ConnectionHandle> handles_;
};

void HttpServer::SharedState::Evict(size_t aBytes, const void* aFor)
{
  const TimePoint now = Now();
  const std::lock_guard lock(mutex_);
  std::vector<ConnectionProgress> progress;
  std::vector<const ConnectionHandle*> handles;
  for (const auto& [connection, handle] : handles_) {
    if (connection != aFor) {
      progress.push_back(handle.progress_->Snapshot(handles.size(), now));
      handles.push_back(&handle);
    }
  }
  const auto chosen =
    ConnectionEviction::Choose(std::move(progress), aBytes, now);
  for (const size_t index : chosen) {
    handles[index]->close_();
  }
  evictions_ += chosen.size();
  if (!chosen.empty()) {
    LogLine(LogLevel::Info, "connections_evicted")
      .Add("port", port_)
      .Add("connections", chosen.size())
      .Add("reason", aBytes == 0 ? "descriptors" : "memory")
      .Add("bytes_in_use", settings_.peerBytes_->InUse())
      .Add("budget", settings_.peerBytes_->Limit());
  }
}

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
  if (aError == asio::error::no_memory) {
    return ErrorResponse(HttpStatus::service_unavailable,
                         "this process is short of memory; try again");
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
    , charge_(shared_->settings_.peerBytes_)
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
    charge_.Resize(0);
    shared_->settings_.peerBytes_->ReturnUnusedMemory();
  }

private:
  using Parser = beast::http::request_parser<beast::http::string_body>;

  void Register()
  {
    const std::lock_guard lock(shared_->mutex_);
    const auto poster = [this](void (Connection::*aFunction)()) {
      return [weak = this->weak_from_this(),
              executor = stream_.get_executor(),
              aFunction] {
        asio::post(executor, [weak, aFunction] {
          if (const auto self = weak.lock()) {
            ((*self).*aFunction)();
          }
        });
      };
    };
    shared_->handles_[this] = { poster(&Connection::CloseIfIdle),
                                poster(&Connection::Close),
                                progress_ };
  }

  void Close()
  {
    if (!isServed_) {
      stream_.close();
    }
  }

  void Unregister()
  {
    const std::lock_guard lock(shared_->mutex_);
    shared_->handles_.erase(this);
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
    stream_.expires_after(shared_->settings_.idleTimeout_);
    isIdle_ = true;
    const error_code error = co_await ReadSome();
    isIdle_ = false;
    co_return !error;
  }

  // Charges the bytes held for the peer before more are read.
  asio::awaitable<error_code> ReadSome()
  {
    const bool isCharged = co_await Reserve();
    if (!isCharged) {
      ++shared_->budgetRefusals_;
      co_return asio::error::make_error_code(asio::error::no_memory);
    }
    error_code error;
    const size_t count = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
    buffer_.commit(count);
    progress_->OnBytes(count, Now());
    co_return error;
  }

  std::string_view BufferView() const
  {
    const auto bytes = buffer_.data();
    return { static_cast<const char*>(bytes.data()), bytes.size() };
  }

  size_t HeldBytes() const
  {
    // The growth of the buffer doubles what it holds.
    const size_t bufferBytes = std::max(
      { buffer_.capacity(), 2 * buffer_.size(), buffer_.size() + kReadBytes });
    return kConnectionBytes + bufferBytes + requestBytes_;
  }

  // Charges the bytes held for the peer; closes connections that wait for their
  // peers when the budget is short.
  asio::awaitable<bool> Reserve()
  {
    constexpr int kTries = 10;
    constexpr milliseconds kPause{ 5 };
    constexpr size_t kEvictionShare = 16;
    ByteBudget& budget = *shared_->settings_.peerBytes_;
    bool isCharged = charge_.TryResize(HeldBytes());
    for (int i = 0; i < kTries && !isCharged; ++i) {
      if (i % 4 == 0) {
        shared_->Evict(std::max(budget.Excess(HeldBytes() - charge_.Bytes()),
                                budget.Limit() / kEvictionShare),
                       this);
      }
      // The chosen connections release their bytes on their own workers.
      asio::steady_timer timer(stream_.get_executor(), kPause);
      error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      isCharged = charge_.TryResize(HeldBytes());
    }
    progress_->SetHeld(charge_.Bytes());
    co_return isCharged;
  }

  asio::awaitable<bool> ServeRequest()
  {
    const CountGuard inFlight(shared_->requests_);
    std::optional<Parser> parser;
    parser.emplace();
    parser->eager(true);
    parser->header_limit(shared_->settings_.maxHeaderBytes_);
    parser->body_limit(shared_->settings_.maxBodyBytes_);
    stream_.expires_after(shared_->settings_.transferTimeout_);
    const error_code error = co_await ReadRequest(*parser);
    if (error) {
      // Releases what has arrived of the request.
      parser.reset();
      if (auto response = ResponseToReadError(error)) {
        co_await Write(std::move(*response), false);
        co_await DiscardRest();
      }
      co_return false;
    }
    stream_.expires_never();
    SetServed(true);
    HttpRequest request = parser->release();
    const bool wantsKeepAlive = request.keep_alive();
    HttpResponse response =
      co_await InvokeHandler(shared_->handler_, std::move(request));
    co_return co_await Write(std::move(response), wantsKeepAlive);
  }

  // Reads the request; the body is bounded by what its header says of its use.
  asio::awaitable<error_code> ReadRequest(Parser& aParser)
  {
    HeaderCost headerCost;
    std::optional<uint64_t> bodyLimit;
    while (!aParser.is_done()) {
      const bool isInHeader = !aParser.is_header_done();
      if (isInHeader) {
        headerCost.BeforeParse(BufferView());
        requestBytes_ = headerCost.Bytes();
        const bool isCharged = co_await Reserve();
        if (!isCharged) {
          ++shared_->budgetRefusals_;
          co_return asio::error::make_error_code(asio::error::no_memory);
        }
      }
      error_code error;
      if (buffer_.size() > 0) {
        buffer_.consume(aParser.put(buffer_.data(), error));
      }
      if (isInHeader) {
        headerCost.AfterParse(BufferView());
      }
      if (error && error != beast::http::error::need_more) {
        co_return error;
      }
      if (aParser.is_header_done()) {
        if (!bodyLimit) {
          bodyLimit = shared_->settings_.bodyLimit_
                        ? shared_->settings_.bodyLimit_(aParser.get())
                        : shared_->settings_.maxBodyBytes_;
        }
        if (!LimitBody(aParser, *bodyLimit)) {
          co_return beast::http::make_error_code(
            beast::http::error::body_limit);
        }
        const std::string& body = aParser.get().body();
        requestBytes_ =
          headerCost.Bytes() +
          (aParser.content_length() ? body.size() : body.capacity());
      }
      if (aParser.is_done()) {
        break;
      }
      if (buffer_.size() >
          std::max<size_t>(shared_->settings_.maxHeaderBytes_, kReadBytes)) {
        // An endless chunk header.
        co_return beast::http::make_error_code(beast::http::error::body_limit);
      }
      error = co_await ReadSome();
      if (error) {
        co_return error == asio::error::eof
          ? beast::http::make_error_code(beast::http::error::partial_message)
          : error;
      }
    }
    co_return error_code();
  }

  // Discards a body that is not used.
  // Returns whether the body is within the limit.
  static bool LimitBody(Parser& aParser, uint64_t aLimit)
  {
    std::string& body = aParser.get().body();
    if (aLimit == 0) {
      std::string().swap(body);
      return true;
    }
    const auto stated = aParser.content_length();
    return (!stated || *stated <= aLimit) && body.size() <= aLimit;
  }

  // Discards what the peer still sends of a refused request, for a limited
  // time. Closing at once would reset the connection, and the peer could lose
  // the response.
  asio::awaitable<void> DiscardRest()
  {
    constexpr milliseconds kMaxTime{ 1000 };
    constexpr size_t kMaxBytes = size_t{ 1024 } * 1024;
    error_code error;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    stream_.expires_after(kMaxTime);
    for (size_t bytes = 0; !error && bytes < kMaxBytes;) {
      buffer_.clear();
      bytes += co_await stream_.async_read_some(
        buffer_.prepare(kReadBytes),
        asio::redirect_error(asio::use_awaitable, error));
    }
  }

  void SetServed(bool aIsServed)
  {
    isServed_ = aIsServed;
    progress_->SetServed(aIsServed, Now());
  }

  asio::awaitable<bool> Write(HttpResponse aResponse, bool aWantsKeepAlive)
  {
    const bool isKeepAlive = aWantsKeepAlive && !shared_->isDraining_;
    aResponse.keep_alive(isKeepAlive);
    aResponse.prepare_payload();
    error_code error;
    // The request may have run, so its response is charged beyond the limit.
    requestBytes_ = aResponse.body().size();
    charge_.Resize(HeldBytes());
    progress_->SetHeld(charge_.Bytes());
    SetServed(false);
    stream_.expires_after(shared_->settings_.transferTimeout_);
    co_await beast::http::async_write(
      stream_, aResponse, asio::redirect_error(asio::use_awaitable, error));
    requestBytes_ = 0;
    SetServed(false);
    co_return !error && isKeepAlive;
  }

  static constexpr size_t kReadBytes = 4096;
  /// Memory that an open connection holds in any case.
  static constexpr size_t kConnectionBytes = 4096;

  std::shared_ptr<SharedState> shared_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool isIdle_ = false;
  bool isServed_ = false;
  ByteCharge charge_;
  size_t requestBytes_ = 0;
  const std::shared_ptr<SharedProgress> progress_ =
    std::make_shared<SharedProgress>();
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
      // The closed connection is counted until its worker has released it, for
      // which there is room of one connection a worker.
      aShared->Evict(0, nullptr);
    }
    if (aShared->connections_ >= aShared->settings_.maxConnections_ +
                                   aShared->settings_.maxConnections_ / 16 +
                                   1) {
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
  settings.peerBytes_ = std::make_shared<ByteBudget>(static_cast<size_t>(
    aReader.Integer("max_peer_bytes",
                    static_cast<int64_t>(ByteBudget::kDefaultBytes),
                    1024 * 1024,
                    int64_t{ 1 } << 40)));
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
  for (const auto& [connection, handle] : shared_->handles_) {
    handle.closeIfIdle_();
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

size_t HttpServer::Evictions() const
{
  return shared_->evictions_;
}

size_t HttpServer::BudgetRefusals() const
{
  return shared_->budgetRefusals_;
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
