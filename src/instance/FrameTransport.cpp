#include "instance/FrameTransport.h"

#include "core/Error.h"
#include "core/Listen.h"
#include "core/Log.h"
#include "core/RandomSource.h"
#include "instance/FrameLink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <mutex>
#include <set>

namespace foxtail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr size_t kMaxInboundConnections = 8192;
// Limit of running call handlers per connection; reading from the connection
// pauses while it is reached.
constexpr size_t kMaxRunningCallsPerConnection = 4096;

} // namespace

struct FrameTransport::Impl : std::enable_shared_from_this<FrameTransport::Impl>
{
  Impl(FrameTransportSettings aSettings, WorkerPool& aWorkers)
    : settings_(std::move(aSettings))
    , workers_(aWorkers)
    , acceptor_(aWorkers.Context(0))
  {
  }

  absl::Status Listen();
  void Stop();
  std::shared_ptr<FrameLink> LinkTo(const Endpoint& aEndpoint);
  asio::awaitable<void> RunAcceptor();
  asio::awaitable<void> RunInbound(
    std::shared_ptr<FrameConnection> aConnection);
  asio::awaitable<void> ReadFrames(FrameConnection& aConnection,
                                   const InstanceId& aFrom);
  asio::awaitable<void> RunCallHandler(
    std::shared_ptr<FrameConnection> aConnection,
    InstanceId aFrom,
    Frame aFrame,
    std::shared_ptr<size_t> aRunningCalls);
  void Dispatch(FrameConnection& aConnection,
                const InstanceId& aFrom,
                WireFrame aFrame,
                const std::shared_ptr<size_t>& aRunningCalls);

  FrameTransportSettings settings_;
  WorkerPool& workers_;
  asio::ip::tcp::acceptor acceptor_;
  uint16_t port_ = 0;
  std::shared_ptr<FrameCounters> counters_ = std::make_shared<FrameCounters>();
  std::array<Handler, FrameCounters::kKinds> handlers_;
  std::array<CallHandler, FrameCounters::kKinds> callHandlers_;
  std::atomic<uint64_t> nextCorrelation_{ 1 };
  std::atomic<bool> isStopped_{ false };

  // Guards the members below; never held during I/O.
  std::mutex mutex_;
  std::map<Endpoint, std::shared_ptr<FrameLink>> links_;
  std::set<std::shared_ptr<FrameConnection>> inboundConnections_;
  size_t nextContext_ = 0;
};

absl::Status FrameTransport::Impl::Listen()
{
  if (settings_.deploymentKey_.empty()) {
    return MakeError(ErrorKind::InvalidSettings,
                     "/instances/deployment_key is empty; set it to the secret "
                     "that all instances of the deployment share");
  }
  const size_t nameBytes = settings_.instance_.Value().size();
  if (nameBytes == 0 || nameBytes > kMaxInstanceNameBytes) {
    return MakeError(ErrorKind::InvalidSettings,
                     "/instance has " + std::to_string(nameBytes) +
                       " bytes; set a name of 1 to 255 bytes");
  }
  if (auto status =
        foxtail::Listen(acceptor_, settings_.address_, settings_.port_);
      !status.ok()) {
    return status;
  }
  port_ = acceptor_.local_endpoint().port();
  asio::co_spawn(
    workers_.Context(0),
    [self = shared_from_this()] { return self->RunAcceptor(); },
    asio::detached);
  return absl::OkStatus();
}

