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

/// How an attempt ended, as far as running is concerned.
enum class AttemptOutcome
{
  /// A whole reply that matches the attempt arrived.
  Replied,
  /// The backend server says that it did not run the request.
  Refused,
  /// No byte of it was written.
  NotSent,
  /// Something was written and no usable reply came: it may have been run.
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
  // Reasons that a backend server gives for refusing.
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

/// The parts of a request that all its attempts share; immutable.
struct RequestContent
{
  std::string requestId_;
  std::string body_;
  /// Empty for queries and for actions without a key.
  std::string idempotencyKey_;
};

class AttemptListener;

/// One try of one request to one backend server. It is owned by one thread at
/// a time: the request's worker makes it, the server's owner runs it, and it
/// comes back to the request's worker with its result.
struct Attempt
{
  AttemptId id_;
  std::shared_ptr<const RoutedReplica> replica_;
  std::shared_ptr<const RequestContent> content_;
  TimePoint deadline_;
  /// A probing request to an ejected server.
  bool isProbe_ = false;
  /// The worker that made it, and gets it back.
  size_t originWorker_ = 0;
  /// Where the result belongs, by the listener's own indices.
  uint32_t catalogueIndex_ = 0;
  uint32_t shardIndex_ = 0;
  std::shared_ptr<AttemptListener> listener_;

  // The result.
  AttemptOutcome outcome_ = AttemptOutcome::NotSent;
  AttemptFault fault_ = AttemptFault::None;
  /// Whole body of the reply, with AttemptOutcome::Replied only.
  std::string reply_;
  std::optional<ReportedLoad> load_;
  TimePoint sentAt_;
  TimePoint endedAt_;
  /// Attempts in flight at the server when this one was sent, itself included.
  uint32_t inFlightAtSend_ = 0;
};

/// Gets the attempts of one request back.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;
  /// Called once for each attempt, on the worker that made it.
  virtual void OnAttemptEnd(std::unique_ptr<Attempt> aAttempt) = 0;
};

} // namespace foxtail

#endif // BACKEND_ATTEMPT_H
