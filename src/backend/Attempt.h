#ifndef BACKEND_ATTEMPT_H
#define BACKEND_ATTEMPT_H

#include "backend/ReportedLoad.h"
#include "backend/RoutedReplica.h"
#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <memory>
#include <optional>
#include <string>

namespace foxtail {

/// How an attempt ended; states whether the server may have run the request.
enum class AttemptOutcome
{
  /// A complete reply that matches the attempt was received.
  Replied,
  /// The backend server refused the request and did not run it.
  Refused,
  /// No byte of the request was written.
  NotSent,
  /// Part or all of the request was written and no usable reply was received:
  /// the server may have run it.
  Failed,
};

template<>
struct EnumTable<AttemptOutcome>
{
  static constexpr std::array<EnumName<AttemptOutcome>, 4> kRows{ {
    { AttemptOutcome::Replied, "replied" },
    { AttemptOutcome::Refused, "refused" },
    { AttemptOutcome::NotSent, "not_sent" },
    { AttemptOutcome::Failed, "failed" },
  } };
};

/// Why an attempt has no result.
enum class AttemptFault
{
  None,
  // Reasons in a refusal by the backend server.
  Overloaded,
  Draining,
  Deadline,
  Version,
  Shard,
  Cancelled,
  // Faults of the connection and of the reply.
  ConnectFailed,
  ConnectionClosed,
  CutShort,
  Malformed,
  TooLarge,
  BadStatus,
  WrongAttempt,
  WrongVersion,
  WrongShard,
  BadBody,
  QueueFull,
};

template<>
struct EnumTable<AttemptFault>
{
  static constexpr std::array<EnumName<AttemptFault>, 18> kRows{ {
    { AttemptFault::None, "none" },
    { AttemptFault::Overloaded, "overloaded" },
    { AttemptFault::Draining, "draining" },
    { AttemptFault::Deadline, "deadline" },
    { AttemptFault::Version, "version" },
    { AttemptFault::Shard, "shard" },
    { AttemptFault::Cancelled, "cancelled" },
    { AttemptFault::ConnectFailed, "connect_failed" },
    { AttemptFault::ConnectionClosed, "connection_closed" },
    { AttemptFault::CutShort, "cut_short" },
    { AttemptFault::Malformed, "malformed" },
    { AttemptFault::TooLarge, "too_large" },
    { AttemptFault::BadStatus, "bad_status" },
    { AttemptFault::WrongAttempt, "wrong_attempt" },
    { AttemptFault::WrongVersion, "wrong_version" },
    { AttemptFault::WrongShard, "wrong_shard" },
    { AttemptFault::BadBody, "bad_body" },
    { AttemptFault::QueueFull, "queue_full" },
  } };
};

/// Id, body and key of a request, shared by all its attempts; immutable.
struct RequestContent
{
  std::string requestId_;
  std::string body_;
  /// Empty for queries and for actions without a key.
  std::string idempotencyKey_;
};

class AttemptListener;

/// One send of one request to one backend server. An attempt is owned by one
/// thread at a time: the request's worker creates it, the worker that owns the
/// server sends it, and it returns to the request's worker with its result.
struct Attempt
{
  AttemptId id_;
  std::shared_ptr<const RoutedReplica> replica_;
  std::shared_ptr<const RequestContent> content_;
  TimePoint deadline_;
  /// Probes an ejected server.
  bool isProbe_ = false;
  /// Index of the worker that created the attempt and receives the result.
  size_t originWorker_ = 0;
  /// Catalogue and shard of the result, as indices of the listener.
  uint32_t catalogueIndex_ = 0;
  uint32_t shardIndex_ = 0;
  std::shared_ptr<AttemptListener> listener_;

  // The result.
  AttemptOutcome outcome_ = AttemptOutcome::NotSent;
  AttemptFault fault_ = AttemptFault::None;
  /// Body of the reply; only with AttemptOutcome::Replied.
  std::string reply_;
  std::optional<ReportedLoad> load_;
  TimePoint sentAt_;
  TimePoint endedAt_;
  /// Attempts in flight at the server when this one was sent, itself included.
  uint32_t inFlightAtSend_ = 0;
};

/// Receives the attempts of one request when they have ended.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;
  /// Called once for each attempt, on the worker that created it.
  virtual void OnAttemptEnd(std::unique_ptr<Attempt> aAttempt) = 0;
};

} // namespace foxtail

#endif // BACKEND_ATTEMPT_H
