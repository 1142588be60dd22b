#include "policy/LatencyPredictor.h"

#include <algorithm>

namespace foxtail {
namespace {

Duration Scaled(Duration aDuration, double aFactor)
{
  return duration_cast<Duration>(
    std::chrono::duration<double, Duration::period>(
      static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

Duration PredictLatency(const LatencyPredictorSettings& aSettings,
                        const ReplicaCandidate& aReplica,
                        Duration aWork,
                        double aBudgetUsed)
{
  const double warmup = aReplica.isWarmingUp_ ? aSettings.warmupFactor_ : 1;
  const Duration work = Scaled(aWork, aReplica.slowness_ * warmup);
  const double ahead = std::max(aReplica.inFlight_, aReplica.reportedLoad_);
  const double slots = std::max<uint32_t>(aReplica.slots_, 1);
  // Requests beyond the slots wait for whole rounds of work. With fewer
  // requests than slots, a busier server is still slightly slower.
  const double queueRounds = std::max(0.0, ahead + 1 - slots) / slots;
  const double utilizationDelay = 0.25 * std::min(1.0, ahead / slots);
  const Duration expected =
    aReplica.roundTrip_ + Scaled(work, 1 + queueRounds + utilizationDelay);
  Duration predicted = expected + aReplica.permitWait_;
  if (aReplica.needsConnect_) {
    predicted += aReplica.roundTrip_ + aSettings.connectCost_;
  }
  if (aReplica.oldestWait_ >
      Scaled(expected, aSettings.stallFactor_) + aSettings.stallSlack_) {
    predicted += aSettings.stallCost_;
  }
  const Duration failureCost =
    aSettings.failureCost_ +
    Scaled(aSettings.exhaustedBudgetFailureCost_ - aSettings.failureCost_,
           aBudgetUsed);
  predicted += Scaled(failureCost, aReplica.failureRate_);
  if (aReplica.isOtherRegion_) {
    predicted += aSettings.otherRegionCost_;
  }
  return predicted;
}

std::optional<CandidateChoice> ChooseByLatency(
  const LatencyPredictorSettings& aSettings,
  std::span<const ReplicaCandidate> aReplicas,
  Duration aWork,
  double aBudgetUsed,
  RandomSource& aRandom)
{
  constexpr double kJitter = 0.1;
  std::optional<CandidateChoice> best;
  Duration bestRank{};
  bool isBestUnreachable = false;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const Duration predicted =
      PredictLatency(aSettings, aReplicas[i], aWork, aBudgetUsed);
    const Duration rank = Scaled(predicted, 1 + kJitter * aRandom.NextDouble());
    const bool isUnreachable = aReplicas[i].isRecentlyUnreachable_;
    const bool isBetter =
      !best || (isBestUnreachable && !isUnreachable) ||
      (isBestUnreachable == isUnreachable && rank < bestRank);
    if (isBetter) {
      best = CandidateChoice{ i, predicted };
      bestRank = rank;
      isBestUnreachable = isUnreachable;
    }
  }
  return best;
}

} // namespace foxtail
