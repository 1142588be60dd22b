#ifndef POLICY_STARTUPHOLD_H
#define POLICY_STARTUPHOLD_H

#include "core/Time.h"

#include <optional>

namespace foxtail {

struct StartupHoldSettings
{
  /// Time after the start of a process within which the routes and the
  /// announcements of the backend servers arrive, also when all instances
  /// start together.
  milliseconds startupTime_{ 1500 };
  /// Largest share, 0 to 1, of a request's remaining time for which it is held.
  double maxShareOfTimeLeft_ = 0.5;
};

/// Decides about a request that a starting instance cannot serve yet. After a
/// power loss, callers come back before the routes and the announcements do. A
/// refusal would cost many of them their last attempt, so the request is held
/// until it can be served, as long as this is likely to happen in time.
///
/// @param aStartedAt start of this process.
/// @param aDeadline when the caller must have a final answer.
/// @return the time at which the request is refused if it still cannot be
/// served, or nothing if it is refused at once.
std::optional<TimePoint> HoldDuringStartup(const StartupHoldSettings& aSettings,
                                           TimePoint aStartedAt,
                                           TimePoint aDeadline,
                                           TimePoint aNow);

} // namespace foxtail

#endif // POLICY_STARTUPHOLD_H
