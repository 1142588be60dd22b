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

size_t Choose(const std::vector<ReplicaCandidate>& aReplicas, double aUsed = 0)
{
  RandomSource random(7);
  return ChooseByLatency(kSettings, aReplicas, kWork, aUsed, random)->index_;
}

} // namespace

TEST_CASE("rank: which replica gets an attempt")
{
  struct Row
  {
    const char* name_;
    void (*change_)(ReplicaCandidate&);
    size_t chosen_;
  };
  const Row rows[] = {
    { "the near one", [](ReplicaCandidate&) {}, 0 },
    { "the near one, over a new connection",
      [](ReplicaCandidate& a) { a.needsConnect_ = true; },
      0 },
    { "a little work there", [](ReplicaCandidate& a) { a.inFlight_ = 2; }, 0 },
    { "a full queue there",
      [](ReplicaCandidate& a) { a.reportedLoad_ = 9; },
      1 },
    { "slow", [](ReplicaCandidate& a) { a.slowness_ = 5; }, 1 },
    { "standing still",
      [](ReplicaCandidate& a) {
        a.inFlight_ = 1;
        a.oldestWait_ = milliseconds(120);
      },
      1 },
    { "cannot be reached",
      [](ReplicaCandidate& a) { a.isRecentlyUnreachable_ = true; },
      1 },
    { "fails often", [](ReplicaCandidate& a) { a.failureRate_ = 0.4; }, 1 },
    { "failed once, long ago",
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

TEST_CASE("rank: a failure costs more when no second attempt is left")
{
  std::vector<ReplicaCandidate> replicas{ Near(), Far() };
  replicas[0].failureRate_ = 0.07;
  CHECK(Choose(replicas, 0) == 0);
  LatencyPredictorSettings strict = kSettings;
  strict.exhaustedBudgetFailureCost_ = milliseconds(900);
  RandomSource random(7);
  CHECK(ChooseByLatency(strict, replicas, kWork, 1, random)->index_ == 1);
}

TEST_CASE("rank: a suspect replica is used when it is the only one")
{
  std::vector<ReplicaCandidate> replicas{ Near() };
  replicas[0].isRecentlyUnreachable_ = true;
  CHECK(Choose(replicas) == 0);
  RandomSource random(1);
  CHECK_FALSE(ChooseByLatency(kSettings, {}, kWork, 0, random).has_value());
}
