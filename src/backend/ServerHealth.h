#ifndef BACKEND_SERVERHEALTH_H
#define BACKEND_SERVERHEALTH_H

#include "backend/Attempt.h"
#include "backend/BackendSignals.h"
#include "backend/FleetView.h"
#include "core/RandomSource.h"
#include "policy/InFlightLimiter.h"
#include "policy/PolicySettings.h"

#include <cstdint>
#include <optional>

namespace foxtail {

/// @return what a failed attempt shows, for retries and ejection.
FailureKind FailureKindOf(const Attempt& aAttempt);

/// Learns from the attempts of one backend server: its limit in flight, its
/// latency, and whether it is ejected. Publishes each in the server's signals.
/// Called from the owning worker only.
class ServerHealth
{
public:
  ServerHealth(const PolicySettings& aSettings,
               BackendSignals& aSignals,
               uint32_t aSlots,
               uint32_t aInstances);

  void Configure(uint32_t aSlots, uint32_t aInstances);
  uint32_t Limit() const { return limiter_.Limit(); }

  void OnProbeSent(TimePoint aNow);
  /// Takes an attempt that was written and has its result.
  ///
  /// @param aView where the shard's other replicas are found.
  void OnAttemptEnd(const Attempt& aAttempt,
                    const FleetView& aView,
                    RandomSource& aRandom,
                    TimePoint aNow);
  /// Takes a failure that is no attempt's result: a connect that failed, or an
  /// attempt that was given up as too slow.
  void OnFailure(const RoutedReplica& aReplica,
                 FailureKind aFailure,
                 const FleetView& aView,
                 RandomSource& aRandom,
                 TimePoint aNow);

private:
  void OnReply(const Attempt& aAttempt,
               const FleetView& aView,
               RandomSource& aRandom,
               TimePoint aNow);
  void Publish(TimePoint aNow);
  static void LogVerdict(const RoutedReplica& aReplica,
                         EjectionVerdict aVerdict,
                         std::string_view aReason);

  const PolicySettings& settings_;
  BackendSignals& signals_;
  InFlightLimiter limiter_;
  EjectionPolicy ejection_;
  ReplicaHealth health_;
  uint32_t repliesSinceCheck_ = 0;
};

} // namespace foxtail

#endif // BACKEND_SERVERHEALTH_H
