#include "policy/StopDecision.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

const TimePoint kNow{ seconds(1000) };

StoppingRequest Request(milliseconds aUntilEnd, bool aIsIdempotent = true)
{
  StoppingRequest request;
  request.answerBy_ = kNow + aUntilEnd;
  request.deadline_ = kNow + seconds(12);
  request.objective_ = milliseconds(800);
  request.isIdempotent_ = aIsIdempotent;
  return request;
}

} // namespace

// Pattern: requests that come late in a planned stop, or arrive slowly, are
// passed on and cut at its end.
TEST_CASE("stop: which requests a stopping instance serves")
{
  struct Row
  {
    const char* name_;
    StoppingRequest request_;
    StopDecision expected_;
  };
  StoppingRequest slowRoute = Request(seconds(3));
  slowRoute.usualLatency_ = seconds(4);
  StoppingRequest fastRoute = Request(milliseconds(900));
  fastRoute.usualLatency_ = milliseconds(20);
  StoppingRequest shortTimeLeft = Request(milliseconds(300));
  shortTimeLeft.deadline_ = kNow + milliseconds(250);
  const Row rows[] = {
    { "early in the stop", Request(seconds(5)), StopDecision::Serve },
    { "late, with the route's time left",
      Request(milliseconds(800)),
      StopDecision::Serve },
    { "late, with less", Request(milliseconds(799)), StopDecision::Refuse },
    { "an action, with twice the route's time left",
      Request(milliseconds(1600), false),
      StopDecision::Serve },
    { "an action, with less",
      Request(milliseconds(1599), false),
      StopDecision::Refuse },
    { "a route that usually takes longer than the stop",
      slowRoute,
      StopDecision::Refuse },
    { "a route that is faster than its objective",
      fastRoute,
      StopDecision::Serve },
    { "the caller's time ends before the stop does",
      shortTimeLeft,
      StopDecision::Serve },
    { "after the end", Request(milliseconds(-1)), StopDecision::Refuse },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CHECK(DecideWhileStopping(row.request_, kNow) == row.expected_);
  }
}

TEST_CASE("stop: once a request is refused, so is each later one like it")
{
  CHECK(rc::check([] {
    StoppingRequest request = Request(milliseconds(*rc::gen::inRange(0, 6000)),
                                      *rc::gen::arbitrary<bool>());
    request.usualLatency_ = milliseconds(*rc::gen::inRange(0, 4000));
    const auto later = milliseconds(*rc::gen::inRange(0, 6000));
    if (DecideWhileStopping(request, kNow) == StopDecision::Refuse) {
      request.deadline_ += later;
      RC_ASSERT(DecideWhileStopping(request, kNow + later) ==
                StopDecision::Refuse);
    }
  }));
}
