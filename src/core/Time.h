#ifndef CORE_TIME_H
#define CORE_TIME_H

#include <chrono>
#include <string>

namespace foxtail {

/// Monotonic time, used for all decisions. Functions that make decisions take
/// the time as an argument and never read a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Time of day, for logs and for records that outlive the process.
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// @return the current monotonic time; only programs and I/O layers call this.
TimePoint Now();

/// @return @p aTime in UTC, formatted as 2026-12-04T05:17:27.123Z.
std::string FormatWallTime(WallTime aTime);

/// @return @p aDuration in milliseconds, including the fractional part.
double ToMilliseconds(Duration aDuration);

} // namespace foxtail

#endif // CORE_TIME_H
