#include "policy/PauseDetector.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(100) };

} // namespace

TEST_CASE("pause: a running process, also one whose ticks are a little late")
{
  PauseDetector detector;
  CHECK(detector.PossibleDelay(kStart + seconds(50)) == Duration::zero());
  for (int i = 0; i < 20; ++i) {
    const TimePoint tick = kStart + milliseconds(i * 150);
    detector.OnTick(tick);
    CHECK(detector.PossibleDelay(tick + milliseconds(149)) == Duration::zero());
  }
}

TEST_CASE("pause: a process frozen for 5 s, whatever event it handles first")
{
  PauseDetector detector;
  detector.OnTick(kStart);
  const TimePoint awake = kStart + seconds(5);
  CHECK(detector.PossibleDelay(awake) == milliseconds(4950));
  detector.OnTick(awake);
  CHECK(detector.PossibleDelay(awake + milliseconds(20)) == milliseconds(4950));
  CHECK(detector.PossibleDelay(awake + milliseconds(60)) == Duration::zero());
}
