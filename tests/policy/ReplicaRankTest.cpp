#include "policy/ReplicaRank.h"

#include "policy/ExtraBudget.h"
#include "policy/ServerPace.h"

#include <doctest/doctest.h>
#include <queue>

using namespace foxtail;

namespace {

const ReplicaRankSettings kSettings;
constexpr milliseconds kWork{ 20 };

ReplicaState Near()
{
  ReplicaState state;
  state.roundTrip_ = milliseconds(1);
  state.slots_ = 3;
  return state;
}

ReplicaState Far()
{
  ReplicaState state = Near();
  state.roundTrip_ = milliseconds(16);
  state.isOtherRegion_ = true;
  return state;
}

size_t Choose(const std::vector<ReplicaState>& aReplicas, double aUsed = 0)
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
    void (*change_)(ReplicaState&);
    size_t chosen_;
  };
  const Row rows[] = {
    { "the near one", [](ReplicaState&) {}, 0 },
    { "the near one, over a new connection",
      [](ReplicaState& a) { a.needsConnect_ = true; },
      0 },
    { "a little work there", [](ReplicaState& a) { a.inFlight_ = 2; }, 0 },
    { "a full queue there", [](ReplicaState& a) { a.reported_ = 9; }, 1 },
    { "slow", [](ReplicaState& a) { a.slowness_ = 5; }, 1 },
    { "standing still",
      [](ReplicaState& a) {
        a.inFlight_ = 1;
        a.oldestWait_ = milliseconds(120);
      },
      1 },
    { "cannot be reached", [](ReplicaState& a) { a.isSuspect_ = true; }, 1 },
    { "fails often", [](ReplicaState& a) { a.failureShare_ = 0.4; }, 1 },
    { "failed once, long ago",
      [](ReplicaState& a) { a.failureShare_ = 0.03; },
      0 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    std::vector<ReplicaState> replicas{ Near(), Far() };
    row.change_(replicas[0]);
    CHECK(Choose(replicas) == row.chosen_);
  }
}

TEST_CASE("rank: a failure costs more when no second attempt is left")
{
  std::vector<ReplicaState> replicas{ Near(), Far() };
  replicas[0].failureShare_ = 0.07;
  CHECK(Choose(replicas, 0) == 0);
  ReplicaRankSettings strict = kSettings;
  strict.lastFailureCost_ = milliseconds(900);
  RandomSource random(7);
  CHECK(ChooseByLatency(strict, replicas, kWork, 1, random)->index_ == 1);
}

TEST_CASE("rank: a suspect replica is used when it is the only one")
{
  std::vector<ReplicaState> replicas{ Near() };
  replicas[0].isSuspect_ = true;
  CHECK(Choose(replicas) == 0);
  RandomSource random(1);
  CHECK_FALSE(ChooseByLatency(kSettings, {}, kWork, 0, random).has_value());
}
