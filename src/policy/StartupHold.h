#ifndef POLICY_STARTUPHOLD_H
#define POLICY_STARTUPHOLD_H

#include "core/Time.h"

#include <variant>

namespace foxtail {

struct StartupHoldSettings
{
  /// Time after the start of a process within which the routes and the
  /// announcements of the backend servers usually arrive, also when all
  /// instances start together.
  milliseconds startupTime_{ 1300 };
  /// Longest startup: control instances may need further elections.
  milliseconds maxStartupTime_{ 4000 };
  /// Time that a caller needs to be served after it has come back.
  milliseconds minTimeAfterReturn_{ 500 };
  /// Largest share, 0 to 1, of a request's remaining time for which it is held.
  double maxShareOfTimeLeft_ = 0.5;
};

/// The startup is over: the request is served or refused as always.
struct StartupOver
{};
/// The request is refused, with the time after which the caller may come back.
struct ReturnLater
{
  milliseconds retryAfter_{};
};
/// The request is held until it can be served, at most until this time.
struct HoldUntil
{
  TimePoint until_{};
};
using StartupDecision = std::variant<StartupOver, ReturnLater, HoldUntil>;

/// Decides about a request that a starting instance cannot serve yet. After a
/// power loss, callers come back before the routes and the announcements do. A
/// caller with enough time gets the end of the startup as Retry-After, since
/// its answer can then be in time; one with less may be at its last attempt, so
/// its request is held. After the usual time all are held, as they may be
/// callers that return as requested.
///
/// @param aStartedAt start of this process.
/// @param aDeadline when the caller must have a final answer.
StartupDecision DecideDuringStartup(const StartupHoldSettings& aSettings,
                                    TimePoint aStartedAt,
                                    TimePoint aDeadline,
                                    TimePoint aNow);

} // namespace foxtail

#endif // POLICY_STARTUPHOLD_H
