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
  /// Points at which a replica is ejected. A connection failure or an invalid
  /// reply is one point, a lost hedge or a timeout is hedgePoints_. A valid
  /// reply resets the points to 0.
  double points_ = 3;
  double hedgePoints_ = 0.6;
  /// Latency at which a replica is ejected, as a multiple of its peers' median.
  double latencyRatio_ = 4;
  /// Replies from which on the latency is evaluated.
  uint32_t minSamples_ = 20;
  /// Replicas with a latency below this are never outliers.
  milliseconds minOutlierLatency_{ 10 };
  /// Fraction of a shard's replicas that may be ejected at once.
  double maxEjectedFraction_ = 0.5;
  /// Duration of the first ejection; it doubles with each further one, up to
  /// maxDuration_.
  milliseconds baseDuration_{ 1000 };
  milliseconds maxDuration_{ 30000 };
  /// Time without an ejection after which the count of earlier ejections is
  /// reset.
  milliseconds resetAfter_{ 60000 };
  /// Time after which a probe without a result may be sent again.
  milliseconds probeTimeout_{ 5000 };

  static EjectionSettings Read(JsonReader& aReader);
};

/// Health of one replica, as observed through its replies and failures.
struct ReplicaHealth
{
  double points_ = 0;
  /// Consecutive failures, an input to the choice of replicas.
  uint32_t failures_ = 0;
  uint32_t ejections_ = 0;
  bool isEjected_ = false;
  TimePoint ejectedAt_{};
  TimePoint ejectedUntil_{};
  /// When the last ejection ended; the epoch if the replica was never ejected.
  TimePoint returnedAt_{};
  bool isProbeSent_ = false;
  TimePoint probeSentAt_{};
  /// Moving average of the latency.
  Duration latency_{};
  TimePoint latencyAt_{};
  uint32_t samples_ = 0;
  /// Until this time an unhealthy report of a health endpoint counts as one
  /// point.
  TimePoint unhealthyHintUntil_{};
};

/// The shard's replicas before the decision.
struct ShardHealth
{
  uint32_t replicas_ = 0;
  uint32_t ejected_ = 0;
};

enum class EjectionVerdict
{
  None,
  Ejected,
  /// Not ejected, since too many of the shard's replicas are ejected already.
  KeptByBound,
  /// The probe was answered, and the ejection ended.
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

/// Ejects replicas by the outcomes of requests and ends the ejection by a
/// probe. Health and load endpoints never cause an ejection by themselves. The
/// caller owns the state; the policy has none, so it is thread safe.
class EjectionPolicy
{
public:
  explicit EjectionPolicy(EjectionSettings aSettings);

  /// Counts a complete reply that matches its request.
  EjectionVerdict OnReply(ReplicaHealth& aHealth,
                          Duration aLatency,
                          TimePoint aNow) const;

  /// Counts a failed attempt. A refusal, not run, shows that the server is
  /// alive: it counts as an answer to a probe, and otherwise not at all.
  EjectionVerdict OnFailure(ReplicaHealth& aHealth,
                            FailureKind aFailure,
                            const ShardHealth& aShard,
                            RandomSource& aRandom,
                            TimePoint aNow) const;

  /// Compares a replica's latency with its peers'. Call it at intervals, such
  /// as for every hundredth reply.
  ///
  /// @param aPeersMedian median latency of the shard's other replicas.
  EjectionVerdict CheckLatency(ReplicaHealth& aHealth,
                               Duration aPeersMedian,
                               const ShardHealth& aShard,
                               RandomSource& aRandom,
                               TimePoint aNow) const;

  /// Takes the result of a health or load endpoint. An unhealthy result counts
  /// as one point for a short time, in addition to failed requests; a healthy
  /// one has no effect.
  void OnHealthHint(ReplicaHealth& aHealth,
                    bool aIsHealthy,
                    TimePoint aNow) const;

  /// @return whether the replica gets no requests except probes.
  bool IsEjected(const ReplicaHealth& aHealth) const
  {
    return aHealth.isEjected_;
  }

  /// @return whether one probe may be sent.
  bool IsProbeDue(const ReplicaHealth& aHealth, TimePoint aNow) const;

  /// Call when the probe is sent.
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
