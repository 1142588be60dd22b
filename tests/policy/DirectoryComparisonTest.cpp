#include "policy/DirectoryComparison.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(1000) };

TimePoint After(milliseconds aTime)
{
  return kStart + aTime;
}

} // namespace

TEST_CASE("directory comparison: a lasting difference leads to a request")
{
  const DirectoryComparisonSettings settings;
  DirectoryComparison comparison(settings);
  CHECK_FALSE(comparison.OnCompared(true, kStart));
  CHECK_FALSE(comparison.IsDifferent());
  CHECK_FALSE(comparison.OnCompared(false, kStart));
  CHECK(comparison.IsDifferent());
  CHECK_FALSE(
    comparison.OnCompared(false, After(settings.tolerance_ - milliseconds(1))));
  CHECK(comparison.OnCompared(false, After(settings.tolerance_)));
}

TEST_CASE("directory comparison: a change on its way leads to no request")
{
  const DirectoryComparisonSettings settings;
  DirectoryComparison comparison(settings);
  for (int i = 0; i < 20; ++i) {
    const milliseconds time = i * settings.tolerance_;
    CHECK_FALSE(comparison.OnCompared(false, After(time)));
    CHECK_FALSE(comparison.OnCompared(true, After(time + milliseconds(100))));
  }
}

TEST_CASE("directory comparison: servers that change all the time lead to one "
          "request in each interval")
{
  const DirectoryComparisonSettings settings;
  DirectoryComparison comparison(settings);
  int requests = 0;
  for (milliseconds time{ 0 }; time < 6 * settings.minInterval_;
       time += milliseconds(100)) {
    requests += comparison.OnCompared(false, After(time)) ? 1 : 0;
  }
  CHECK(requests == 6);
}
