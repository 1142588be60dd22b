#ifndef FORWARD_CALLERCONNECTION_H
#define FORWARD_CALLERCONNECTION_H

#include "core/HeaderCost.h"
#include "forward/CallerPort.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace foxtail {

/// One connection of a caller, which handles one request at a time. It keeps
/// reading while a request is in progress, so that a disconnect is detected at
/// once. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;

  CallerConnection(Socket aSocket, CallerPort& aPort);

  void Start(TimePoint aNow);
  /// Closes the connection if it has been idle for too long, or refuses its
  /// request if the request takes too long to arrive.
  void CloseIfTimedOut(const CallerLimits& aLimits, TimePoint aNow);
  /// Closes the connection of a stopping instance unless a request is in
  /// progress, has arrived and not been read, or may be on its way as the
  /// connection is new.
  void CloseIfUnused(TimePoint aNow);
  /// Limits the time of the request in progress, as the instance is stopping.
  void LimitAnswerTime(TimePoint aAnswerBy, TimePoint aNow);
  /// Refuses a request that has not arrived in full.
  void RefuseIfIncomplete();
  void Close();
  /// Closes the connection for the sake of others: refuses a request that has
  /// not arrived in full.
  void Evict();
  /// @param aIndex stored in the result.
  ConnectionProgress Progress(size_t aIndex, TimePoint aNow) const;

private:
  friend class CallerPort;

  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Error = boost::system::error_code;

  enum class Phase
  {
    /// Waiting for the first byte of a request.
    Idle,
    Reading,
    /// A request is in progress.
    Running,
    Writing,
    Closed,
  };

  void StartParser();
  void Read();
  void OnRead(const Error& aError, size_t aBytes);
  void Parse(TimePoint aNow);
  /// Passes the bytes read to the parser.
  /// @return whether to continue.
  bool ParseBuffer(TimePoint aNow);
  /// Discards the body of a request without a route.
  void DiscardUnusedBody(TimePoint aNow);
  /// @return the bytes held for the caller, with those of the next read.
  size_t HeldBytes() const;
  /// Charges the bytes held for the caller.
  /// @return false if the connection was closed or its request refused.
  bool Reserve(TimePoint aNow);
  void OnParseError(const Error& aError);
  void OnRequest(TimePoint aNow);
  ForwardRequest ReleaseRequest(TimePoint aNow);
  void SendAnswer(const ForwardAnswer& aAnswer);
  void Refuse(unsigned aStatus, std::string_view aReason);
  void Write();
  void OnWritten(const Error& aError);
  void OnCallerDisconnected(TimePoint aNow);
  void SetPhase(Phase aPhase, TimePoint aNow);
  /// @return the round-trip time to the caller as measured by TCP, or zero if
  /// it is unavailable.
  Duration RoundTrip();

  Socket socket_;
  CallerPort& port_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Phase phase_ = Phase::Idle;
  TimePoint phaseSince_{};
  bool isReading_ = false;
  bool isContinueSent_ = false;
  bool mustClose_ = false;
  bool isFirstRequest_ = true;
  bool isHead_ = false;
  std::shared_ptr<PendingRequest> handler_;
  std::string output_;
  ByteCharge charge_;
  RecentProgress progress_;
  /// Bytes of the request beside those in buffer_.
  size_t requestBytes_ = 0;
  HeaderCost headerCost_;
  bool isHeaderChecked_ = false;
  /// The answer to a request whose body is not used.
  std::optional<ForwardAnswer> refusal_;
};

} // namespace foxtail

#endif // FORWARD_CALLERCONNECTION_H
