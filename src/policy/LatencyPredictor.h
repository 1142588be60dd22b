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
  /// Added for a backend server in another region. Traffic between regions is
  /// billed, so a server in the own region is preferred until its queue costs
  /// more than this.
  Duration otherRegionCost_ = milliseconds(4);
  /// A server is taken to be stalled if its oldest request has been outstanding
  /// for more than this multiple of the expected latency. 3 lies above the
  /// slowest 1% of the typical spread of work.
  double stallFactor_ = 3;
  /// Added to the above, so that scheduling delays do not make servers with
  /// short replies look stalled.
  Duration stallSlack_ = milliseconds(15);
  /// Expected delay by a stalled server: half of the pauses of 250 to 300 ms
  /// that servers make.
  Duration stallCost_ = milliseconds(150);
  /// Cost of a failed attempt while the budget of extra attempts lasts: the
  /// extra attempt and its delay.
  Duration failureCost_ = milliseconds(200);
  /// Cost of a failed attempt once the budget is used up: the answer is lost,
  /// so it is several times a typical objective of 100 to 250 ms.
  Duration exhaustedBudgetFailureCost_ = milliseconds(300);
  /// Added to a round trip if no connection to the server is open: the server
  /// takes 6 ms to set up a new connection.
  Duration connectCost_ = milliseconds(6);
  /// Slowness ratio of a server that is warming up.
  double warmupFactor_ = 1.6;
};

/// State of one backend server that may be chosen for an attempt.
struct ReplicaCandidate
{
  /// Shortest round trip to the server measured so far.
  Duration roundTrip_{};
  /// Service time at the server divided by the service's typical one.
  double slowness_ = 1;
  uint32_t slots_ = 1;
  /// Requests of this instance in flight at the server.
  uint32_t inFlight_ = 0;
  /// Requests running and queued at the server, by its latest recent report.
  uint32_t reportedLoad_ = 0;
  /// Age of this instance's oldest outstanding request to the server.
  Duration oldestWait_{};
  /// Fraction of recent attempts that failed, 0 to 1.
  double failureRate_ = 0;
  bool isWarmingUp_ = false;
  bool isOtherRegion_ = false;
  /// Whether no idle connection to the server exists and one has to be opened.
  bool needsConnect_ = false;
  /// Time until the request may be sent, by the server's rate limit.
  Duration permitWait_{};
  /// Whether a recent connection attempt failed; such a server is used only if
  /// no other is left.
  bool isRecentlyUnreachable_ = false;
};

/// @param aWork typical service time of the request at an idle server.
/// @param aBudgetUsed used fraction of the service's budget of extra attempts,
/// 0 to 1.
/// @return the predicted time until the reply.
Duration PredictLatency(const LatencyPredictorSettings& aSettings,
                        const ReplicaCandidate& aReplica,
                        Duration aWork,
                        double aBudgetUsed);

struct CandidateChoice
{
  size_t index_ = 0;
  Duration predicted_{};
};

/// Chooses the replica with the lowest predicted latency; recently unreachable
/// ones come last. A jitter of 10% keeps instances with the same data from all
/// choosing the same replica.
///
/// @return nothing if @p aReplicas is empty.
std::optional<CandidateChoice> ChooseByLatency(
  const LatencyPredictorSettings& aSettings,
  std::span<const ReplicaCandidate> aReplicas,
  Duration aWork,
  double aBudgetUsed,
  RandomSource& aRandom);

} // namespace foxtail

#endif // POLICY_LATENCYPREDICTOR_H
