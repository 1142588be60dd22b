#ifndef POLICY_LATENCYPREDICTOR_H
#define POLICY_LATENCYPREDICTOR_H

#include "core/RandomSource.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace foxtail {

struct LatencyPredictorSettings
{
  /// Added for a backend server in another region: its bytes are priced, so a
  /// near one is preferred until its queue costs more than this.
  Duration otherRegionCost_ = milliseconds(4);
  /// A reply that is later than this many times the expected one shows that
  /// the server stands still; 3 lies above the slowest hundredth of the usual
  /// spread of work.
  double stallFactor_ = 3;
  /// Added to the above, so that short replies are not judged by scheduling
  /// delays.
  Duration stallSlack_ = milliseconds(15);
  /// What a server that stands still is expected to add: half of the pauses of
  /// 250 to 300 ms that servers make.
  Duration stallCost_ = milliseconds(150);
  /// What a failed attempt costs while second attempts are within their
  /// budget: such an attempt and its delay.
  Duration failureCost_ = milliseconds(200);
  /// What it costs when the budget is used up: the answer itself, several
  /// times a usual objective of 100 to 250 ms.
  Duration exhaustedBudgetFailureCost_ = milliseconds(300);
  /// Added to a round trip for a server that no connection is open to: what its
  /// work on a new connection takes, measured as 6 ms.
  Duration connectCost_ = milliseconds(6);
  /// How much slower a server is while it warms up.
  double warmupFactor_ = 1.6;
};

/// What is known of one backend server when a replica is chosen.
struct ReplicaCandidate
{
  /// Shortest time seen for a round trip to it.
  Duration roundTrip_{};
  /// Its time for work over the usual time of its service; 1 is usual.
  double slowness_ = 1;
  uint32_t slots_ = 1;
  /// Requests of this instance that it has not answered.
  uint32_t inFlight_ = 0;
  /// Requests running and waiting there by its latest report that is recent.
  uint32_t reportedLoad_ = 0;
  /// How long the oldest unanswered request of this instance has waited.
  Duration oldestWait_{};
  /// Part of recent attempts that failed, 0 to 1.
  double failureRate_ = 0;
  bool isWarmingUp_ = false;
  bool isOtherRegion_ = false;
  /// No connection to it is free, so that one has to be opened first.
  bool needsConnect_ = false;
  /// May be used only when no other is left: it could not be reached lately.
  bool isRecentlyUnreachable_ = false;
};

/// @param aWork usual time of the request's work at a free server.
/// @param aBudgetUsed used part of the service's budget of second attempts, 0
/// to 1.
/// @return the time after which an answer is expected.
Duration PredictLatency(const LatencyPredictorSettings& aSettings,
                        const ReplicaCandidate& aReplica,
                        Duration aWork,
                        double aBudgetUsed);

struct CandidateChoice
{
  size_t index_ = 0;
  Duration predicted_{};
};

/// Chooses the replica with the least predicted latency; those that are suspect
/// come last. A tenth of jitter keeps instances that know the same from
/// choosing the same.
///
/// @return nothing when there is none.
std::optional<CandidateChoice> ChooseByLatency(
  const LatencyPredictorSettings& aSettings,
  std::span<const ReplicaCandidate> aReplicas,
  Duration aWork,
  double aBudgetUsed,
  RandomSource& aRandom);

} // namespace foxtail

#endif // POLICY_LATENCYPREDICTOR_H
