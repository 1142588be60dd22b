#include "instance/FrameConnection.h"

#include "core/Error.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace foxtail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Sent data that stays unacknowledged for this long closes the connection: a
// network partition can drop packets without an error.
constexpr milliseconds kTcpUserTimeout{ 3000 };
constexpr seconds kKeepAliveIdle{ 60 };
constexpr size_t kMaxWriteBytes = size_t{ 64 } * 1024;

absl::Status ConnectionError(const error_code& aError)
{
  return MakeError(ErrorKind::Unavailable,
                   "connection to the instance failed (" + aError.message() +
                     "); check that the instance runs and is reachable");
}

} // namespace

FrameConnection::FrameConnection(Socket aSocket,
                                 const FrameTransportSettings& aSettings,
                                 std::shared_ptr<FrameCounters> aCounters)
  : socket_(std::move(aSocket))
  , settings_(aSettings)
  , counters_(std::move(aCounters))
  , connectTimer_(socket_.get_executor())
  , parser_(aSettings.maxFrameBytes_)
{
  ++counters_->openConnections_;
}

FrameConnection::~FrameConnection()
{
  --counters_->openConnections_;
}

void FrameConnection::SetSocketOptions()
{
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  const int fd = socket_.native_handle();
  const auto idle = static_cast<int>(kKeepAliveIdle.count());
  const auto timeout = static_cast<unsigned int>(kTcpUserTimeout.count());
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

void FrameConnection::StartConnectTimer()
{
  connectTimer_.expires_after(settings_.connectTimeout_);
  connectTimer_.async_wait(
    [self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->Close();
      }
    });
}

