#include "policy/ServerRefusal.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(1000) };

} // namespace

// Guards against requests to a server within the time that it has stated.
TEST_CASE("refusal: nothing is sent until the stated time has passed")
{
  ServerRefusal refusal;
  CHECK(refusal.NextSendAt(kStart) == kStart);
  CHECK(refusal.OnRefused(seconds(2), kStart));
  CHECK(refusal.NextSendAt(kStart) == kStart + seconds(2));
  // The reply to another request of the same time states what is left of it.
  CHECK_FALSE(refusal.OnRefused(seconds(1), kStart + milliseconds(500)));
  CHECK(refusal.Until() == kStart + seconds(2));
  // A reply to a request of before the refusal arrives late.
  CHECK_FALSE(refusal.OnAccepted(kStart - milliseconds(1)));
  CHECK(refusal.IsRefusing(kStart + milliseconds(1999)));
  CHECK_FALSE(refusal.IsRefusing(kStart + seconds(2)));
}

// Guards against a burst of requests at each end of a permanent refusal.
TEST_CASE("refusal: one request at a time until one is accepted")
{
  ServerRefusal refusal;
  TimePoint now = kStart;
  int sent = 0;
  refusal.OnRefused(seconds(1), now);
  for (; now < kStart + seconds(10); now += milliseconds(1)) {
    if (refusal.NextSendAt(now) <= now) {
      refusal.OnSend(now);
      ++sent;
      refusal.OnRefused(seconds(1), now + milliseconds(1));
    }
  }
  CHECK(sent <= 10);
  CHECK(sent >= 9);
  now = refusal.Until();
  refusal.OnSend(now);
  CHECK(refusal.NextSendAt(now) > now);
  CHECK(refusal.OnAccepted(now));
  CHECK(refusal.NextSendAt(now) == now);
}

TEST_CASE("refusal: a time of zero is none")
{
  ServerRefusal refusal;
  CHECK_FALSE(refusal.OnRefused(Duration::zero(), kStart));
  CHECK(refusal.NextSendAt(kStart) == kStart);
}
