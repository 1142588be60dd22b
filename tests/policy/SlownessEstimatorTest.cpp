#include "policy/SlownessEstimator.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(10) };

} // namespace

TEST_CASE("slowness: typical replies keep the ratio near 1")
{
  SlownessEstimator estimator;
  TimePoint now = kStart;
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(20);
    estimator.OnReply(i % 2 == 0 ? 0.8 : 1.3, now - milliseconds(20), now);
  }
  CHECK(estimator.Slowness(now) > 0.7);
  CHECK(estimator.Slowness(now) < 1.4);
}

// A server pauses for 250 ms every few seconds.
TEST_CASE(
  "slowness: requests delayed by one pause count once and decay quickly")
{
  SlownessEstimator estimator;
  const TimePoint end = kStart + milliseconds(250);
  for (int i = 0; i < 8; ++i) {
    const Duration latency = milliseconds(250 - i * 20);
    estimator.OnReply(latency / Duration(milliseconds(20)), end - latency, end);
  }
  SlownessEstimator single;
  single.OnReply(12, kStart, end);
  CHECK(estimator.Slowness(end) <= doctest::Approx(single.Slowness(end)));
  CHECK(estimator.Slowness(end + milliseconds(600)) < 1.5);
}

// One server of a shard takes nine times as long as usual for several seconds.
TEST_CASE("slowness: a slow server is retried less and less often, and its "
          "recovery is detected")
{
  SlownessEstimator estimator;
  TimePoint now = kStart;
  int attempts = 0;
  while (now < kStart + seconds(8)) {
    if (estimator.Slowness(now) < 2) {
      ++attempts;
      estimator.OnReply(9, now, now + milliseconds(180));
    }
    now += milliseconds(20);
  }
  CHECK(attempts < 10);
  CHECK(attempts > 2);
  estimator.OnReply(1, now, now + milliseconds(20));
  estimator.OnReply(1, now, now + milliseconds(20));
  CHECK(estimator.Slowness(now + milliseconds(500)) < 1.5);
}

TEST_CASE("slowness: a request abandoned early has no effect")
{
  SlownessEstimator estimator;
  estimator.OnAbandoned(0.2, kStart, kStart + milliseconds(4));
  CHECK(estimator.Slowness(kStart + milliseconds(4)) == doctest::Approx(1));
  estimator.OnAbandoned(10, kStart, kStart + milliseconds(200));
  CHECK(estimator.Slowness(kStart + milliseconds(200)) > 2);
}

// A sixth of the servers take twelve times as long as usual for eight seconds
// and report it. An instance sends two requests a second to each of them.
TEST_CASE("slowness: a server that reports to be slow is avoided for seconds")
{
  SlownessEstimator estimator;
  estimator.OnReported(12, kStart);
  CHECK(estimator.Slowness(kStart) == doctest::Approx(12));
  CHECK(estimator.Slowness(kStart + seconds(2)) > 3);
  CHECK(estimator.Slowness(kStart + seconds(12)) < 1.1);
  SUBCASE("one typical report, of work that began earlier, does not cancel it")
  {
    estimator.OnReported(1, kStart + milliseconds(10));
    CHECK(estimator.Slowness(kStart + milliseconds(10)) > 3);
  }
  SUBCASE("consecutive typical reports cancel it")
  {
    for (int i = 0; i < 4; ++i) {
      estimator.OnReported(1, kStart + milliseconds(500));
    }
    CHECK(estimator.Slowness(kStart + milliseconds(1000)) < 1.2);
  }
}

// Other processes on its machine slow a server down fourfold for some tenths of
// a second.
TEST_CASE("slowness: a low reported ratio decays quickly")
{
  SlownessEstimator estimator;
  estimator.OnReported(4, kStart);
  CHECK(estimator.Slowness(kStart) == doctest::Approx(4));
  CHECK(estimator.Slowness(kStart + milliseconds(600)) < 1.4);
}

TEST_CASE("slowness: a typical report does not cancel observed slow replies")
{
  SlownessEstimator estimator;
  estimator.OnReply(9, kStart, kStart + milliseconds(180));
  const double observed = estimator.Slowness(kStart + milliseconds(180));
  estimator.OnReported(1, kStart + milliseconds(180));
  CHECK(estimator.Slowness(kStart + milliseconds(180)) ==
        doctest::Approx(observed));
}
