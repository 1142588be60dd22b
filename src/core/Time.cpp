#include "core/Time.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace foxtail {

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

std::string FormatWallTime(WallTime aTime)
{
  const auto sinceEpoch =
    duration_cast<milliseconds>(aTime.time_since_epoch()).count();
  const std::time_t wholeSeconds = sinceEpoch / 1000;
  std::tm utc{};
  gmtime_r(&wholeSeconds, &utc);
  std::array<char, 96> text{};
  std::snprintf(text.data(),
                text.size(),
                "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                utc.tm_year + 1900,
                utc.tm_mon + 1,
                utc.tm_mday,
                utc.tm_hour,
                utc.tm_min,
                utc.tm_sec,
                static_cast<int>(sinceEpoch % 1000));
  return text.data();
}

double ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace foxtail
