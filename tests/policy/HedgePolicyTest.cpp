#include "policy/HedgePolicy.h"
#include "core/LatencyHistogram.h"
#include "core/RandomSource.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <optional>
#include <string>

using namespace foxtail;

namespace {

HedgeInput MakeInput()
{
  HedgeInput input;
  input.hasUntriedReplica_ = true;
  input.timeLeft_ = seconds(1);
  return input;
}

/// Latency of one backend request: 3 ms plus an exponential part with a mean of
/// 1 ms, and 20 times that for stragglers.
Duration DrawLatency(RandomSource& aRandom, double aStragglerFraction)
{
  const double ms = 3 - std::log(1 - aRandom.NextDouble());
  const double factor = aRandom.Chance(aStragglerFraction) ? 20 : 1;
  return microseconds(static_cast<int64_t>(ms * factor * 1000));
}

enum class HedgeMode
{
  None,
  FixedDelay,
  Learned,
};

struct Tail
{
  double p99Ms_ = 0;
  double extraPercent_ = 0;
};

/// Runs queries over 25 shards whose servers never queue.
Tail RunQueries(HedgeMode aMode, double aStragglerFraction)
{
  constexpr uint32_t kShards = 25;
  constexpr int kQueries = 8000;
  RandomSource random(11);
  HedgePolicy policy({}, kShards);
  LatencyHistogram latencies;
  int hedges = 0;
  for (int query = 0; query < kQueries; ++query) {
    Duration slowest{};
    for (uint32_t shard = 0; shard < kShards; ++shard) {
      policy.OnSent();
      const Duration first = DrawLatency(random, aStragglerFraction);
      const Duration delay = aMode == HedgeMode::Learned
                               ? policy.Delay(shard)
                               : Duration(milliseconds(5));
      Duration latency = first;
      const bool isDue = aMode != HedgeMode::None && first > delay;
      if (isDue && (aMode == HedgeMode::FixedDelay ||
                    policy.Decide(shard, MakeInput()) == HedgeVerdict::Send)) {
        ++hedges;
        const Duration second = delay + DrawLatency(random, aStragglerFraction);
        latency = std::min(first, second);
      }
      policy.OnLatency(shard, latency);
      slowest = std::max(slowest, latency);
    }
    latencies.Add(slowest);
  }
  return { ToMilliseconds(latencies.Quantile(0.99)),
           100.0 * hedges / (kQueries * kShards) };
}

} // namespace

TEST_CASE("quantile: follows the samples, and old samples decay")
{
  DecayingQuantile quantile(1000);
  CHECK(quantile.Quantile(0.5) == Duration::zero());
  for (int i = 1; i <= 900; ++i) {
    quantile.Add(microseconds(100 * i));
  }
  CHECK(ToMilliseconds(quantile.Quantile(0.5)) ==
        doctest::Approx(45).epsilon(0.16));
  CHECK(ToMilliseconds(quantile.Quantile(0.99)) ==
        doctest::Approx(89).epsilon(0.16));
  for (int i = 0; i < 5000; ++i) {
    quantile.Add(milliseconds(1));
  }
  CHECK(ToMilliseconds(quantile.Quantile(0.95)) < 1.2);
  quantile.Add(seconds(10000));
  CHECK(quantile.Quantile(1) >= seconds(45));
}

TEST_CASE("hedge: conditions for sending one")
{
  using Change = void (*)(HedgeInput&);
  struct Row
  {
    std::string name_;
    Change change_;
    HedgeVerdict verdict_;
  };
  const Row rows[] = {
    { "slow reply", [](HedgeInput&) {}, HedgeVerdict::Send },
    { "action",
      [](HedgeInput& aInput) { aInput.isAction_ = true; },
      HedgeVerdict::Action },
    { "overload detected",
      [](HedgeInput& aInput) { aInput.isOverloaded_ = true; },
      HedgeVerdict::Overloaded },
    { "no other replica",
      [](HedgeInput& aInput) { aInput.hasUntriedReplica_ = false; },
      HedgeVerdict::NoOtherReplica },
    { "hedge in flight already",
      [](HedgeInput& aInput) { aInput.inFlight_ = 2; },
      HedgeVerdict::Hedged },
    { "no time for a reply",
      [](HedgeInput& aInput) { aInput.timeLeft_ = milliseconds(4); },
      HedgeVerdict::NoTime },
    { "many late shards in one query",
      [](HedgeInput& aInput) {
        aInput.queryShards_ = 40;
        aInput.queryHedges_ = 6;
      },
      HedgeVerdict::QueryLimit },
    { "second hedge of a small query",
      [](HedgeInput& aInput) {
        aInput.queryShards_ = 3;
        aInput.queryHedges_ = 1;
      },
      HedgeVerdict::Send },
    { "third hedge of a small query",
      [](HedgeInput& aInput) {
        aInput.queryShards_ = 3;
        aInput.queryHedges_ = 2;
      },
      HedgeVerdict::QueryLimit },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    HedgePolicy policy({}, 1);
    for (int i = 0; i < 100; ++i) {
      policy.OnLatency(0, milliseconds(5));
    }
    HedgeInput input = MakeInput();
    row.change_(input);
    CHECK(policy.Decide(0, input) == row.verdict_);
  }
}

