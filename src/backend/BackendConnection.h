#ifndef BACKEND_BACKENDCONNECTION_H
#define BACKEND_BACKENDCONNECTION_H

#include "backend/Attempt.h"
#include "backend/BackendSettings.h"
#include "backend/ReplyParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

class BackendConnection;

enum class ConnectionState
{
  Connecting,
  Idle,
  /// Waits for the reply to an attempt.
  Busy,
  /// Waits for the late reply to an abandoned attempt.
  Draining,
  /// Waits for the reply to a cancel request.
  Cancelling,
  Closed,
};

/// Receives the events of a connection, on the connection's thread.
class BackendConnectionListener
{
public:
  virtual ~BackendConnectionListener() = default;
  virtual void OnConnected(BackendConnection& aConnection) = 0;
  /// The attempt has its result. The connection is idle again or closed.
  virtual void OnAttemptDone(BackendConnection& aConnection,
                             std::unique_ptr<Attempt> aAttempt) = 0;
  /// A late reply or the reply to a cancel request was read to its end and
  /// discarded.
  ///
  /// @param aPreviousState state before the event: Draining or Cancelling.
  virtual void OnDrained(BackendConnection& aConnection,
                         ConnectionState aPreviousState) = 0;
  /// The connection closed while it had no attempt.
  virtual void OnClosed(BackendConnection& aConnection,
                        ConnectionState aPreviousState,
                        AttemptFault aFault) = 0;
};

/// One connection to a backend server, with at most one exchange at a time. A
/// read is always pending, so that a close, and bytes that belong to no
/// exchange, are detected at once. After an abandoned attempt the connection
/// takes the next one only when the late reply was read to its end. Called from
/// one thread.
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
  using State = ConnectionState;

  BackendConnection(boost::asio::io_context& aContext,
                    const boost::asio::ip::tcp::endpoint& aEndpoint,
                    const BackendSettings& aSettings,
                    std::shared_ptr<ReplyMemory> aReplyMemory,
                    BackendConnectionListener& aListener);
  ~BackendConnection();
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Starts to connect; the listener receives the result.
  void Connect(TimePoint aNow);

  /// Sends an attempt; the state must be Idle.
  void Send(std::unique_ptr<Attempt> aAttempt, TimePoint aNow);

  /// Sends a cancel request for an attempt that runs on another connection; the
  /// state must be Idle.
  void SendCancel(AttemptId aId, TimePoint aNow);

  /// Abandons the attempt and waits for its late reply; the state must be Busy.
  ///
  /// @return the attempt, without a result.
  std::unique_ptr<Attempt> Abandon(TimePoint aNow);

  /// Closes without notifying the listener.
  void Close();

  /// Closes the connection and notifies the listener if Connecting, Draining or
  /// Cancelling has exceeded its timeout.
  void CloseIfOverdue(TimePoint aNow);

  State GetState() const { return state_; }
  /// @return whether any exchange on this connection ended with a complete
  /// reply.
  bool HasCompletedExchange() const { return hasCompletedExchange_; }
  const Attempt* GetAttempt() const { return attempt_.get(); }

private:
  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;
  using Error = boost::system::error_code;

  void OnConnect(const Error& aError);
  void Read();
  void OnRead(const Error& aError, size_t aBytes);
  /// Passes the bytes read to the parser.
  /// @return whether to continue reading.
  bool Parse();
  /// Bounds the memory of the incomplete reply.
  /// @return None, or why it has to be given up.
  AttemptFault CheckReplySize();
  void WriteRest(std::string aRest);
  void OnReplyComplete();
  AttemptFault CheckReply(const RoutedReplica& aReplica) const;
  AttemptFault FaultOfErrorReply() const;
  void SetResult(Attempt& aAttempt);
  void EndAttempt(AttemptOutcome aEnd, AttemptFault aFault);
  /// Closes and notifies the listener.
  void Fail(AttemptFault aFault);
  template<typename Buffers>
  void Write(const Buffers& aBuffers, size_t aBytes);

  boost::asio::ip::tcp::endpoint endpoint_;
  const BackendSettings& settings_;
  BackendConnectionListener& listener_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<ReplyParser> parser_;
  std::shared_ptr<ReplyMemory> replyMemory_;
  /// Bytes of the incomplete reply that are counted in replyMemory_.
  size_t heldReplyBytes_ = 0;
  /// Informational (1xx) replies to the current request.
  uint32_t informationalReplies_ = 0;
  State state_ = State::Connecting;
  bool hasCompletedExchange_ = false;
  TimePoint stateSince_;
  std::unique_ptr<Attempt> attempt_;
  /// The part of a request that the socket did not accept at once.
  std::string unsentBytes_;
};

} // namespace foxtail

#endif // BACKEND_BACKENDCONNECTION_H
