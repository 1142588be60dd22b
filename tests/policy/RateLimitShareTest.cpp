#include "policy/RateLimitShare.h"

#include "core/RandomSource.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace foxtail;

namespace {

constexpr TimePoint kStart{ seconds(1000) };

/// Instances that share one server's limit, with random arrivals of requests.
struct Load
{
  const char* name_;
  uint32_t instances_;
  double limit_;
  /// Requests per second of each instance, before and from kSurgeAt on.
  double before_;
  double after_;
  /// Least share of the limit that must be used once the surge has begun, 0 to
  /// 1.
  double minUsed_;
};

constexpr seconds kSurgeAt{ 20 };
constexpr seconds kEnd{ 40 };

/// @return when all instances together send, for one seed.
std::vector<TimePoint> SendTimes(const Load& aLoad, uint64_t aSeed)
{
  constexpr milliseconds kStep{ 5 };
  RandomSource random(aSeed);
  std::vector<RateLimitShare> shares(aLoad.instances_);
  for (RateLimitShare& share : shares) {
    share.SetInstances(aLoad.instances_, kStart);
    share.SetLimit(aLoad.limit_, random.NextDouble(), kStart);
  }
  std::vector<TimePoint> sent;
  for (TimePoint now = kStart; now < kStart + kEnd; now += kStep) {
    const double perSecond =
      now < kStart + kSurgeAt ? aLoad.before_ : aLoad.after_;
    const double chance =
      perSecond * std::chrono::duration<double>(kStep).count();
    for (RateLimitShare& share : shares) {
      if (random.Chance(chance) && share.NextPermitAt(now) <= now) {
        share.TakePermit(now);
        sent.push_back(now);
      }
    }
  }
  return sent;
}

size_t MostInWindow(const std::vector<TimePoint>& aTimes, Duration aWindow)
{
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[last] - aTimes[first] >= aWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

RateLimitShare LimitedShare(uint32_t aInstances, double aLimit, double aPhase)
{
  RateLimitShare share;
  share.SetInstances(aInstances, kStart);
  share.SetLimit(aLimit, aPhase, kStart);
  return share;
}

} // namespace

TEST_CASE("instances together keep to a limit at any load")
{
  const Load loads[] = {
    { "overload at all", 9, 30, 20, 20, 0.9 },
    { "a surge after an idle time", 9, 30, 0, 100, 0.9 },
    { "a limit below one a second for each", 9, 2, 5, 5, 0.9 },
    { "a limit of nothing", 9, 0, 5, 5, 0 },
    { "72 instances", 72, 21, 0.5, 5, 0.8 },
    { "294 instances with few requests", 294, 16, 0.1, 0.1, 0.05 },
    { "294 instances, a surge", 294, 16, 0.1, 5, 0.8 },
    { "a limit above the load", 9, 1000, 10, 10, 0.08 },
  };
  constexpr seconds kWindow{ 4 };
  for (const Load& load : loads) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(load.name_);
      CAPTURE(seed);
      const auto sent = SendTimes(load, seed);
      const double tolerated =
        1.5 * load.limit_ * static_cast<double>(kWindow.count()) + 5;
      CHECK(static_cast<double>(MostInWindow(sent, kWindow)) <= tolerated);
      const auto used =
        std::count_if(sent.begin(), sent.end(), [](TimePoint aTime) {
          return aTime >= kStart + kSurgeAt;
        });
      CHECK(static_cast<double>(used) >=
            load.minUsed_ * load.limit_ *
              static_cast<double>((kEnd - kSurgeAt).count()));
    }
  }
}

TEST_CASE("permits of a share")
{
  // 10 a second for two instances: one permit each 200 ms.
  SUBCASE("without a limit each request may be sent")
  {
    const RateLimitShare share;
    CHECK(share.NextPermitAt(kStart) == kStart);
  }
  SUBCASE("an unused permit is kept for a second, others expire")
  {
    RateLimitShare share = LimitedShare(2, 10, 0);
    const TimePoint later = kStart + seconds(60);
    int taken = 0;
    while (share.NextPermitAt(later) <= later) {
      share.TakePermit(later);
      ++taken;
    }
    CHECK(taken == 6);
    CHECK(share.NextPermitAt(later) == later + milliseconds(200));
  }
  SUBCASE("a reserved permit moves the next one back")
  {
    RateLimitShare share = LimitedShare(2, 10, 0.5);
    CHECK(share.NextPermitAt(kStart) == kStart + milliseconds(100));
    share.TakePermit(kStart);
    CHECK(share.NextPermitAt(kStart) == kStart + milliseconds(300));
  }
  SUBCASE("a share that grows does not wait for its old interval")
  {
    RateLimitShare share = LimitedShare(100, 1, 0.99);
    share.SetInstances(2, kStart);
    CHECK(share.NextPermitAt(kStart) <= kStart + seconds(2));
    share.SetLimit(20, 0, kStart);
    CHECK(share.NextPermitAt(kStart) <= kStart + milliseconds(100));
  }
  SUBCASE("the end of a limit frees all requests")
  {
    RateLimitShare share = LimitedShare(100, 1, 0.99);
    share.Clear();
    CHECK(share.NextPermitAt(kStart) == kStart);
  }
}