asio::awaitable<absl::Status> FrameConnection::Connect(
  asio::ip::tcp::endpoint aEndpoint)
{
  StartConnectTimer();
  error_code error;
  co_await socket_.async_connect(
    aEndpoint, asio::redirect_error(asio::use_awaitable, error));
  connectTimer_.cancel();
  if (error || isClosed_) {
    co_return ConnectionError(error);
  }
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> FrameConnection::ReadExactly(std::string& aBytes,
                                                           size_t aCount)
{
  aBytes.resize(aCount);
  error_code error;
  co_await asio::async_read(socket_,
                            asio::buffer(aBytes),
                            asio::redirect_error(asio::use_awaitable, error));
  co_return error ? ConnectionError(error) : absl::OkStatus();
}

asio::awaitable<absl::Status> FrameConnection::WriteAll(std::string aBytes)
{
  error_code error;
  co_await asio::async_write(socket_,
                             asio::buffer(aBytes),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return error ? ConnectionError(error) : absl::OkStatus();
}

asio::awaitable<absl::Status> FrameConnection::ReadHello(HandshakeHello& aHello)
{
  std::string bytes;
  auto status = co_await ReadExactly(bytes, kHelloFixedBytes);
  if (!status.ok()) {
    co_return status;
  }
  const auto length = DecodeHelloStart(bytes, aHello.nonce_);
  if (!length.ok()) {
    co_return length.status();
  }
  status = co_await ReadExactly(bytes, *length);
  aHello.instance_ = InstanceId(bytes);
  co_return status;
}

asio::awaitable<absl::Status> FrameConnection::ReadProof(
  HandshakeProof aExpected)
{
  std::string bytes;
  if (auto status = co_await ReadExactly(bytes, kProofBytes); !status.ok()) {
    co_return status;
  }
  HandshakeProof proof{};
  std::copy(bytes.begin(), bytes.end(), proof.begin());
  if (!IsSameProof(proof, aExpected)) {
    co_return MakeError(ErrorKind::Unauthorized,
                        "the peer did not prove the deployment key; set the "
                        "same deployment_key on all instances");
  }
  co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<InstanceId>> FrameConnection::Handshake(
  HandshakeRole aRole)
{
  SetSocketOptions();
  StartConnectTimer();
  const auto nonce = MakeNonce();
  if (!nonce.ok()) {
    co_return nonce.status();
  }
  const HandshakeHello own{ *nonce, settings_.instance_ };
  HandshakeHello peer;
  const bool isDialer = aRole == HandshakeRole::Dialer;
  const auto proofOf = [&](HandshakeRole aProver) {
    return MakeProof(settings_.deploymentKey_,
                     aProver,
                     isDialer ? own : peer,
                     isDialer ? peer : own);
  };
  const auto textOf = [&](HandshakeRole aProver) {
    const HandshakeProof proof = proofOf(aProver);
    return std::string(proof.begin(), proof.end());
  };
  absl::Status status;
  if (isDialer) {
    status = co_await WriteAll(EncodeHello(own));
    if (status.ok()) {
      status = co_await ReadHello(peer);
    }
    // The dialer sends its proof only after the acceptor has proved the key.
    if (status.ok()) {
      status = co_await ReadProof(proofOf(HandshakeRole::Acceptor));
    }
    if (status.ok()) {
      status = co_await WriteAll(textOf(HandshakeRole::Dialer));
    }
  } else {
    status = co_await ReadHello(peer);
    if (status.ok()) {
      status =
        co_await WriteAll(EncodeHello(own) + textOf(HandshakeRole::Acceptor));
    }
    if (status.ok()) {
      status = co_await ReadProof(proofOf(HandshakeRole::Dialer));
    }
  }
  connectTimer_.cancel();
  if (!status.ok() || isClosed_) {
    Close();
    co_return status.ok() ? ConnectionError(asio::error::timed_out) : status;
  }
  lastReceivedAt_ = Now();
  isHandshakeDone_ = true;
  WriteQueued();
  co_return peer.instance_;
}

asio::awaitable<absl::Status> FrameConnection::Read(WireFrame& aFrame)
{
  while (true) {
    const auto isWhole = parser_.Next(aFrame);
    if (!isWhole.ok()) {
      co_return isWhole.status();
    }
    if (!*isWhole) {
      error_code error;
      const size_t count = co_await socket_.async_read_some(
        parser_.Prepare(), asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return ConnectionError(error);
      }
      parser_.Commit(count);
      lastReceivedAt_ = Now();
      continue;
    }
    if (aFrame.kind_ == kPingKind) {
      Write({ EncodeFrame(kPongKind, aFrame.correlation_, {}), kPongKind, {} });
      continue;
    }
    if (aFrame.kind_ == kPongKind) {
      continue;
    }
    counters_->bytesReceived_[aFrame.kind_] +=
      kFrameHeaderBytes + aFrame.payload_.size();
    co_return absl::OkStatus();
  }
}

bool FrameConnection::Write(OutgoingFrame aFrame)
{
  if (isClosed_ ||
      queuedBytes_ + aFrame.bytes_.size() > settings_.maxQueuedBytes_) {
    return false;
  }
  queuedBytes_ += aFrame.bytes_.size();
  queue_.push_back(std::move(aFrame));
  WriteQueued();
  return true;
}

void FrameConnection::WriteQueued()
{
  if (!isHandshakeDone_ || isWriting_ || isClosed_) {
    return;
  }
  writeBuffer_.clear();
  while (!queue_.empty() && writeBuffer_.size() < kMaxWriteBytes) {
    OutgoingFrame& frame = queue_.front();
    queuedBytes_ -= frame.bytes_.size();
    auto expected = CallPhase::Queued;
    const bool isWanted =
      frame.phase_ == nullptr ||
      frame.phase_->compare_exchange_strong(expected, CallPhase::Sent);
    if (isWanted) {
      if (IsFrameKind(frame.kind_)) {
        counters_->bytesSent_[frame.kind_] += frame.bytes_.size();
      }
      writeBuffer_ += frame.bytes_;
    }
    queue_.pop_front();
  }
  if (writeBuffer_.empty()) {
    return;
  }
  isWriting_ = true;
  asio::async_write(
    socket_,
    asio::buffer(writeBuffer_),
    [self = shared_from_this()](const error_code& aError, size_t) {
      self->isWriting_ = false;
      if (aError) {
        self->Close();
        return;
      }
      if (self->writeBuffer_.capacity() > kMaxWriteBytes) {
        self->writeBuffer_ = std::string();
      }
      self->WriteQueued();
    });
}

void FrameConnection::Close()
{
  if (isClosed_) {
    return;
  }
  isClosed_ = true;
  error_code ignored;
  socket_.close(ignored);
  connectTimer_.cancel();
  for (const OutgoingFrame& frame : queue_) {
    counters_->framesDropped_ += IsFrameKind(frame.kind_) ? 1 : 0;
  }
  queue_.clear();
  queuedBytes_ = 0;
}

} // namespace foxtail
