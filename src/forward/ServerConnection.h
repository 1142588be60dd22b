#ifndef FORWARD_SERVERCONNECTION_H
#define FORWARD_SERVERCONNECTION_H

#include "forward/Exchange.h"
#include "forward/ForwardSettings.h"
#include "forward/HeaderNames.h"
#include "forward/ServerNotices.h"
#include "policy/ReplyLimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace foxtail {

class ServerConnection;

enum class ServerConnectionState
{
  Connecting,
  Idle,
  /// An exchange is outstanding.
  Busy,
  Closed,
};

/// Receives the events of a connection, never from within Connect() or Send().
class ServerConnectionListener
{
public:
  virtual ~ServerConnectionListener() = default;
  virtual void OnConnectionOpen(ServerConnection& aConnection,
                                TimePoint aNow) = 0;
  /// The exchange has finished; its outcome is set. The connection is idle or
  /// closed.
  virtual void OnExchangeDone(ServerConnection& aConnection,
                              std::shared_ptr<Exchange> aExchange,
                              TimePoint aNow) = 0;
  /// The connection was closed without an outstanding exchange.
  virtual void OnConnectionClosed(ServerConnection& aConnection,
                                  ExchangeFault aFault,
                                  TimePoint aNow) = 0;
};

/// Load figures that a backend server reports in a reply header.
struct ReportedServerLoad
{
  uint32_t running_ = 0;
  uint32_t waiting_ = 0;
  uint32_t slots_ = 0;
  /// Current execution time as a multiple of the usual one, 1 when unstated.
  double slowness_ = 1;
};

/// Limit on the rate of requests from all instances together, as a reply states
/// it.
struct StatedRateLimit
{
  /// Requests per second; nothing when the reply states no limit.
  std::optional<double> perSecond_;
  /// Whether the header is present, but its value is not a number of requests.
  bool isMalformed_ = false;
};

/// @return the limit in @p aText, the value of the header.
StatedRateLimit ParseRateLimit(std::string_view aText);

/// @return the load figures in @p aText, or nothing when they are malformed.
std::optional<ReportedServerLoad> ParseServerLoad(std::string_view aText);

/// One HTTP/1.1 connection to one backend server, with one exchange at a time.
/// It is closed after bytes beyond a reply, a reply to another request, or any
/// protocol error, so that no reply is delivered to the wrong request. A server
/// may send a second copy of a reply late, which only its request id
/// distinguishes from the reply to a later request. Hence a connection is not
/// used again after a reply without an id, and a reply without an id is not
/// accepted on a connection that was used before. Not thread-safe.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(boost::asio::io_context& aContext,
                   boost::asio::ip::tcp::endpoint aEndpoint,
                   std::string aServer,
                   const ServerConnectionSettings& aSettings,
                   const HeaderNames& aHeaderNames,
                   ReplyMemory& aReplyMemory,
                   ServerConnectionListener& aListener);

  void Connect(TimePoint aNow);
  /// Writes the exchange's request. The connection must be idle.
  void Send(std::shared_ptr<Exchange> aExchange, TimePoint aNow);
  /// Closes the connection without notifying the listener, and discards an
  /// outstanding exchange.
  void CloseWithoutNotice();
  /// Closes the connection and notifies the listener with @p aFault as the
  /// cause.
  void Abort(ExchangeFault aFault, TimePoint aNow);

  ServerConnectionState State() const { return state_; }
  TimePoint StateSince() const { return stateSince_; }
  const std::shared_ptr<Exchange>& CurrentExchange() const { return exchange_; }
  /// @return the time after which the connection is closed when idle.
  milliseconds IdleLimit() const { return idleLimit_; }
  const std::optional<ReportedServerLoad>& Load() const { return load_; }
  /// @return the rate limit in the latest reply.
  const StatedRateLimit& RateLimit() const { return rateLimit_; }
  /// @return what the latest reply of the server itself states of its process.
  const ServerNotices& Notices() const { return notices_; }
  /// @return whether the reply to a request with this id is distinguishable
  /// from a late second copy of the reply before.
  bool CanCarry(const RequestId& aRequest) const
  {
    return requestsSent_ == 0 || lastRequestId_ != aRequest;
  }
  /// @return the duration of the connect.
  Duration ConnectTime() const { return connectTime_; }

private:
  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Error = boost::system::error_code;

  void OnConnected(const Error& aError);
  void SetOptions();
  void Read();
  void OnRead(const Error& aError, size_t aBytes);
  void Parse(TimePoint aNow);
  /// @return the fault of an incomplete reply that exceeds a limit, or None.
  ExchangeFault CheckReplySize();
  void OnReadError(const Error& aError, TimePoint aNow);
  /// @return whether the server reset the connection right after accepting it,
  /// before anything was read.
  bool IsResetOnConnect(const Error& aError, TimePoint aNow) const;
  void WriteRest();
  void OnReply(TimePoint aNow);
  void ClassifyReply(Exchange& aExchange, Parser::value_type& aReply);
  void ApplyKeepAlive(const Parser::value_type& aReply);
  void Close(ExchangeFault aFault, TimePoint aNow);
  void SetState(ServerConnectionState aState, TimePoint aNow);
  void StartParser();

  const boost::asio::ip::tcp::endpoint endpoint_;
  const std::string server_;
  const ServerConnectionSettings& settings_;
  const HeaderNames& headerNames_;
  ServerConnectionListener* listener_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  ServerConnectionState state_ = ServerConnectionState::Connecting;
  TimePoint stateSince_{};
  Duration connectTime_{};
  TimePoint connectedAt_{};
  /// Whether any bytes were read from the connection.
  bool hasRead_ = false;
  milliseconds idleLimit_;
  std::optional<ReportedServerLoad> load_;
  StatedRateLimit rateLimit_;
  ServerNotices notices_;
  std::shared_ptr<Exchange> exchange_;
  RequestId lastRequestId_;
  uint32_t requestsSent_ = 0;
  /// Informational (1xx) replies to the current request.
  uint32_t informationalReplies_ = 0;
  ReplyMemory& replyMemory_;
  /// Bytes of the incomplete reply that are counted in replyMemory_.
  size_t heldReplyBytes_ = 0;
  /// Serialised request.
  std::string output_;
  size_t written_ = 0;
  bool isWriting_ = false;
};

} // namespace foxtail

#endif // FORWARD_SERVERCONNECTION_H
