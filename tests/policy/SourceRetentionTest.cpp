#include "policy/SourceRetention.h"

#include <doctest/doctest.h>

using namespace foxtail;

// Pattern: instances that were cut off, paused, or had lost all control
// instances for 30 s polled none of them any more and kept their document for
// good.
TEST_CASE("sources: which control instances are polled no more")
{
  const TimePoint now{ seconds(1000) };
  constexpr milliseconds kExpiry{ 30000 };
  struct Row
  {
    const char* name_;
    SourceEvidence evidence_;
    bool isForgotten_;
  };
  const TimePoint recently = now - seconds(29);
  const TimePoint longAgo = now - seconds(3600);
  const Row rows[] = {
    { "removed from the group", { false, false, true, longAgo }, true },
    { "removed shortly ago", { false, false, true, recently }, false },
    { "down for an hour, still a member",
      { false, true, true, longAgo },
      false },
    { "named by the settings", { true, false, true, longAgo }, false },
    { "nobody replies: cut off for an hour",
      { false, false, false, longAgo },
      false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CHECK(ShouldForgetSource(row.evidence_, kExpiry, now) == row.isForgotten_);
  }
}
