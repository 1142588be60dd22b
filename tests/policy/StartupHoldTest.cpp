#include "policy/StartupHold.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const StartupHoldSettings kSettings;
const TimePoint kProcessStart{ seconds(100) };

std::optional<TimePoint> HoldUntil(milliseconds aSinceStart,
                                   milliseconds aTimeLeft)
{
  const TimePoint now = kProcessStart + aSinceStart;
  return HoldDuringStartup(kSettings, kProcessStart, now + aTimeLeft, now);
}

} // namespace

TEST_CASE(
  "startup hold: callers that return after a power loss, before the routes")
{
  // Routes follow after 0.6 s and announcements after 1.2 s.
  CHECK(HoldUntil(milliseconds(200), seconds(6)) ==
        kProcessStart + kSettings.startupTime_);
  CHECK(HoldUntil(milliseconds(200), seconds(2)) ==
        kProcessStart + milliseconds(1200));
  CHECK(HoldUntil(milliseconds(200), milliseconds(400)) ==
        kProcessStart + milliseconds(400));
}

TEST_CASE(
  "startup hold: a request that cannot be served later is refused at once")
{
  CHECK_FALSE(HoldUntil(kSettings.startupTime_, seconds(6)));
  CHECK_FALSE(HoldUntil(seconds(60), seconds(6)));
  CHECK_FALSE(HoldUntil(milliseconds(200), milliseconds(0)));
  CHECK_FALSE(HoldUntil(milliseconds(200), milliseconds(-50)));
}
