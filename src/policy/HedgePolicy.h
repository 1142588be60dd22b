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
  /// Quantile of the learned latency after which a hedge is sent. It is raised
  /// so that hedges by latency alone stay within the budget.
  double quantile_ = 0.95;
  /// Hedges, as a percentage of the first attempts; 0 for none.
  double budgetPercent_ = 4;
  /// Part of the budget that the raised quantile plans for; the rest is left
  /// for bursts.
  double plannedBudgetFraction_ = 0.7;
  /// Hedges of one query in flight, as a percentage of its shards; at least
  /// kMinQueryHedges. When many shards of one query are late together, the
  /// cause is no single server, and hedges would only spend the budget.
  double queryPercent_ = 15;
  /// Most hedges saved up.
  double burst_ = 20;
  /// Samples that a shard needs to have a delay of its own; below it the
  /// layout's is used.
  uint32_t minSamples_ = 50;
  /// Delay before there are samples.
  milliseconds initialDelay_{ 50 };
  /// Smallest delay.
  milliseconds minDelay_{ 1 };
  /// Samples after which older ones count half.
  uint32_t halveAfter_ = 2000;

  static HedgeSettings Read(JsonReader& aReader);
};

/// State of one unanswered attempt whose hedge delay is over.
struct HedgeInput
{
  bool isAction_ = false;
  /// Overload was seen: sheds, a full limit or waiting requests.
  bool isOverloaded_ = false;
  /// Whether a replica is left that was not tried.
  bool hasUntriedReplica_ = false;
  /// Attempts of this shard in flight.
  uint32_t inFlight_ = 1;
  Duration timeLeft_{};
  /// Shards of the whole query, and its hedges in flight.
  uint32_t queryShards_ = 1;
  uint32_t queryHedges_ = 0;
};

/// Hedges that one query may have in flight however few its shards are.
inline constexpr uint32_t kMinQueryHedges = 2;

enum class HedgeVerdict
{
  Send,
  /// Not idempotent.
  Action,
  Overloaded,
  NoOtherReplica,
  /// One hedge is in flight already.
  Hedged,
  /// No reply could be expected before the deadline.
  NoTime,
  /// The query has as many hedges in flight as it may.
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

/// Decides when a second attempt is sent beside a slow one, for the shards of
/// one layout of one service. Not thread safe: one object for each worker.
class HedgePolicy
{
public:
  HedgePolicy(HedgeSettings aSettings, uint32_t aShards);

  /// Counts a first attempt.
  void OnSent() { budget_.OnSent(); }

  /// @param aLatency of a reply, or the time that an attempt had taken when it
  /// was cancelled: leaving out cancelled attempts would make slow shards look
  /// fast and hedge them ever sooner.
  void OnLatency(uint32_t aShard, Duration aLatency);

  /// @return the delay after which Decide() is to be asked, from when the first
  /// attempt was sent.
  Duration Delay(uint32_t aShard) const;

  /// @return the median latency of the shard; zero without samples.
  Duration MedianLatency(uint32_t aShard) const;

  /// Takes a token of the budget when the verdict is Send.
  HedgeVerdict Decide(uint32_t aShard, const HedgeInput& aInput);

  /// Takes over changed settings and keeps what was learned.
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
  /// The layout's hedge quantile as a multiple of its median. It bounds each
  /// shard's delay by the shard's median: a high quantile of few samples, or of
  /// a shard with one slow replica, is a straggler's latency itself.
  std::optional<double> layoutSpread_;
  uint32_t samplesSinceSpread_ = 0;
};

} // namespace foxtail

#endif // POLICY_HEDGEPOLICY_H
