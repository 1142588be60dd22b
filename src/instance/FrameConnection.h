#ifndef INSTANCE_FRAMECONNECTION_H
#define INSTANCE_FRAMECONNECTION_H

#include "core/Time.h"
#include "instance/FrameCodec.h"
#include "instance/FrameHandshake.h"

#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>

namespace foxtail {

/// Counters of one transport, shared by its links and connections. Thread safe.
struct FrameCounters
{
  static constexpr size_t kKinds = EnumTable<FrameKind>::kRows.size();

  std::array<std::atomic<uint64_t>, kKinds> bytesSent_{};
  std::array<std::atomic<uint64_t>, kKinds> bytesReceived_{};
  std::atomic<uint64_t> framesDropped_{ 0 };
  std::atomic<uint64_t> handshakesRefused_{ 0 };
  std::atomic<uint64_t> openConnections_{ 0 };
};

/// Progress of a call's frame. When the call fails, it decides whether the
/// error states that nothing was sent or that the peer may have received the
/// frame.
enum class CallPhase
{
  Queued,
  Sent,
  /// The call failed while its frame was queued: the frame must not be written.
  Abandoned,
};

/// One encoded frame in the queue of a connection.
struct OutgoingFrame
{
  std::string bytes_;
  uint8_t kind_ = 0;
  /// Null for a frame that is not a call.
  std::shared_ptr<std::atomic<CallPhase>> phase_;
};

/// One TCP connection with its queue of outgoing frames. Runs on one worker's
/// context.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  FrameConnection(Socket aSocket,
                  const FrameTransportSettings& aSettings,
                  std::shared_ptr<FrameCounters> aCounters);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  /// Connects within connectTimeout_ of the settings.
  boost::asio::awaitable<absl::Status> Connect(
    boost::asio::ip::tcp::endpoint aEndpoint);

  /// Authenticates both ends by the deployment key, within connectTimeout_ of
  /// the settings. Queued frames are written only afterwards.
  ///
  /// @return the peer's instance name; an Unauthorized error when its proof is
  /// wrong, a Protocol error when its hello is malformed, an Unavailable error
  /// when the connection fails.
  boost::asio::awaitable<absl::StatusOr<InstanceId>> Handshake(
    HandshakeRole aRole);

  /// Reads the next frame of a FrameKind; answers pings and skips pongs.
  boost::asio::awaitable<absl::Status> Read(WireFrame& aFrame);

  /// Queues a frame.
  ///
  /// @return false when the queue is full or the connection is closed.
  bool Write(OutgoingFrame aFrame);

  /// Closes the socket and drops the queue. The phase of a call whose frame was
  /// not written stays at Queued.
  void Close();
  bool IsClosed() const { return isClosed_; }
  TimePoint LastReceivedAt() const { return lastReceivedAt_; }
  boost::asio::any_io_executor Executor() { return socket_.get_executor(); }

private:
  void SetSocketOptions();
  void WriteQueued();
  void StartConnectTimer();
  boost::asio::awaitable<absl::Status> ReadExactly(std::string& aBytes,
                                                   size_t aCount);
  boost::asio::awaitable<absl::Status> WriteAll(std::string aBytes);
  boost::asio::awaitable<absl::Status> ReadHello(HandshakeHello& aHello);
  boost::asio::awaitable<absl::Status> ReadProof(HandshakeProof aExpected);

  Socket socket_;
  const FrameTransportSettings& settings_;
  std::shared_ptr<FrameCounters> counters_;
  boost::asio::steady_timer connectTimer_;
  FrameParser parser_;
  std::deque<OutgoingFrame> queue_;
  size_t queuedBytes_ = 0;
  std::string writeBuffer_;
  bool isHandshakeDone_ = false;
  bool isWriting_ = false;
  bool isClosed_ = false;
  TimePoint lastReceivedAt_{};
};

} // namespace foxtail

#endif // INSTANCE_FRAMECONNECTION_H
