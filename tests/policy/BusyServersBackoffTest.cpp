#include "policy/BusyServersBackoff.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

/// @return the times of the returns to servers that refuse each connection.
std::vector<milliseconds> Returns(milliseconds aTimeLeft,
                                  milliseconds aUsualLatency)
{
  std::vector<milliseconds> times;
  Duration now{};
  while (const auto delay =
           DelayBeforeReturn({},
                             static_cast<uint32_t>(times.size()),
                             aTimeLeft - now,
                             aUsualLatency)) {
    now += *delay;
    times.push_back(duration_cast<milliseconds>(now));
  }
  return times;
}

} // namespace

TEST_CASE("busy servers: after a power loss they hold the connections before")
{
  const auto times = Returns(milliseconds(2500), milliseconds(40));
  REQUIRE(times.size() >= 6);
  CHECK(times.front() == milliseconds(60));
  // Tried until shortly before the end, and not more than some times.
  CHECK(times.back() > milliseconds(2000));
  CHECK(times.back() + milliseconds(40) < milliseconds(2500));
  CHECK(times.size() <= 12);
}

TEST_CASE("busy servers: no return when its reply would be too late")
{
  CHECK(Returns(milliseconds(90), milliseconds(40)).empty());
  CHECK(Returns(milliseconds(0), milliseconds(0)).empty());
  CHECK(Returns(milliseconds(-10), milliseconds(0)).empty());
}
