#include "policy/LatencyPredictor.h"

#include "policy/ExtraAttemptBudget.h"
#include "policy/SlownessEstimator.h"

#include <doctest/doctest.h>
#include <queue>

using namespace foxtail;

namespace {

const LatencyPredictorSettings kSettings;
constexpr milliseconds kWork{ 20 };

ReplicaCandidate Near()
{
  ReplicaCandidate state;
  state.roundTrip_ = milliseconds(1);
  state.slots_ = 3;
  return state;
}

ReplicaCandidate Far()
{
  ReplicaCandidate state = Near();
  state.roundTrip_ = milliseconds(16);
  state.isOtherRegion_ = true;
  return state;
}

size_t Choose(const std::vector<ReplicaCandidate>& aReplicas,
              double aBudgetUsed = 0)
{
  RandomSource random(7);
  return ChooseByLatency(kSettings, aReplicas, kWork, aBudgetUsed, random)
    ->index_;
}

} // namespace

TEST_CASE("latency: which replica gets an attempt")
{
  struct Row
  {
    const char* name_;
    void (*change_)(ReplicaCandidate&);
    size_t chosen_;
  };
  const Row rows[] = {
    { "no fault", [](ReplicaCandidate&) {}, 0 },
    { "needs a new connection",
      [](ReplicaCandidate& a) { a.needsConnect_ = true; },
      0 },
    { "a few requests in flight",
      [](ReplicaCandidate& a) { a.inFlight_ = 2; },
      0 },
    { "a long queue reported",
      [](ReplicaCandidate& a) { a.reportedLoad_ = 9; },
      1 },
    { "slow", [](ReplicaCandidate& a) { a.slowness_ = 5; }, 1 },
    { "stalled",
      [](ReplicaCandidate& a) {
        a.inFlight_ = 1;
        a.oldestWait_ = milliseconds(120);
      },
      1 },
    { "recently unreachable",
      [](ReplicaCandidate& a) { a.isRecentlyUnreachable_ = true; },
      1 },
    { "high failure rate",
      [](ReplicaCandidate& a) { a.failureRate_ = 0.4; },
      1 },
    { "low failure rate",
      [](ReplicaCandidate& a) { a.failureRate_ = 0.03; },
      0 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    std::vector<ReplicaCandidate> replicas{ Near(), Far() };
    row.change_(replicas[0]);
    CHECK(Choose(replicas) == row.chosen_);
  }
}

TEST_CASE(
  "latency: a failure costs more when the extra attempt budget is used up")
{
  std::vector<ReplicaCandidate> replicas{ Near(), Far() };
  replicas[0].failureRate_ = 0.07;
  CHECK(Choose(replicas, 0) == 0);
  LatencyPredictorSettings strict = kSettings;
  strict.exhaustedBudgetFailureCost_ = milliseconds(900);
  RandomSource random(7);
  CHECK(ChooseByLatency(strict, replicas, kWork, 1, random)->index_ == 1);
}

TEST_CASE(
  "latency: a recently unreachable replica is used if it is the only one")
{
  std::vector<ReplicaCandidate> replicas{ Near() };
  replicas[0].isRecentlyUnreachable_ = true;
  CHECK(Choose(replicas) == 0);
  RandomSource random(1);
  CHECK_FALSE(ChooseByLatency(kSettings, {}, kWork, 0, random).has_value());
}
