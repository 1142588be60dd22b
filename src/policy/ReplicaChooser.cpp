#include "policy/ReplicaChooser.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace foxtail {
namespace {

constexpr size_t kMaxReplicas = 64;
constexpr size_t kTierCount = 3;
constexpr milliseconds kLongestHalfLife{ 60000 };

/// Indices into the span of views, without allocation.
struct IndexList
{
  std::array<uint8_t, kMaxReplicas> items_;
  size_t size_ = 0;

  void Add(size_t aIndex) { items_[size_++] = static_cast<uint8_t>(aIndex); }
  bool IsEmpty() const { return size_ == 0; }
};

struct SortedReplicas
{
  std::array<IndexList, kTierCount> tiers_;
  IndexList ejected_;
  size_t draining_ = 0;
  size_t atLimit_ = 0;
  const ReplicaView* probe_ = nullptr;
};

double Decay(TimePoint aSince, milliseconds aHalfLife, TimePoint aNow)
{
  const double age = std::max(0.0, ToMilliseconds(aNow - aSince));
  return std::exp2(-age / static_cast<double>(aHalfLife.count()));
}

bool IsAtLimit(const ReplicaView& aView)
{
  return aView.inFlight_ >= aView.inFlightLimit_ || aView.isOutOfConnections_;
}

SortedReplicas SortReplicas(std::span<const ReplicaView> aReplicas)
{
  SortedReplicas result;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const ReplicaView& view = aReplicas[i];
    if (view.isTried_) {
      continue;
    }
    if (view.isDraining_) {
      ++result.draining_;
    } else if (IsAtLimit(view)) {
      ++result.atLimit_;
    } else if (view.isProbeDue_) {
      result.probe_ = &view;
      result.ejected_.Add(i);
    } else if (view.isEjected_) {
      result.ejected_.Add(i);
    } else {
      result.tiers_[static_cast<size_t>(view.distance_)].Add(i);
    }
  }
  return result;
}

/// Compares replicas of one shard.
class Scorer
{
public:
  Scorer(const ReplicaChooserSettings& aSettings,
         std::span<const ReplicaView> aReplicas,
         TimePoint aNow)
    : settings_(aSettings)
    , replicas_(aReplicas)
    , now_(aNow)
  {
  }

  double Load(const ReplicaView& aView, double aFastest) const
  {
    const double slots = aView.slots_;
    double others =
      std::min(aView.othersLoad_, settings_.maxOthersLoadPerSlot_ * slots);
    const bool isFast = aView.latency_ > Duration::zero() &&
                        ToMilliseconds(aView.latency_) <=
                          aFastest * settings_.queueLatencyFactor_;
    // A reported queue that does not slow down the replies is taken to be
    // wrong.
    if (others > slots && isFast) {
      others = slots / 2;
    }
    const double decayed =
      others * Decay(aView.reportedAt_, settings_.reportHalfLife_, now_);
    return aView.inFlight_ + decayed;
  }

  /// @return the lowest known latency, in ms, or 0 if none is known.
  double FastestLatencyMs(const IndexList& aList) const
  {
    Duration fastest{};
    for (size_t i = 0; i < aList.size_; ++i) {
      const Duration latency = replicas_[aList.items_[i]].latency_;
      if (latency > Duration::zero() &&
          (fastest == Duration::zero() || latency < fastest)) {
        fastest = latency;
      }
    }
    return ToMilliseconds(fastest);
  }

  /// @return a cost proportional to the predicted latency.
  double Score(const ReplicaView& aView, double aFastest) const
  {
    const double load = Load(aView, aFastest);
    double slowness = 1;
    if (aFastest > 0 && aView.latency_ > Duration::zero()) {
      const double ratio = ToMilliseconds(aView.latency_) / aFastest;
      slowness +=
        (ratio - 1) * Decay(aView.latencyAt_, settings_.latencyHalfLife_, now_);
    }
    return slowness * (1 + load) / aView.slots_ * (1 + aView.failures_);
  }

