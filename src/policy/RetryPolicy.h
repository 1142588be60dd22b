#ifndef POLICY_RETRYPOLICY_H
#define POLICY_RETRYPOLICY_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/RandomSource.h"
#include "core/Time.h"
#include "policy/PercentBudget.h"

namespace foxtail {

/// How an attempt failed, as observed by the instance that sent it.
enum class FailureKind
{
  /// The connection could not be opened; nothing was written.
  ConnectFailed,
  /// The connection was lost after at least one byte was written.
  ConnectionLost,
  /// No reply within the attempt's timeout.
  Timeout,
  /// An error status without proof that the request was not run.
  ServerError,
  /// A reply for another attempt, version or shard, or with a truncated body.
  BadReply,
  /// Refused, not run: the server is overloaded.
  RefusedOverloaded,
  /// Refused, not run: the server is draining.
  RefusedDraining,
  /// Refused, not run: the server does not have the version or shard.
  RefusedVersion,
  /// Refused, not run: the server cannot answer by the deadline.
  RefusedDeadline,
  /// Cancelled by this instance, since another attempt replied first.
  HedgeLost,
};

template<>
struct EnumTable<FailureKind>
{
  static constexpr std::array<EnumName<FailureKind>, 10> kRows{ {
    { FailureKind::ConnectFailed, "connect_failed" },
    { FailureKind::ConnectionLost, "connection_lost" },
    { FailureKind::Timeout, "timeout" },
    { FailureKind::ServerError, "server_error" },
    { FailureKind::BadReply, "bad_reply" },
    { FailureKind::RefusedOverloaded, "refused_overloaded" },
    { FailureKind::RefusedDraining, "refused_draining" },
    { FailureKind::RefusedVersion, "refused_version" },
    { FailureKind::RefusedDeadline, "refused_deadline" },
    { FailureKind::HedgeLost, "hedge_lost" },
  } };
};

/// @return whether @p aKind proves that the attempt was not run.
bool IsProvenNotRun(FailureKind aKind);

struct RetrySettings
{
  /// Retries that count against the budget, as a percentage of the first
  /// attempts.
  double budgetPercent_ = 10;
  /// Most unused retries that are saved up. Covers the sudden loss of a server.
  double burst_ = 50;
  /// Attempts per shard, hedges included.
  uint32_t maxAttempts_ = 4;
  /// Longest delay before the third attempt; it doubles with each further one.
  /// The second attempt is sent at once.
  milliseconds backoff_{ 5 };
  milliseconds maxBackoff_{ 100 };

  static RetrySettings Read(JsonReader& aReader);
};

struct RetryInput
{
  FailureKind failure_ = FailureKind::Timeout;
  bool isAction_ = false;
  /// Attempts for this shard so far, the failed one included.
  uint32_t attempts_ = 1;
  /// Whether a replica is left that was not tried. After a refusal by overload,
  /// tried replicas may be tried again after the delay.
  bool hasUntriedReplica_ = false;
  Duration timeLeft_{};
  /// Median latency of the shard.
  Duration typicalLatency_{};
};

enum class RetryVerdict
{
  Retry,
  /// Another attempt is in flight or has replied.
  NotNeeded,
  /// The request is not idempotent and may have been run.
  Action,
  MaxAttempts,
  NoOtherReplica,
  NoTime,
  NoBudget,
};

template<>
struct EnumTable<RetryVerdict>
{
  static constexpr std::array<EnumName<RetryVerdict>, 7> kRows{ {
    { RetryVerdict::Retry, "retry" },
    { RetryVerdict::NotNeeded, "not_needed" },
    { RetryVerdict::Action, "action" },
    { RetryVerdict::MaxAttempts, "max_attempts" },
    { RetryVerdict::NoOtherReplica, "no_other_replica" },
    { RetryVerdict::NoTime, "no_time" },
    { RetryVerdict::NoBudget, "no_budget" },
  } };
};

struct RetryDecision
{
  RetryVerdict verdict_ = RetryVerdict::NotNeeded;
  /// Delay before the retry is sent.
  Duration delay_{};
};

/// Decides whether a failed attempt of one service is retried on another
/// replica. Not thread safe: each worker has its own object.
class RetryPolicy
{
public:
  explicit RetryPolicy(RetrySettings aSettings);

  /// Counts a first attempt.
  void OnSent() { budget_.OnSent(); }

  RetryDecision Decide(const RetryInput& aInput, RandomSource& aRandom);

  /// Applies changed settings and keeps the tokens.
  void Configure(const RetrySettings& aSettings);

private:
  Duration RandomBackoff(uint32_t aAttempts, RandomSource& aRandom) const;

  RetrySettings settings_;
  PercentBudget budget_;
};

} // namespace foxtail

#endif // POLICY_RETRYPOLICY_H
