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

/// @return the kind of failure of an attempt, for retries and ejection.
FailureKind FailureKindOf(const Attempt& aAttempt);

/// Estimates the in-flight limit and the latency of one backend server from its
/// attempts, decides its ejection, and publishes all in the server's signals.
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
  /// Evaluates an attempt that was written and has its result.
  ///
  /// @param aView where the shard's other replicas are found.
  void OnAttemptEnd(const Attempt& aAttempt,
                    const FleetView& aView,
                    RandomSource& aRandom,
                    TimePoint aNow);
  /// Evaluates a failure that is not the result of an attempt: a failed
  /// connect, or an abandoned attempt.
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