  /// @return the load per slot of a tier.
  double LoadPerSlot(const IndexList& aList) const
  {
    const double fastest = FastestLatencyMs(aList);
    double load = 0;
    double slots = 0;
    for (size_t i = 0; i < aList.size_; ++i) {
      const ReplicaView& view = replicas_[aList.items_[i]];
      load += Load(view, fastest);
      slots += view.slots_;
    }
    return load / slots;
  }

private:
  const ReplicaChooserSettings& settings_;
  std::span<const ReplicaView> replicas_;
  TimePoint now_;
};

/// Draws an index of @p aList by ramp weight.
///
/// @param aSkip position to leave out, or the list's size.
size_t DrawByWeight(const IndexList& aList,
                    std::span<const ReplicaView> aReplicas,
                    size_t aSkip,
                    RandomSource& aRandom)
{
  const auto weightAt = [&](size_t aPosition) {
    return aPosition == aSkip ? 0
                              : aReplicas[aList.items_[aPosition]].rampWeight_;
  };
  double total = 0;
  for (size_t i = 0; i < aList.size_; ++i) {
    total += weightAt(i);
  }
  double point = aRandom.NextDouble() * total;
  size_t last = aSkip == 0 ? 1 : 0;
  for (size_t i = 0; i < aList.size_; ++i) {
    if (i == aSkip) {
      continue;
    }
    last = i;
    point -= weightAt(i);
    if (point < 0) {
      break;
    }
  }
  return last;
}

uint32_t ChooseBetterOfTwo(const Scorer& aScorer,
                           const ReplicaChooserSettings& aSettings,
                           std::span<const ReplicaView> aReplicas,
                           const IndexList& aList,
                           RandomSource& aRandom)
{
  if (aList.size_ == 1) {
    return aList.items_[0];
  }
  const size_t first = DrawByWeight(aList, aReplicas, aList.size_, aRandom);
  const size_t second = DrawByWeight(aList, aReplicas, first, aRandom);
  const double fastest = aScorer.FastestLatencyMs(aList);
  const double firstScore =
    aScorer.Score(aReplicas[aList.items_[first]], fastest);
  const double secondScore =
    aScorer.Score(aReplicas[aList.items_[second]], fastest);
  // On a tie the first draw is used, which follows the weights.
  const bool isSecondBetter = secondScore * aSettings.tieFactor_ < firstScore;
  return aList.items_[isSecondBetter ? second : first];
}

/// @return the nearest tier that is not empty or, for a fraction of the
/// requests that grows with the nearer tier's load, the next one. A fraction
/// rather than a threshold keeps instances from moving all their requests at
/// once.
size_t ChooseTier(const ReplicaChooserSettings& aSettings,
                  const Scorer& aScorer,
                  const SortedReplicas& aSorted,
                  RandomSource& aRandom)
{
  size_t tier = 0;
  while (aSorted.tiers_[tier].IsEmpty()) {
    ++tier;
  }
  size_t next = tier + 1;
  while (next < kTierCount && aSorted.tiers_[next].IsEmpty()) {
    ++next;
  }
  if (next == kTierCount) {
    return tier;
  }
  const double load = aScorer.LoadPerSlot(aSorted.tiers_[tier]);
  if (load <= aSettings.spillStartLoad_) {
    return tier;
  }
  const double nextLoad = aScorer.LoadPerSlot(aSorted.tiers_[next]);
  if (nextLoad > load * aSettings.spillMaxLoadRatio_) {
    return tier;
  }
  const double fraction =
    (load - aSettings.spillStartLoad_) /
    (aSettings.spillFullLoad_ - aSettings.spillStartLoad_);
  return aRandom.Chance(fraction) ? next : tier;
}

ReplicaReason ReasonForNoChoice(const SortedReplicas& aSorted)
{
  if (aSorted.atLimit_ > 0) {
    return ReplicaReason::AllAtLimit;
  }
  return aSorted.draining_ > 0 ? ReplicaReason::AllDraining
                               : ReplicaReason::NoneLeft;
}

