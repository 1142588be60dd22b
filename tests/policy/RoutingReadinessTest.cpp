#include "policy/RoutingReadiness.h"

#include <doctest/doctest.h>

using namespace foxtail;

TEST_CASE("readiness: an instance waits for its servers for a limited time")
{
  struct Row
  {
    const char* name_;
    bool isCovered_;
    milliseconds sinceStart_;
    bool isReady_;
  };
  const Row rows[] = {
    { "no announcements yet", false, milliseconds(100), false },
    { "all shards announced", true, milliseconds(100), true },
    { "a shard without a server", false, milliseconds(2500), true },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    RoutingReadiness readiness({});
    CHECK(readiness.IsReady(row.isCovered_, row.sinceStart_) == row.isReady_);
  }
}

TEST_CASE("readiness: an instance stays ready if a shard is lost later")
{
  RoutingReadiness readiness({});
  CHECK(readiness.IsReady(true, milliseconds(100)));
  CHECK(readiness.IsReady(false, milliseconds(200)));
}
