#include "policy/SlownessEstimator.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(10) };

} // namespace

TEST_CASE("pace: usual replies leave a server at its usual pace")
{
  SlownessEstimator pace;
  TimePoint now = kStart;
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(20);
    pace.OnReply(i % 2 == 0 ? 0.8 : 1.3, now - milliseconds(20), now);
  }
  CHECK(pace.Slowness(now) > 0.7);
  CHECK(pace.Slowness(now) < 1.4);
}

// Pattern: a server that pauses for 250 ms every few seconds.
TEST_CASE("pace: all that waits out one pause counts once and fades soon")
{
  SlownessEstimator pace;
  const TimePoint end = kStart + milliseconds(250);
  for (int i = 0; i < 8; ++i) {
    const Duration waited = milliseconds(250 - i * 20);
    pace.OnReply(waited / Duration(milliseconds(20)), end - waited, end);
  }
  SlownessEstimator once;
  once.OnReply(12, kStart, end);
  CHECK(pace.Slowness(end) <= doctest::Approx(once.Slowness(end)));
  CHECK(pace.Slowness(end + milliseconds(600)) < 1.5);
}

// Pattern: one server of a shard works nine times as long for seconds.
TEST_CASE("pace: a slow server is tried ever less often, and is found well")
{
  SlownessEstimator pace;
  TimePoint now = kStart;
  int tries = 0;
  while (now < kStart + seconds(8)) {
    if (pace.Slowness(now) < 2) {
      ++tries;
      pace.OnReply(9, now, now + milliseconds(180));
    }
    now += milliseconds(20);
  }
  CHECK(tries < 10);
  CHECK(tries > 2);
  pace.OnReply(1, now, now + milliseconds(20));
  pace.OnReply(1, now, now + milliseconds(20));
  CHECK(pace.Slowness(now + milliseconds(500)) < 1.5);
}

TEST_CASE("pace: a request that was given up early shows nothing")
{
  SlownessEstimator pace;
  pace.OnAbandoned(0.2, kStart, kStart + milliseconds(4));
  CHECK(pace.Slowness(kStart + milliseconds(4)) == doctest::Approx(1));
  pace.OnAbandoned(10, kStart, kStart + milliseconds(200));
  CHECK(pace.Slowness(kStart + milliseconds(200)) > 2);
}

// Pattern: a sixth of the servers work twelve times as long for eight seconds
// and say so, and an instance asks each of them twice a second.
TEST_CASE("pace: a server that says it is slow is left alone for seconds")
{
  SlownessEstimator pace;
  pace.OnReported(12, kStart);
  CHECK(pace.Slowness(kStart) == doctest::Approx(12));
  CHECK(pace.Slowness(kStart + seconds(2)) > 3);
  CHECK(pace.Slowness(kStart + seconds(12)) < 1.1);
  SUBCASE("work that began before does not hide it")
  {
    pace.OnReported(1, kStart + milliseconds(10));
    CHECK(pace.Slowness(kStart + milliseconds(10)) > 3);
  }
  SUBCASE("usual reports in a row end it")
  {
    for (int i = 0; i < 4; ++i) {
      pace.OnReported(1, kStart + milliseconds(500));
    }
    CHECK(pace.Slowness(kStart + milliseconds(1000)) < 1.2);
  }
}

// Pattern: neighbours on its machine slow a server four times for some tenths
// of a second.
TEST_CASE("pace: what neighbours cause is soon forgotten")
{
  SlownessEstimator pace;
  pace.OnReported(4, kStart);
  CHECK(pace.Slowness(kStart) == doctest::Approx(4));
  CHECK(pace.Slowness(kStart + milliseconds(600)) < 1.4);
}

TEST_CASE("pace: a usual report does not hide slow replies")
{
  SlownessEstimator pace;
  pace.OnReply(9, kStart, kStart + milliseconds(180));
  const double shown = pace.Slowness(kStart + milliseconds(180));
  pace.OnReported(1, kStart + milliseconds(180));
  CHECK(pace.Slowness(kStart + milliseconds(180)) == doctest::Approx(shown));
}
