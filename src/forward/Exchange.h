#ifndef FORWARD_EXCHANGE_H
#define FORWARD_EXCHANGE_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>
#include <memory>
#include <string>

namespace foxtail {

/// A caller's request, as it is passed on.
struct ForwardRequest
{
  RequestId id_;
  std::string host_;
  /// As the caller wrote it.
  std::string method_;
  std::string target_;
  /// Header lines that are passed on, each with its line end; without those
  /// that this system sets itself.
  std::string headers_;
  std::string body_;
  bool hasBody_ = false;
  bool isHead_ = false;
  TimePoint startedAt_{};
  /// When the caller began, by the round trips that its bytes took.
  TimePoint callerStartedAt_{};
  /// How long an answer is on its way to the caller.
  Duration returnDelay_{};
  /// When the caller stops waiting.
  TimePoint deadline_{};
};

/// A backend server's whole reply.
struct ForwardReply
{
  unsigned status_ = 0;
  boost::beast::http::fields headers_;
  std::string body_;
  std::string signature_;

  bool IsSuccess() const { return status_ >= 200 && status_ < 300; }
};

/// How an exchange with a backend server ended, as far as running is concerned.
enum class ExchangeOutcome
{
  /// A whole reply that belongs to the request arrived.
  Answered,
  /// The backend server says that it has not run the request.
  Refused,
  /// No byte of the request was written.
  NotSent,
  /// Something was written and no usable reply came: it may have been run.
  Failed,
};

template<>
struct EnumTable<ExchangeOutcome>
{
  static constexpr std::array<EnumName<ExchangeOutcome>, 4> kRows{ {
    { ExchangeOutcome::Answered, "answered" },
    { ExchangeOutcome::Refused, "refused" },
    { ExchangeOutcome::NotSent, "not_sent" },
    { ExchangeOutcome::Failed, "failed" },
  } };
};

enum class ExchangeFault
{
  None,
  /// The server is full, or the time was over before it began.
  Shed,
  /// Another server has the address.
  WrongServer,
  ConnectFailed,
  ConnectTimeout,
  QueueFull,
  /// The connection ended before a reply began.
  Closed,
  /// A new connection was reset at once: the server has too many.
  ResetOnConnect,
  Truncated,
  Malformed,
  TooLarge,
  /// The reply belongs to another request.
  RequestIdMismatch,
  /// A success without the server's signature, or in an encoding.
  Unsigned,
  /// No reply came within the time for it.
  TimedOut,
  /// Nobody waits for it any more.
  Abandoned,
  /// The server has left.
  ServerRemoved,
};

template<>
struct EnumTable<ExchangeFault>
{
  static constexpr std::array<EnumName<ExchangeFault>, 16> kRows{ {
    { ExchangeFault::None, "none" },
    { ExchangeFault::Shed, "shed" },
    { ExchangeFault::WrongServer, "wrong_server" },
    { ExchangeFault::ConnectFailed, "connect_failed" },
    { ExchangeFault::ConnectTimeout, "connect_timeout" },
    { ExchangeFault::QueueFull, "no_room" },
    { ExchangeFault::Closed, "closed" },
    { ExchangeFault::ResetOnConnect, "turned_away" },
    { ExchangeFault::Truncated, "cut_short" },
    { ExchangeFault::Malformed, "malformed" },
    { ExchangeFault::TooLarge, "too_large" },
    { ExchangeFault::RequestIdMismatch, "wrong_request" },
    { ExchangeFault::Unsigned, "unsigned" },
    { ExchangeFault::TimedOut, "timed_out" },
    { ExchangeFault::Abandoned, "abandoned" },
    { ExchangeFault::ServerRemoved, "retired" },
  } };
};

class Exchange;

/// Gets the end of each exchange that it began, once, and never from within the
/// call that began it.
class ExchangeListener
{
public:
  virtual ~ExchangeListener() = default;
  virtual void OnExchangeEnd(Exchange& aExchange, TimePoint aNow) = 0;
};

/// One request to one backend server. Shared by the run that began it and the
/// server's connections; one thread's.
class Exchange
{
public:
  std::shared_ptr<const ForwardRequest> request_;
  /// Until then an answer is of use; told to the server as time left.
  TimePoint deadline_{};
  /// Usual time of such a request's work at a free server.
  Duration expectedServerTime_{};
  std::weak_ptr<ExchangeListener> listener_;
  /// The listener's own index.
  uint32_t serviceIndex_ = 0;
  /// It is not the request's first one for its service.
  bool isExtraAttempt_ = false;

  TimePoint startedAt_{};
  /// Zero until its first byte was written.
  TimePoint sentAt_{};
  /// Requests of this instance ahead of it at the server.
  uint32_t outstandingAtSend_ = 0;
  bool isAbandoned_ = false;
  /// An abandoned exchange that lasts until then has its connection closed.
  TimePoint closeAt_ = TimePoint::max();

  ExchangeOutcome outcome_ = ExchangeOutcome::NotSent;
  ExchangeFault fault_ = ExchangeFault::None;
  ForwardReply reply_;

  bool IsSent() const { return sentAt_ != TimePoint{}; }
};

} // namespace foxtail

#endif // FORWARD_EXCHANGE_H
