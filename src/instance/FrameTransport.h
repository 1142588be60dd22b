#ifndef INSTANCE_FRAMETRANSPORT_H
#define INSTANCE_FRAMETRANSPORT_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"
#include "core/Time.h"
#include "core/WorkerPool.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace foxtail {

/// Content of a frame's payload; each kind has a FlatBuffers schema of its own.
enum class FrameKind : uint8_t
{
  /// Messages of the replicated log.
  Consensus,
  /// Commands for the replicated log, and the replies to them.
  Command,
  CommandReply,
  /// Reads of the accepted document from a control instance.
  DocumentRead,
  DocumentReadReply,
  /// Messages of the gossip membership protocol.
  Membership,
  /// Announcements of backend servers, forwarded between instances.
  AnnouncementSpread,
  /// An accepted document, or a part of one, forwarded between instances.
  DocumentSpread,
  /// A query forwarded to an instance that has connections, and its reply.
  Relay,
  RelayReply,
  /// Request of a control instance with a new data folder to join the group.
  ControlJoin,
  /// Long-poll request of an entry instance for updates, and its reply.
  Feed,
  FeedReply,
  /// Request for permits of shared allowances, and its reply.
  Allowance,
  AllowanceReply,
};

template<>
struct EnumTable<FrameKind>
{
  static constexpr std::array<EnumName<FrameKind>, 15> kRows{ {
    { FrameKind::Consensus, "consensus" },
    { FrameKind::Command, "claim" },
    { FrameKind::CommandReply, "claim_reply" },
    { FrameKind::DocumentRead, "document_read" },
    { FrameKind::DocumentReadReply, "document_read_reply" },
    { FrameKind::Membership, "membership" },
    { FrameKind::AnnouncementSpread, "announcement_spread" },
    { FrameKind::DocumentSpread, "document_spread" },
    { FrameKind::Relay, "relay" },
    { FrameKind::RelayReply, "relay_reply" },
    { FrameKind::ControlJoin, "control_join" },
    { FrameKind::Feed, "feed" },
    { FrameKind::FeedReply, "feed_reply" },
    { FrameKind::Allowance, "allowance" },
    { FrameKind::AllowanceReply, "allowance_reply" },
  } };
};

struct Frame
{
  FrameKind kind_ = FrameKind::Membership;
  /// Matches a reply to its call; 0 for a frame that expects no reply.
  uint64_t correlation_ = 0;
  /// A finished FlatBuffer; the receiver must verify it before use.
  std::string payload_;
};

struct FrameTransportSettings
{
  /// Name of this instance.
  InstanceId instance_;
  /// Address and port to listen on for other instances.
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;
  /// Secret that all instances of the deployment share.
  std::string deploymentKey_;
  /// Largest accepted payload of a frame, in bytes.
  uint32_t maxFrameBytes_ = 16 * 1024 * 1024;
  /// Largest number of bytes queued for one peer; further frames are dropped
  /// and counted.
  size_t maxQueuedBytes_ = 16 * 1024 * 1024;
  milliseconds connectTimeout_{ 1000 };

  static FrameTransportSettings Read(JsonReader& aReader);
};

/// Sends and receives length-prefixed frames between instances over TCP. A
/// challenge-response handshake authenticates both ends by the deployment key
/// before any frame is accepted. Delivery is best effort, in order per peer.
/// Thread safe.
class FrameTransport
{
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// Called on a worker of the pool for each frame of the registered kind.
  /// @p aFrom is the sender's instance name, proved by the handshake.
  using Handler = std::function<void(const InstanceId& aFrom, Frame aFrame)>;
  /// Called for each call of the registered kind; the result is sent as reply,
  /// with the call's correlation.
  using CallHandler =
    std::function<boost::asio::awaitable<Frame>(const InstanceId& aFrom,
                                                Frame aFrame)>;

  FrameTransport(FrameTransportSettings aSettings, WorkerPool& aWorkers);
  ~FrameTransport();
  FrameTransport(const FrameTransport&) = delete;
  FrameTransport& operator=(const FrameTransport&) = delete;

  /// Registers the handler of a kind; call before Start().
  void OnFrame(FrameKind aKind, Handler aHandler);
  void OnCall(FrameKind aKind, CallHandler aHandler);

  absl::Status Start();
  void Stop();
  uint16_t Port() const;
  /// @return the listen address, as in the settings.
  const std::string& Address() const;

  /// Queues a frame; connects when needed. The frame is dropped when the peer
  /// is unreachable or its queue is full.
  void Send(const Endpoint& aTo, Frame aFrame);

  /// Sends a frame and waits for the reply with the same correlation. The
  /// caller's executor must be single-threaded, such as a WorkerPool's context.
  ///
  /// @return the reply; an Unavailable error when certainly nothing was sent, a
  /// DeadlineExceeded error when no reply arrived within @p aTimeout, a
  /// Protocol error when the connection closed after the frame was sent.
  boost::asio::awaitable<absl::StatusOr<Frame>> Call(const Endpoint& aTo,
                                                     Frame aFrame,
                                                     milliseconds aTimeout);

  /// Bytes of frames sent and received since the start, by kind; used to check
  /// the bandwidth budget of control traffic.
  uint64_t BytesSent(FrameKind aKind) const;
  uint64_t BytesReceived(FrameKind aKind) const;

  /// Frames dropped because the peer was unreachable, its queue was full, or
  /// the connection closed before they were written.
  uint64_t FramesDropped() const;
  /// Accepted connections whose handshake failed, and outgoing connections
  /// whose peer did not prove the key.
  uint64_t HandshakesRefused() const;
  /// Connections open now, in both directions.
  uint64_t OpenConnections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_FRAMETRANSPORT_H