asio::awaitable<void> FrameTransport::Impl::RunAcceptor()
{
  constexpr milliseconds kPauseAfterError{ 50 };
  while (!isStopped_) {
    asio::io_context& context = workers_.Context(nextContext_++);
    asio::ip::tcp::socket socket(context);
    error_code error;
    co_await acceptor_.async_accept(
      socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // Most likely the process is out of file descriptors: retry after a
      // pause.
      LogLine(LogLevel::Warning, "accept_failed").Add("error", error.message());
      asio::steady_timer timer(workers_.Context(0), kPauseAfterError);
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    auto connection = std::make_shared<FrameConnection>(
      std::move(socket), settings_, counters_);
    {
      const std::lock_guard lock(mutex_);
      if (isStopped_ || inboundConnections_.size() >= kMaxInboundConnections) {
        continue;
      }
      inboundConnections_.insert(connection);
    }
    asio::co_spawn(
      context,
      [self = shared_from_this(), connection] {
        return self->RunInbound(connection);
      },
      asio::detached);
  }
}

asio::awaitable<void> FrameTransport::Impl::RunInbound(
  std::shared_ptr<FrameConnection> aConnection)
{
  const auto peer = co_await aConnection->Handshake(HandshakeRole::Acceptor);
  if (peer.ok()) {
    co_await ReadFrames(*aConnection, *peer);
  } else {
    ++counters_->handshakesRefused_;
    LogLine(LogLevel::Warning, "instance_refused").Add("error", peer.status());
  }
  aConnection->Close();
  const std::lock_guard lock(mutex_);
  inboundConnections_.erase(aConnection);
}

asio::awaitable<void> FrameTransport::Impl::ReadFrames(
  FrameConnection& aConnection,
  const InstanceId& aFrom)
{
  constexpr milliseconds kPause{ 1 };
  const auto runningCalls = std::make_shared<size_t>(0);
  asio::steady_timer timer(aConnection.Executor());
  while (true) {
    WireFrame frame;
    const auto status = co_await aConnection.Read(frame);
    if (!status.ok()) {
      if (KindOf(status) == ErrorKind::Protocol) {
        LogLine(LogLevel::Warning, "frame_refused")
          .Add("instance", aFrom)
          .Add("error", status);
      }
      co_return;
    }
    Dispatch(aConnection, aFrom, std::move(frame), runningCalls);
    while (*runningCalls >= kMaxRunningCallsPerConnection &&
           !aConnection.IsClosed()) {
      timer.expires_after(kPause);
      error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
}

void FrameTransport::Impl::Dispatch(
  FrameConnection& aConnection,
  const InstanceId& aFrom,
  WireFrame aFrame,
  const std::shared_ptr<size_t>& aRunningCalls)
{
  Frame frame;
  frame.kind_ = static_cast<FrameKind>(aFrame.kind_);
  frame.correlation_ = aFrame.correlation_;
  frame.payload_ = std::move(aFrame.payload_);
  if (frame.correlation_ == 0) {
    if (const Handler& handler = handlers_[aFrame.kind_]) {
      handler(aFrom, std::move(frame));
    }
    return;
  }
  if (!callHandlers_[aFrame.kind_]) {
    return;
  }
  ++*aRunningCalls;
  asio::co_spawn(
    aConnection.Executor(),
    RunCallHandler(
      aConnection.shared_from_this(), aFrom, std::move(frame), aRunningCalls),
    asio::detached);
}

asio::awaitable<void> FrameTransport::Impl::RunCallHandler(
  std::shared_ptr<FrameConnection> aConnection,
  InstanceId aFrom,
  Frame aFrame,
  std::shared_ptr<size_t> aRunningCalls)
{
  const uint64_t correlation = aFrame.correlation_;
  const auto self = shared_from_this();
  const CallHandler& handler = callHandlers_[static_cast<size_t>(aFrame.kind_)];
  try {
    const Frame reply = co_await handler(aFrom, std::move(aFrame));
    const auto kind = static_cast<uint8_t>(reply.kind_);
    // When the queue has no room for the reply, closing the connection fails
    // the call at once instead of letting it time out.
    if (!aConnection->Write(
          { EncodeFrame(kind, correlation, reply.payload_), kind, nullptr })) {
      ++counters_->framesDropped_;
      aConnection->Close();
    }
  } catch (const std::exception& exception) {
    LogLine(LogLevel::Error, "frame_handler_failed")
      .Add("error", exception.what());
  }
  --*aRunningCalls;
}

std::shared_ptr<FrameLink> FrameTransport::Impl::LinkTo(
  const Endpoint& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  if (isStopped_) {
    return nullptr;
  }
  auto& link = links_[aEndpoint];
  if (link == nullptr) {
    const size_t index = links_.size();
    link = std::make_shared<FrameLink>(workers_.Context(index).get_executor(),
                                       aEndpoint,
                                       settings_,
                                       counters_,
                                       RandomSource::SystemSeed());
  }
  return link;
}

void FrameTransport::Impl::Stop()
{
  std::map<Endpoint, std::shared_ptr<FrameLink>> links;
  std::set<std::shared_ptr<FrameConnection>> inbound;
  {
    const std::lock_guard lock(mutex_);
    if (isStopped_.exchange(true)) {
      return;
    }
    links.swap(links_);
    inbound = inboundConnections_;
  }
  asio::post(workers_.Context(0), [self = shared_from_this()] {
    error_code ignored;
    self->acceptor_.close(ignored);
  });
  for (const auto& row : links) {
    asio::post(row.second->Executor(), [link = row.second] { link->Stop(); });
  }
  for (const auto& connection : inbound) {
    asio::post(connection->Executor(), [connection] { connection->Close(); });
  }
}

FrameTransportSettings FrameTransportSettings::Read(JsonReader& aReader)
{
  constexpr int64_t kMaxPort = 65535;
  constexpr int64_t kMaxBytes = int64_t{ 256 } * 1024 * 1024;
  constexpr size_t kMinKeyBytes = 8;
  constexpr milliseconds kShortest{ 10 };
  constexpr milliseconds kLongest{ 60000 };
  FrameTransportSettings settings;
  settings.address_ = aReader.String("address", settings.address_);
  error_code error;
  asio::ip::make_address(settings.address_, error);
  if (error) {
    aReader.Fault("address", "is not an IP number; give one such as 127.0.0.1");
  }
  settings.port_ =
    static_cast<uint16_t>(aReader.Integer("port", settings.port_, 0, kMaxPort));
  settings.deploymentKey_ = aReader.RequiredString("deployment_key");
  if (settings.deploymentKey_.size() < kMinKeyBytes) {
    aReader.Fault("deployment_key", "is too short; set 8 to 256 bytes");
  }
  settings.maxFrameBytes_ = static_cast<uint32_t>(aReader.Integer(
    "max_frame_bytes", settings.maxFrameBytes_, 1024, kMaxBytes));
  settings.maxQueuedBytes_ = static_cast<size_t>(
    aReader.Integer("max_queued_bytes",
                    static_cast<int64_t>(settings.maxQueuedBytes_),
                    1024,
                    kMaxBytes));
  settings.connectTimeout_ = aReader.Millis(
    "connect_timeout_ms", settings.connectTimeout_, kShortest, kLongest);
  return settings;
}

FrameTransport::FrameTransport(FrameTransportSettings aSettings,
                               WorkerPool& aWorkers)
  : impl_(std::make_shared<Impl>(std::move(aSettings), aWorkers))
{
}

FrameTransport::~FrameTransport()
{
  Stop();
}

void FrameTransport::OnFrame(FrameKind aKind, Handler aHandler)
{
  impl_->handlers_[static_cast<size_t>(aKind)] = std::move(aHandler);
}

void FrameTransport::OnCall(FrameKind aKind, CallHandler aHandler)
{
  impl_->callHandlers_[static_cast<size_t>(aKind)] = std::move(aHandler);
}

absl::Status FrameTransport::Start()
{
  return impl_->Listen();
}

void FrameTransport::Stop()
{
  impl_->Stop();
}

uint16_t FrameTransport::Port() const
{
  return impl_->port_;
}

const std::string& FrameTransport::Address() const
{
  return impl_->settings_.address_;
}

void FrameTransport::Send(const Endpoint& aTo, Frame aFrame)
{
  const auto link = impl_->LinkTo(aTo);
  if (link == nullptr ||
      aFrame.payload_.size() > impl_->settings_.maxFrameBytes_) {
    ++impl_->counters_->framesDropped_;
    return;
  }
  asio::post(link->Executor(),
             [link, frame = std::move(aFrame)] { link->Send(frame); });
}

asio::awaitable<absl::StatusOr<Frame>>
FrameTransport::Call(const Endpoint& aTo, Frame aFrame, milliseconds aTimeout)
{
  const auto impl = impl_;
  const auto link = impl->LinkTo(aTo);
  if (link == nullptr) {
    co_return MakeError(ErrorKind::Unavailable,
                        "nothing was sent: this instance is stopping; try "
                        "another instance");
  }
  if (aFrame.payload_.size() > impl->settings_.maxFrameBytes_) {
    co_return MakeError(ErrorKind::Unavailable,
                        "nothing was sent: the frame is too large; raise "
                        "max_frame_bytes on all instances");
  }
  const auto call =
    std::make_shared<PendingCall>(co_await asio::this_coro::executor);
  call->timer_.expires_after(aTimeout);
  const uint64_t correlation = impl->nextCorrelation_++;
  asio::post(link->Executor(),
             [link, correlation, call, frame = std::move(aFrame)] {
               link->StartCall(correlation, frame, call);
             });
  error_code ignored;
  co_await call->timer_.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  if (call->result_) {
    co_return std::move(*call->result_);
  }
  call->result_ = MakeError(ErrorKind::DeadlineExceeded, "the call timed out");
  asio::post(link->Executor(),
             [link, correlation] { link->RemoveCall(correlation); });
  auto expected = CallPhase::Queued;
  if (call->phase_->compare_exchange_strong(expected, CallPhase::Abandoned)) {
    co_return MakeError(ErrorKind::Unavailable,
                        "nothing was sent before the deadline; try another "
                        "instance or allow more time");
  }
  co_return MakeError(
    ErrorKind::DeadlineExceeded,
    "no reply was received in time; the peer may have received "
    "the frame");
}

uint64_t FrameTransport::BytesSent(FrameKind aKind) const
{
  return impl_->counters_->bytesSent_[static_cast<size_t>(aKind)];
}

uint64_t FrameTransport::BytesReceived(FrameKind aKind) const
{
  return impl_->counters_->bytesReceived_[static_cast<size_t>(aKind)];
}

uint64_t FrameTransport::FramesDropped() const
{
  return impl_->counters_->framesDropped_;
}

uint64_t FrameTransport::HandshakesRefused() const
{
  return impl_->counters_->handshakesRefused_;
}

uint64_t FrameTransport::OpenConnections() const
{
  return impl_->counters_->openConnections_;
}

} // namespace foxtail
