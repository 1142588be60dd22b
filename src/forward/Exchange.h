#ifndef FORWARD_EXCHANGE_H
#define FORWARD_EXCHANGE_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "policy/CrashDetector.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

/// A caller's request in the form in which it is forwarded.
struct ForwardRequest
{
  RequestId id_;
  std::string host_;
  /// Method token as sent by the caller.
  std::string method_;
  std::string target_;
  /// End-to-end header lines to forward, each terminated by CRLF, without those
  /// that this system sets itself.
  std::string headers_;
  std::string body_;
  /// Credentials of the caller, also among headers_; empty if there are none.
  std::string credentials_;
  /// Team whose key the caller sent; empty without teams or a key.
  std::string team_;
  /// Whether headers_ has the team's name in place of the caller's credentials
  /// and team header.
  bool hasTeamHeaders_ = false;
  RequestFingerprint fingerprint_;
  /// Whether a backend server has replied to an attempt, so that the request is
  /// no cause of crashes. Set by the connections that the attempts are sent on.
  mutable bool hasReply_ = false;
  /// Whether the team's quota has a permit for it, and by when the first
  /// attempt must be sent.
  bool hasPermit_ = false;
  TimePoint sendBy_ = TimePoint::max();
  /// Whether an attempt has been sent. Set by the pools of connections.
  mutable bool isSent_ = false;
  bool hasBody_ = false;
  bool isHead_ = false;
  TimePoint startedAt_{};
  /// Estimated time at which the caller began, from the round trip to it.
  TimePoint callerStartedAt_{};
  /// Estimated transit time of an answer to the caller.
  Duration returnDelay_{};
  /// Caller deadline.
  TimePoint deadline_{};
};

/// A complete reply of a backend server.
struct ForwardReply
{
  unsigned status_ = 0;
  boost::beast::http::fields headers_;
  std::string body_;
  std::string signature_;

  bool IsSuccess() const { return status_ >= 200 && status_ < 300; }
};

/// Outcome of an exchange with a backend server, by whether the server may have
/// run the request.
enum class ExchangeOutcome
{
  /// A complete reply to this request was received.
  Answered,
  /// The backend server reported that it has not run the request.
  Refused,
  /// No byte of the request was written.
  NotSent,
  /// At least one byte was written and no usable reply was received: the
  /// request may have been run.
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
  /// The server was overloaded, or the time limit passed before it ran the
  /// request.
  Shed,
  /// Another server than the announced one uses the address (status 421).
  WrongServer,
  ConnectFailed,
  ConnectTimeout,
  QueueFull,
  /// The connection was closed before any byte of a reply.
  Closed,
  /// A new connection was reset at once, as by a server that has too many
  /// connections.
  ResetOnConnect,
  Truncated,
  Malformed,
  TooLarge,
  /// The reply belongs to another request.
  RequestIdMismatch,
  /// A successful reply without the server's signature, or with a content
  /// encoding.
  Unsigned,
  /// No reply was received in time.
  TimedOut,
  /// The request handler abandoned the exchange.
  Abandoned,
  /// The server was removed from the directory.
  ServerRemoved,
  /// The rate limits of the servers allowed no request in time.
  RateLimited,
  /// The server has stated a time for which it accepts no requests.
  Refusing,
  /// No connection was free while the permit of the team's quota was valid.
  PermitExpired,
};

template<>
struct EnumTable<ExchangeFault>
{
  static constexpr std::array<EnumName<ExchangeFault>, 19> kRows{ {
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
    { ExchangeFault::RateLimited, "rate_limited" },
    { ExchangeFault::Refusing, "refusing" },
    { ExchangeFault::PermitExpired, "permit_expired" },
  } };
};

class Exchange;

/// Is notified once of the outcome of each exchange that it began, never from
/// within the call that began it.
class ExchangeListener
{
public:
  virtual ~ExchangeListener() = default;
  virtual void OnExchangeEnd(Exchange& aExchange, TimePoint aNow) = 0;
};

/// One attempt: a request sent to one backend server. Shared by the request
/// handler that began it and the server's connections. Not thread-safe.
class Exchange
{
public:
  std::shared_ptr<const ForwardRequest> request_;
  /// Header lines that replace those of the request, if set.
  std::optional<std::string> headers_;
  /// Time until which a reply is of use; sent to the server as the time left.
  TimePoint deadline_{};
  /// Maximum body size of a reply whose length the server does not state.
  size_t maxUnsizedReplyBytes_ = size_t{ 1024 } * 1024;
  /// Usual server time of the route's requests.
  Duration expectedServerTime_{};
  std::weak_ptr<ExchangeListener> listener_;
  /// Index of the service, assigned by the listener; for a query, the shard's
  /// index in GatherTarget::shards_.
  uint32_t serviceIndex_ = 0;
  /// Whether this is a retry or a hedge, not the first attempt for its service.
  bool isExtraAttempt_ = false;

  TimePoint startedAt_{};
  /// When the request was written to a connection; zero before.
  TimePoint sentAt_{};
  /// Outstanding requests of this instance at the server when it was sent.
  uint32_t outstandingAtSend_ = 0;
  bool isAbandoned_ = false;
  /// Time at which the connection of the exchange is closed if it was abandoned
  /// and has not finished.
  TimePoint closeAt_ = TimePoint::max();

  ExchangeOutcome outcome_ = ExchangeOutcome::NotSent;
  ExchangeFault fault_ = ExchangeFault::None;
  ForwardReply reply_;

  bool IsSent() const { return sentAt_ != TimePoint{}; }
  /// @return whether the connection ended without a reply, as when the server
  /// crashes.
  bool IsUnanswered() const
  {
    return outcome_ == ExchangeOutcome::Failed &&
           (fault_ == ExchangeFault::Closed ||
            fault_ == ExchangeFault::ResetOnConnect ||
            fault_ == ExchangeFault::Truncated);
  }
};

} // namespace foxtail

#endif // FORWARD_EXCHANGE_H