TEST_CASE("hedge: with enough samples a shard has its own delay")
{
  HedgePolicy policy({}, 2);
  CHECK(policy.Delay(0) == HedgeSettings().initialDelay_);
  for (int i = 0; i < 200; ++i) {
    policy.OnLatency(0, milliseconds(10));
  }
  CHECK(ToMilliseconds(policy.Delay(1)) == doctest::Approx(10).epsilon(0.16));
  for (int i = 0; i < 200; ++i) {
    policy.OnLatency(1, milliseconds(100));
  }
  CHECK(ToMilliseconds(policy.Delay(0)) == doctest::Approx(10).epsilon(0.16));
  CHECK(ToMilliseconds(policy.Delay(1)) == doctest::Approx(100).epsilon(0.16));
}

TEST_CASE("hedge: a slow replica of one shard does not delay its hedges")
{
  // One of three replicas of shard 0 is always slow; the other shards are not.
  constexpr uint32_t kShards = 25;
  HedgePolicy policy({}, kShards);
  for (int i = 0; i < 300; ++i) {
    for (uint32_t shard = 0; shard < kShards; ++shard) {
      const bool isSlow = shard == 0 && i % 3 == 0;
      policy.OnLatency(shard, milliseconds(isSlow ? 100 : 5));
    }
  }
  CHECK(policy.Delay(0) < milliseconds(10));
}

TEST_CASE("hedge: a few stragglers among few samples do not delay hedges")
{
  constexpr uint32_t kShards = 25;
  HedgePolicy policy({}, kShards);
  for (int i = 0; i < 60; ++i) {
    for (uint32_t shard = 0; shard < kShards; ++shard) {
      const bool isStraggler = shard == 3 && i % 20 == 0;
      policy.OnLatency(shard, milliseconds(isStraggler ? 100 : 5));
    }
  }
  CHECK(policy.Delay(3) < milliseconds(10));
}

TEST_CASE("hedge: stays within the budget, and none is sent without a budget")
{
  for (const double percent : { 0.0, 1.0, 4.0 }) {
    CAPTURE(percent);
    HedgeSettings settings;
    settings.budgetPercent_ = percent;
    HedgePolicy policy(settings, 1);
    int sent = 0;
    constexpr int kRequests = 10000;
    for (int i = 0; i < kRequests; ++i) {
      policy.OnSent();
      sent += policy.Decide(0, MakeInput()) == HedgeVerdict::Send ? 1 : 0;
    }
    CHECK(sent <= kRequests * percent / 100 + settings.burst_);
    CHECK((sent == 0) == (percent == 0));
  }
}

TEST_CASE("hedge: a small budget is used for the slowest replies")
{
  HedgeSettings small;
  small.budgetPercent_ = 1;
  HedgeSettings large;
  large.budgetPercent_ = 10;
  HedgePolicy smallBudget(small, 1);
  HedgePolicy largeBudget(large, 1);
  for (int i = 0; i < 1000; ++i) {
    smallBudget.OnLatency(0, milliseconds(1 + i % 100));
    largeBudget.OnLatency(0, milliseconds(1 + i % 100));
  }
  CHECK(smallBudget.Delay(0) >= milliseconds(99));
  CHECK(largeBudget.Delay(0) < smallBudget.Delay(0));
}

TEST_CASE("hedge: tail latency of queries over 25 shards with 1% stragglers")
{
  const Tail noStragglers = RunQueries(HedgeMode::None, 0);
  const Tail none = RunQueries(HedgeMode::None, 0.01);
  const Tail fixed = RunQueries(HedgeMode::FixedDelay, 0.01);
  const Tail learned = RunQueries(HedgeMode::Learned, 0.01);
  MESSAGE("p99 ratio: none "
          << none.p99Ms_ / noStragglers.p99Ms_ << ", fixed delay "
          << fixed.p99Ms_ / noStragglers.p99Ms_ << ", learned "
          << learned.p99Ms_ / noStragglers.p99Ms_);
  MESSAGE("extra load percent: fixed delay "
          << fixed.extraPercent_ << ", learned " << learned.extraPercent_);
  CHECK(none.p99Ms_ > 10 * noStragglers.p99Ms_);
  CHECK(learned.p99Ms_ < 1.5 * noStragglers.p99Ms_);
  CHECK(learned.extraPercent_ <= 4.1);
  CHECK(fixed.extraPercent_ > 10);
}
