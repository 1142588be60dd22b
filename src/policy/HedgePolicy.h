#ifndef POLICY_HEDGEPOLICY_H
#define POLICY_HEDGEPOLICY_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/Time.h"
#include "policy/DecayingQuantile.h"
#include "policy/PercentBudget.h"

#include <optional>
#include <vector>

namespace foxtail {

struct HedgeSettings
{
  /// Quantile of the shard's recent latencies after which a hedge is sent. It
  /// is raised as needed to keep hedges that are due to latency alone within
  /// the budget.
  double quantile_ = 0.95;
  /// Hedges, as a percentage of the first attempts; 0 disables hedging.
  double budgetPercent_ = 4;
  /// Fraction of the budget that the raised quantile may use; the rest is left
  /// for bursts.
  double plannedBudgetFraction_ = 0.7;
  /// Hedges of one query in flight, as a percentage of its shards; at least
  /// kMinQueryHedges. If many shards of one query are late together, the cause
  /// is not a single server, and hedges would only use up the budget.
  double queryPercent_ = 15;
  /// Most unused hedges that are saved up.
  double burst_ = 20;
  /// Samples from which on a shard's own latencies set its delay; with fewer,
  /// the layout's latencies are used.
  uint32_t minSamples_ = 50;
  /// Delay while there are too few samples.
  milliseconds initialDelay_{ 50 };
  /// Lower bound of the delay.
  milliseconds minDelay_{ 1 };
  /// Number of samples after which all counts are halved.
  uint32_t halveAfter_ = 2000;

  static HedgeSettings Read(JsonReader& aReader);
};

/// State of an outstanding attempt whose hedge delay has passed.
struct HedgeInput
{
  bool isAction_ = false;
  /// Whether overload was detected: sheds, an exhausted limit or queued
  /// requests.
  bool isOverloaded_ = false;
  /// Whether a replica is left that was not tried.
  bool hasUntriedReplica_ = false;
  /// Attempts for this shard in flight.
  uint32_t inFlight_ = 1;
  Duration timeLeft_{};
  /// Shards of the whole query, and its hedges in flight.
  uint32_t queryShards_ = 1;
  uint32_t queryHedges_ = 0;
};

/// Hedges that one query may have in flight, however few shards it has.
inline constexpr uint32_t kMinQueryHedges = 2;

enum class HedgeVerdict
{
  Send,
  /// The request is not idempotent.
  Action,
  Overloaded,
  NoOtherReplica,
  /// A hedge is already in flight.
  Hedged,
  /// No reply can be expected before the deadline.
  NoTime,
  /// The query has reached its limit of hedges in flight.
  QueryLimit,
  NoBudget,
};

template<>
struct EnumTable<HedgeVerdict>
{
  static constexpr std::array<EnumName<HedgeVerdict>, 8> kRows{ {
    { HedgeVerdict::Send, "send" },
    { HedgeVerdict::Action, "action" },
    { HedgeVerdict::Overloaded, "overloaded" },
    { HedgeVerdict::NoOtherReplica, "no_other_replica" },
    { HedgeVerdict::Hedged, "hedged" },
    { HedgeVerdict::NoTime, "no_time" },
    { HedgeVerdict::QueryLimit, "query_limit" },
    { HedgeVerdict::NoBudget, "no_budget" },
  } };
};

/// Decides when to send a hedge for a slow attempt, for the shards of one
/// layout of one service. Not thread safe: each worker has its own object.
class HedgePolicy
{
public:
  HedgePolicy(HedgeSettings aSettings, uint32_t aShards);

  /// Counts a first attempt.
  void OnSent() { budget_.OnSent(); }

  /// @param aLatency latency of a reply, or the time until an attempt was
  /// cancelled. Without cancelled attempts slow shards would look fast and be
  /// hedged earlier and earlier.
  void OnLatency(uint32_t aShard, Duration aLatency);

  /// @return the delay from the first attempt after which to call Decide().
  Duration Delay(uint32_t aShard) const;

  /// @return the median latency of the shard; zero without samples.
  Duration MedianLatency(uint32_t aShard) const;

  /// Takes a token of the budget if the verdict is Send.
  HedgeVerdict Decide(uint32_t aShard, const HedgeInput& aInput);

  /// Applies changed settings and keeps the latencies.
  void Configure(const HedgeSettings& aSettings);

private:
  double EffectiveQuantile() const;
  uint32_t QueryLimit(uint32_t aShards) const;
  void UpdateLayoutSpread();
  const DecayingQuantile& DistributionFor(uint32_t aShard) const;

  HedgeSettings settings_;
  PercentBudget budget_;
  DecayingQuantile layoutLatencies_;
  std::vector<DecayingQuantile> shardLatencies_;
  /// The layout's hedge quantile divided by its median. It bounds each shard's
  /// delay by a multiple of the shard's median, since a high quantile of few
  /// samples, or of a shard with one slow replica, is itself the latency of a
  /// straggler.
  std::optional<double> layoutSpread_;
  uint32_t samplesSinceSpread_ = 0;
};

} // namespace foxtail

#endif // POLICY_HEDGEPOLICY_H
