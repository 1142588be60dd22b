#include "policy/ColdServerLimit.h"
#include "core/RandomSource.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(1000) };
constexpr seconds kColdTime{ 30 };

/// @return when all instances together send to a cold server, in order. Each
/// instance always has requests, or has bursts of them after idle times.
std::vector<TimePoint> SendTimes(uint32_t aInstances,
                                 double aPerSecond,
                                 bool aIsBursty,
                                 RandomSource& aRandom)
{
  constexpr seconds kMaxIdle{ 2 };
  std::vector<TimePoint> times;
  const TimePoint end = kStart + kColdTime;
  for (uint32_t i = 0; i < aInstances; ++i) {
    // Announcements reach the instances within a second.
    TimePoint now =
      kStart + duration_cast<Duration>(
                 std::chrono::duration<double>(aRandom.NextDouble()));
    ColdServerLimit limit;
    limit.SetInstances(aInstances, now);
    limit.SetRate(aPerSecond, now);
    limit.SetColdUntil(end, aRandom.NextDouble(), now);
    while (now < end) {
      now = limit.NextPermitAt(now);
      limit.TakePermit(now);
      if (now < end) {
        times.push_back(now);
      }
      if (aIsBursty && aRandom.NextDouble() < 0.5) {
        now += duration_cast<Duration>(kMaxIdle * aRandom.NextDouble());
      }
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

size_t MostInOneSecond(const std::vector<TimePoint>& aTimes)
{
  size_t most = 0;
  size_t begin = 0;
  for (size_t i = 0; i < aTimes.size(); ++i) {
    while (aTimes[i] - aTimes[begin] >= seconds(1)) {
      ++begin;
    }
    most = std::max(most, i + 1 - begin);
  }
  return most;
}

} // namespace

// Guards against a cold server that all instances overload together, with
// permits that fall due at the same time or have been saved.
TEST_CASE("cold server: all instances together keep the bound in every second")
{
  const ColdServerLimitSettings settings;
  constexpr uint64_t kSeeds = 20;
  for (const uint32_t instances : { 1, 6, 24, 82, 300 }) {
    for (const double perSecond : { 0.5, 2.0, 5.0, 10.0, 20.0, 50.0, 200.0 }) {
      const double bound = perSecond * settings.overage_ + settings.slack_;
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(instances);
        CAPTURE(perSecond);
        CAPTURE(seed);
        RandomSource random(seed);
        const auto times =
          SendTimes(instances, perSecond, seed % 2 == 0, random);
        CHECK(static_cast<double>(MostInOneSecond(times)) <= bound);
      }
    }
  }
}

// Guards against a planned rate that leaves a cold server nearly idle.
TEST_CASE("cold server: the planned rate is at least 0.4 of the tolerated one")
{
  const ColdServerLimitSettings settings;
  for (const uint32_t instances : { 1, 6, 24, 82, 300, 3700 }) {
    for (const double perSecond : { 0.5, 2.0, 5.0, 10.0, 20.0, 50.0, 200.0 }) {
      CAPTURE(instances);
      CAPTURE(perSecond);
      const double planned = PlannedColdRate(settings, perSecond, instances);
      CHECK(planned <= perSecond);
      CHECK(planned >= 0.4 * perSecond);
    }
  }
}

TEST_CASE("cold server: the limit ends with the warm-up and returns with it")
{
  ColdServerLimit limit;
  limit.SetRate(1, kStart);
  CHECK(limit.NextPermitAt(kStart) == kStart);
  limit.SetColdUntil(kStart + seconds(3), 0.9, kStart);
  CHECK(limit.NextPermitAt(kStart) > kStart);
  limit.TakePermit(kStart);
  CHECK(limit.NextPermitAt(kStart) <= kStart + seconds(3));
  const TimePoint warm = kStart + seconds(3);
  CHECK(limit.NextPermitAt(warm) == warm);
  limit.SetColdUntil(warm + seconds(5), 0.5, warm);
  CHECK(limit.IsLimiting(warm));
  CHECK(limit.NextPermitAt(warm) > warm);
  SUBCASE("no rate in the document: no limit")
  {
    limit.SetRate(0, warm);
    CHECK(limit.NextPermitAt(warm) == warm);
    CHECK(limit.IsCold(warm));
  }
}
