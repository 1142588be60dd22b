#include "policy/StartupHold.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const StartupHoldSettings kSettings;
const TimePoint kProcessStart{ seconds(100) };

StartupDecision Decide(milliseconds aSinceStart, milliseconds aTimeLeft)
{
  const TimePoint now = kProcessStart + aSinceStart;
  return DecideDuringStartup(kSettings, kProcessStart, now + aTimeLeft, now);
}

} // namespace

TEST_CASE("startup: callers that return after a power loss, before the routes")
{
  // Routes follow after 0.6 s and announcements after 1.2 s.
  SUBCASE("a first attempt has time to come back")
  {
    const StartupDecision decision = Decide(milliseconds(300), seconds(2));
    REQUIRE(std::holds_alternative<ReturnLater>(decision));
    CHECK(std::get<ReturnLater>(decision).retryAfter_ == milliseconds(1000));
  }
  SUBCASE("a caller that was cut off before has 1.2 s left")
  {
    const StartupDecision decision =
      Decide(milliseconds(300), milliseconds(1200));
    REQUIRE(std::holds_alternative<HoldUntil>(decision));
    CHECK(std::get<HoldUntil>(decision).until_ ==
          kProcessStart + milliseconds(900));
  }
  SUBCASE("shortly before the end of the startup")
  {
    const StartupDecision decision =
      Decide(milliseconds(1250), milliseconds(400));
    REQUIRE(std::holds_alternative<HoldUntil>(decision));
    CHECK(std::get<HoldUntil>(decision).until_ ==
          kProcessStart + milliseconds(1450));
  }
}

TEST_CASE("startup: nothing is held that cannot be served later")
{
  const auto isOver = [](const StartupDecision& aDecision) {
    return std::holds_alternative<StartupOver>(aDecision);
  };
  CHECK(isOver(Decide(kSettings.maxStartupTime_, seconds(6))));
  CHECK(isOver(Decide(seconds(60), milliseconds(300))));
  CHECK(isOver(Decide(milliseconds(200), milliseconds(0))));
  CHECK(isOver(Decide(milliseconds(200), milliseconds(-50))));
}

TEST_CASE("startup: control instances that need a second election")
{
  // The routes arrive 1.3 s after the start instead of 0.7 s.
  // A caller that returns after the Retry-After is not refused again.
  const StartupDecision returning = Decide(milliseconds(1310), seconds(1));
  REQUIRE(std::holds_alternative<HoldUntil>(returning));
  CHECK(std::get<HoldUntil>(returning).until_ ==
        kProcessStart + milliseconds(1810));
  const StartupDecision held = Decide(milliseconds(1400), milliseconds(700));
  REQUIRE(std::holds_alternative<HoldUntil>(held));
  CHECK(std::get<HoldUntil>(held).until_ == kProcessStart + milliseconds(1750));
}
