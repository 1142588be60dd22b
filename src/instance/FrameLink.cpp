#include "instance/FrameLink.h"

#include "core/Error.h"
#include "core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

namespace foxtail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds kMinBackoff{ 50 };
constexpr milliseconds kMaxBackoff{ 1000 };
// While calls are pending, the connection is pinged when nothing was received
// for kPingAfterSilence, and closed after kCloseAfterSilence. A network
// partition that drops packets without an error is thus detected before the
// calls time out.
constexpr milliseconds kPingAfterSilence{ 500 };
constexpr milliseconds kCloseAfterSilence{ 2000 };

absl::Status NothingSentError(const asio::ip::tcp::endpoint& aEndpoint)
{
  std::ostringstream text;
  text << "nothing was sent to the instance at " << aEndpoint
       << ", which is unreachable; try another instance or retry later";
  return MakeError(ErrorKind::Unavailable, text.str());
}

} // namespace

void CompleteCall(const std::shared_ptr<PendingCall>& aCall,
                  absl::StatusOr<Frame> aResult)
{
  asio::post(aCall->executor_, [aCall, result = std::move(aResult)]() mutable {
    if (!aCall->result_) {
      aCall->result_ = std::move(result);
      aCall->timer_.cancel();
    }
  });
}

FrameLink::FrameLink(asio::any_io_executor aExecutor,
                     asio::ip::tcp::endpoint aEndpoint,
                     const FrameTransportSettings& aSettings,
                     std::shared_ptr<FrameCounters> aCounters,
                     uint64_t aSeed)
  : executor_(std::move(aExecutor))
  , endpoint_(std::move(aEndpoint))
  , settings_(aSettings)
  , counters_(std::move(aCounters))
  , random_(aSeed)
{
}

bool FrameLink::EnsureConnection()
{
  if (connection_ != nullptr) {
    return true;
  }
  if (isStopped_ || Now() < retryAt_) {
    return false;
  }
  connection_ = std::make_shared<FrameConnection>(
    asio::ip::tcp::socket(executor_), settings_, counters_);
  asio::co_spawn(
    executor_,
    [self = shared_from_this(), connection = connection_] {
      return self->Run(connection);
    },
    asio::detached);
  return true;
}

void FrameLink::Send(const Frame& aFrame)
{
  const auto kind = static_cast<uint8_t>(aFrame.kind_);
  if (!EnsureConnection() ||
      !connection_->Write(
        { EncodeFrame(kind, 0, aFrame.payload_), kind, nullptr })) {
    ++counters_->framesDropped_;
  }
}

void FrameLink::StartCall(uint64_t aCorrelation,
                          const Frame& aFrame,
                          std::shared_ptr<PendingCall> aCall)
{
  const auto kind = static_cast<uint8_t>(aFrame.kind_);
  if (!EnsureConnection() ||
      !connection_->Write({ EncodeFrame(kind, aCorrelation, aFrame.payload_),
                            kind,
                            aCall->phase_ })) {
    ++counters_->framesDropped_;
    CompleteCall(aCall, NothingSentError(endpoint_));
    return;
  }
  pendingCalls_[aCorrelation] = std::move(aCall);
  if (!isKeepAliveRunning_) {
    isKeepAliveRunning_ = true;
    asio::co_spawn(
      executor_,
      [self = shared_from_this()] { return self->RunKeepAlive(); },
      asio::detached);
  }
}

void FrameLink::RemoveCall(uint64_t aCorrelation)
{
  pendingCalls_.erase(aCorrelation);
}

void FrameLink::Stop()
{
  isStopped_ = true;
  if (connection_ != nullptr) {
    connection_->Close();
  }
  FailCalls();
}

void FrameLink::FailCalls()
{
  for (const auto& [correlation, call] : pendingCalls_) {
    auto expected = CallPhase::Queued;
    const bool isUnsent =
      call->phase_->compare_exchange_strong(expected, CallPhase::Abandoned);
    CompleteCall(
      call,
      isUnsent ? NothingSentError(endpoint_)
               : MakeError(ErrorKind::Protocol,
                           "the connection closed after the frame was sent; "
                           "the peer may have received it"));
  }
  pendingCalls_.clear();
}

void FrameLink::StartBackoff()
{
  backoff_ =
    backoff_.count() == 0 ? kMinBackoff : std::min(backoff_ * 2, kMaxBackoff);
  const auto half = static_cast<uint64_t>(backoff_.count() / 2);
  // Jitter keeps the peers of a restarted instance from reconnecting all at
  // once.
  retryAt_ = Now() + milliseconds(half + random_.NextBelow(half + 1));
}

void FrameLink::HandleReply(WireFrame aFrame)
{
  const auto found = pendingCalls_.find(aFrame.correlation_);
  if (found == pendingCalls_.end()) {
    return;
  }
  Frame frame;
  frame.kind_ = static_cast<FrameKind>(aFrame.kind_);
  frame.correlation_ = aFrame.correlation_;
  frame.payload_ = std::move(aFrame.payload_);
  CompleteCall(found->second, std::move(frame));
  pendingCalls_.erase(found);
}

asio::awaitable<void> FrameLink::Run(
  std::shared_ptr<FrameConnection> aConnection)
{
  absl::Status status = co_await aConnection->Connect(endpoint_);
  if (status.ok()) {
    const auto peer = co_await aConnection->Handshake(HandshakeRole::Dialer);
    status = peer.status();
    if (KindOf(status.ok() ? absl::InternalError("") : status) ==
        ErrorKind::Unauthorized) {
      ++counters_->handshakesRefused_;
      LogLine(LogLevel::Warning, "instance_refused")
        .Add("endpoint", endpoint_.address().to_string())
        .Add("port", endpoint_.port())
        .Add("error", status);
    }
  }
  if (status.ok()) {
    backoff_ = milliseconds(0);
    WireFrame frame;
    while ((co_await aConnection->Read(frame)).ok()) {
      HandleReply(std::move(frame));
    }
  } else {
    StartBackoff();
  }
  aConnection->Close();
  connection_ = nullptr;
  FailCalls();
}

asio::awaitable<void> FrameLink::RunKeepAlive()
{
  asio::steady_timer timer(executor_);
  std::shared_ptr<FrameConnection> watched;
  TimePoint startedAt{};
  while (!pendingCalls_.empty()) {
    if (watched != connection_) {
      watched = connection_;
      startedAt = Now();
    }
    timer.expires_after(kPingAfterSilence);
    error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    if (watched == nullptr || watched->IsClosed()) {
      continue;
    }
    const Duration silence =
      Now() - std::max(startedAt, watched->LastReceivedAt());
    if (silence >= kCloseAfterSilence) {
      watched->Close();
    } else if (silence >= kPingAfterSilence) {
      watched->Write({ EncodeFrame(kPingKind, 0, {}), kPingKind, nullptr });
    }
  }
  isKeepAliveRunning_ = false;
}

} // namespace foxtail