/// @return whether a nearer tier has replicas, none of which can be used now.
bool IsFallback(std::span<const ReplicaView> aReplicas, size_t aTier)
{
  return std::any_of(
    aReplicas.begin(), aReplicas.end(), [&](const ReplicaView& aView) {
      return static_cast<size_t>(aView.distance_) < aTier;
    });
}

} // namespace

ReplicaChooserSettings ReplicaChooserSettings::Read(JsonReader& aReader)
{
  ReplicaChooserSettings result;
  const milliseconds shortest(1);
  result.reportHalfLife_ = aReader.Millis(
    "report_half_life_ms", result.reportHalfLife_, shortest, kLongestHalfLife);
  result.latencyHalfLife_ = aReader.Millis("latency_half_life_ms",
                                           result.latencyHalfLife_,
                                           shortest,
                                           kLongestHalfLife);
  result.maxOthersLoadPerSlot_ =
    aReader.Number("report_cap", result.maxOthersLoadPerSlot_, 0, 100);
  result.queueLatencyFactor_ =
    aReader.Number("contradiction_factor", result.queueLatencyFactor_, 1, 10);
  result.tieFactor_ = aReader.Number("tie_factor", result.tieFactor_, 1, 10);
  result.spillStartLoad_ =
    aReader.Number("spill_from", result.spillStartLoad_, 0.1, 100);
  result.spillFullLoad_ =
    aReader.Number("spill_full", result.spillFullLoad_, 0.1, 100);
  result.spillMaxLoadRatio_ =
    aReader.Number("spill_advantage", result.spillMaxLoadRatio_, 0.01, 1);
  if (result.spillFullLoad_ <= result.spillStartLoad_) {
    aReader.Fault("spill_full", "is not above spill_from; give a larger load");
  }
  return result;
}

ReplicaChoice ChooseReplica(const ReplicaChooserSettings& aSettings,
                            std::span<const ReplicaView> aReplicas,
                            bool aMayProbe,
                            RandomSource& aRandom,
                            TimePoint aNow)
{
  aReplicas = aReplicas.first(std::min(aReplicas.size(), kMaxReplicas));
  const SortedReplicas sorted = SortReplicas(aReplicas);
  if (sorted.probe_ != nullptr && aMayProbe) {
    return { sorted.probe_->replica_, true, ReplicaReason::Probe };
  }
  const Scorer scorer(aSettings, aReplicas, aNow);
  const bool hasUsable =
    std::any_of(sorted.tiers_.begin(),
                sorted.tiers_.end(),
                [](const IndexList& aList) { return !aList.IsEmpty(); });
  if (!hasUsable && sorted.atLimit_ == 0 && !sorted.ejected_.IsEmpty()) {
    const uint32_t index =
      ChooseBetterOfTwo(scorer, aSettings, aReplicas, sorted.ejected_, aRandom);
    return { aReplicas[index].replica_, true, ReplicaReason::LastResort };
  }
  if (!hasUsable) {
    return { 0, false, ReasonForNoChoice(sorted) };
  }
  const size_t tier = ChooseTier(aSettings, scorer, sorted, aRandom);
  const uint32_t index = ChooseBetterOfTwo(
    scorer, aSettings, aReplicas, sorted.tiers_[tier], aRandom);
  ReplicaReason reason = ReplicaReason::Nearest;
  const bool isNearerUsable =
    std::any_of(sorted.tiers_.begin(),
                sorted.tiers_.begin() + static_cast<std::ptrdiff_t>(tier),
                [](const IndexList& aList) { return !aList.IsEmpty(); });
  if (isNearerUsable) {
    reason = ReplicaReason::SpillOver;
  } else if (IsFallback(aReplicas, tier)) {
    reason = ReplicaReason::FarFallback;
  }
  return { aReplicas[index].replica_, true, reason };
}

} // namespace foxtail
