#ifndef POLICY_RETRYPOLICY_H
#define POLICY_RETRYPOLICY_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/RandomSource.h"
#include "core/Time.h"
#include "policy/PercentBudget.h"

namespace foxtail {

/// How an attempt failed, as seen on the data path.
enum class FailureKind
{
  /// The connection could not be opened: nothing was written.
  ConnectFailed,
  /// The connection was lost after a byte was written.
  ConnectionLost,
  /// No reply in the attempt's time.
  Timeout,
  /// An error status without proof of not run.
  ServerError,
  /// Wrong attempt, version or shard, or a body cut short.
  BadReply,
  /// Refused unrun by an overloaded server.
  RefusedOverloaded,
  /// Refused unrun by a draining server.
  RefusedDraining,
  /// Refused unrun since the version or shard is not there.
  RefusedVersion,
  /// Refused unrun since it could not be done by the deadline.
  RefusedDeadline,
  /// Cancelled by this instance, since another attempt won.
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
  /// Retries that may add load, as a percentage of the first attempts.
  double budgetPercent_ = 10;
  /// Most retries saved up; what the sudden loss of a server needs.
  double burst_ = 50;
  /// Attempts of one shard, hedges included.
  uint32_t maxAttempts_ = 4;
  /// Longest wait before the third attempt; doubles with each further one. The
  /// second is sent at once.
  milliseconds backoff_{ 5 };
  milliseconds maxBackoff_{ 100 };

  static RetrySettings Read(JsonReader& aReader);
};

struct RetryInput
{
  FailureKind failure_ = FailureKind::Timeout;
  bool isAction_ = false;
  /// Attempts of this shard so far, the failed one included.
  uint32_t attempts_ = 1;
  /// Whether a replica is left that was not tried. For a failure by overload
  /// the caller may forget the tried ones after the wait.
  bool hasUntriedReplica_ = false;
  Duration timeLeft_{};
  /// Median latency of the shard.
  Duration typicalLatency_{};
};

enum class RetryVerdict
{
  Retry,
  /// Another attempt is under way or has won.
  NotNeeded,
  /// Not idempotent, and it may have been run.
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
  /// How long to wait before the retry.
  Duration delay_{};
};

/// Decides whether a failed attempt of one service is tried again on another
/// replica. Not thread safe: one object for each worker.
class RetryPolicy
{
public:
  explicit RetryPolicy(RetrySettings aSettings);

  /// Counts a first attempt.
  void OnSent() { budget_.OnSent(); }

  RetryDecision Decide(const RetryInput& aInput, RandomSource& aRandom);

  /// Takes over changed settings and keeps the tokens.
  void Configure(const RetrySettings& aSettings);

private:
  Duration RandomBackoff(uint32_t aAttempts, RandomSource& aRandom) const;

  RetrySettings settings_;
  PercentBudget budget_;
};

} // namespace foxtail

#endif // POLICY_RETRYPOLICY_H
