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

/// What a frame's payload is; each has a FlatBuffers schema of its own.
enum class FrameKind : uint8_t
{
  /// Messages of the replicated log.
  Consensus,
  /// Claims, releases and records of actions; and their replies.
  Claim,
  ClaimReply,
  /// Reads of the accepted document from a control instance.
  DocumentRead,
  DocumentReadReply,
  /// Membership between instances.
  Membership,
  /// Announcements of backend servers on their way to other instances.
  AnnouncementSpread,
  /// An accepted document, or a part of one, on its way to other instances.
  DocumentSpread,
  /// A query passed to an instance that holds connections; and its reply.
  Relay,
  RelayReply,
  /// A control instance whose data folder is new asks to join the group.
  ControlJoin,
  /// An entry instance's question for news; and its reply.
  Feed,
  FeedReply,
};

template<>
struct EnumTable<FrameKind>
{
  static constexpr std::array<EnumName<FrameKind>, 13> kRows{ {
    { FrameKind::Consensus, "consensus" },
    { FrameKind::Claim, "claim" },
    { FrameKind::ClaimReply, "claim_reply" },
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
  } };
};

struct Frame
{
  FrameKind kind_ = FrameKind::Membership;
  /// Pairs a reply with its call; 0 for a frame that wants no reply.
  uint64_t correlation_ = 0;
  /// A finished FlatBuffer; the receiver verifies it before use.
  std::string payload_;
};

struct FrameTransportSettings
{
  /// This instance's own name.
  InstanceId instance_;
  /// Address and port to listen on for other instances.
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;
  /// Secret that all instances of the deployment share.
  std::string deploymentKey_;
  /// Largest frame, in bytes.
  uint32_t maxFrameBytes_ = 16 * 1024 * 1024;
  /// Bytes that may wait for one peer; later frames are dropped and counted.
  size_t maxQueuedBytes_ = 16 * 1024 * 1024;
  milliseconds connectTimeout_{ 1000 };

  static FrameTransportSettings Read(JsonReader& aReader);
};

/// Carries length-prefixed frames between the system's own processes over TCP.
/// Both ends prove by a challenge that they hold the deployment's key before
/// any frame is taken. Sending is best effort and keeps the order per peer.
/// Thread safe.
class FrameTransport
{
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// Called on a worker of the pool for each frame of the registered kind.
  /// @p aFrom is the sender's instance name, proved by the handshake.
  using Handler = std::function<void(const InstanceId& aFrom, Frame aFrame)>;
  /// Answers a call; the result is sent back with the call's correlation.
  using CallHandler =
    std::function<boost::asio::awaitable<Frame>(const InstanceId& aFrom,
                                                Frame aFrame)>;

  FrameTransport(FrameTransportSettings aSettings, WorkerPool& aWorkers);
  ~FrameTransport();
  FrameTransport(const FrameTransport&) = delete;
  FrameTransport& operator=(const FrameTransport&) = delete;

  /// Registers before Start().
  void OnFrame(FrameKind aKind, Handler aHandler);
  void OnCall(FrameKind aKind, CallHandler aHandler);

  absl::Status Start();
  void Stop();
  uint16_t Port() const;
  /// @return the address that it listens on, as in the settings.
  const std::string& Address() const;

  /// Queues a frame; connects when needed. Drops it when the peer cannot be
  /// reached or its queue is full.
  void Send(const Endpoint& aTo, Frame aFrame);

  /// Sends a frame and waits for the reply with the same correlation; the
  /// caller's executor must be one thread's, such as a WorkerPool's context.
  ///
  /// @return Unavailable when nothing was sent, for certain; DeadlineExceeded
  /// when no reply came in time; Protocol when the connection broke after the
  /// frame was sent.
  boost::asio::awaitable<absl::StatusOr<Frame>> Call(const Endpoint& aTo,
                                                     Frame aFrame,
                                                     milliseconds aTimeout);

  /// Bytes sent and received since the start, by kind, for the budget of
  /// control.
  uint64_t BytesSent(FrameKind aKind) const;
  uint64_t BytesReceived(FrameKind aKind) const;

  /// Frames that were dropped: the peer could not be reached, its queue was
  /// full, or the connection broke before they were written.
  uint64_t FramesDropped() const;
  /// Connections that were closed because the peer did not prove the key.
  uint64_t HandshakesRefused() const;
  /// Connections that are open now, in both directions.
  uint64_t OpenConnections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_FRAMETRANSPORT_H
