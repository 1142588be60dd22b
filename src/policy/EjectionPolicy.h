#ifndef POLICY_EJECTIONPOLICY_H
#define POLICY_EJECTIONPOLICY_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/RandomSource.h"
#include "core/Time.h"
#include "policy/RetryPolicy.h"

#include <cstdint>

namespace foxtail {

struct EjectionSettings
{
  /// Points at which a replica is ejected: a failure of the connection or a
  /// wrong reply is one point, a lost hedge or a timeout hedgePoints_. A good
  /// reply takes all points away.
  double points_ = 3;
  double hedgePoints_ = 0.6;
  /// Latency, as a multiple of its peers' median, at which it is ejected.
  double latencyRatio_ = 4;
  /// Replies that the latency needs before it counts.
  uint32_t minSamples_ = 20;
  /// Latency below which nothing is an outlier.
  milliseconds minOutlierLatency_{ 10 };
  /// Part of a shard's replicas that may be ejected at once.
  double maxEjectedFraction_ = 0.5;
  /// First ejection; doubled with each further one, up to the longest.
  milliseconds baseDuration_{ 1000 };
  milliseconds maxDuration_{ 30000 };
  /// Good time after which earlier ejections are forgotten.
  milliseconds resetAfter_{ 60000 };
  /// A probing request without a result for this long may be sent again.
  milliseconds probeTimeout_{ 5000 };

  static EjectionSettings Read(JsonReader& aReader);
};

/// What the data path has shown of one replica.
struct ReplicaHealth
{
  double points_ = 0;
  /// Failures in a row, for the choice of replicas.
  uint32_t failures_ = 0;
  uint32_t ejections_ = 0;
  bool isEjected_ = false;
  TimePoint ejectedAt_{};
  TimePoint ejectedUntil_{};
  /// When it came back; the epoch when it never was ejected.
  TimePoint returnedAt_{};
  bool isProbeSent_ = false;
  TimePoint probeSentAt_{};
  /// Moving average of the latency.
  Duration latency_{};
  TimePoint latencyAt_{};
  uint32_t samples_ = 0;
  /// Until when a health endpoint's "ill" counts as one point.
  TimePoint unhealthyHintUntil_{};
};

/// The shard's replicas as they stand before the decision.
struct ShardHealth
{
  uint32_t replicas_ = 0;
  uint32_t ejected_ = 0;
};

enum class EjectionVerdict
{
  None,
  Ejected,
  /// It would be ejected, but too many of the shard's replicas are.
  KeptByBound,
  /// The probing request was answered.
  Returned,
};

template<>
struct EnumTable<EjectionVerdict>
{
  static constexpr std::array<EnumName<EjectionVerdict>, 4> kRows{ {
    { EjectionVerdict::None, "none" },
    { EjectionVerdict::Ejected, "ejected" },
    { EjectionVerdict::KeptByBound, "kept_by_bound" },
    { EjectionVerdict::Returned, "returned" },
  } };
};

/// Ejects replicas on evidence of the data path and lets them return by a
/// probing request. Health and load endpoints never decide alone. Pure: the
/// state is the caller's. Thread safe in that it has none of its own.
class EjectionPolicy
{
public:
  explicit EjectionPolicy(EjectionSettings aSettings);

  /// Counts a whole, matching reply.
  EjectionVerdict OnReply(ReplicaHealth& aHealth,
                          Duration aLatency,
                          TimePoint aNow) const;

  /// Counts a failed attempt. Refusals "not run" show a server that lives: they
  /// count as an answer to a probing request, and otherwise not at all.
  EjectionVerdict OnFailure(ReplicaHealth& aHealth,
                            FailureKind aFailure,
                            const ShardHealth& aShard,
                            RandomSource& aRandom,
                            TimePoint aNow) const;

  /// Compares a replica's latency with its peers'. Call it now and then, such
  /// as for each hundredth reply.
  ///
  /// @param aPeersMedian median latency of the shard's other replicas.
  EjectionVerdict CheckLatency(ReplicaHealth& aHealth,
                               Duration aPeersMedian,
                               const ShardHealth& aShard,
                               RandomSource& aRandom,
                               TimePoint aNow) const;

  /// Takes a hint of a health or load endpoint. "Ill" counts as one point for a
  /// short time, beside failures that the data path has seen; "well" changes
  /// nothing.
  void OnHealthHint(ReplicaHealth& aHealth,
                    bool aIsHealthy,
                    TimePoint aNow) const;

  /// @return whether it gets no usual work.
  bool IsEjected(const ReplicaHealth& aHealth) const
  {
    return aHealth.isEjected_;
  }

  /// @return whether one probing request may be sent.
  bool IsProbeDue(const ReplicaHealth& aHealth, TimePoint aNow) const;

  /// Call when the probing request is sent.
  void OnProbeSent(ReplicaHealth& aHealth, TimePoint aNow) const;

private:
  EjectionVerdict Eject(ReplicaHealth& aHealth,
                        const ShardHealth& aShard,
                        RandomSource& aRandom,
                        TimePoint aNow) const;
  void EndEjection(ReplicaHealth& aHealth, TimePoint aNow) const;
  double PointsOf(FailureKind aFailure) const;

  EjectionSettings settings_;
};

} // namespace foxtail

#endif // POLICY_EJECTIONPOLICY_H
