#ifndef POLICY_BUSYSERVERSBACKOFF_H
#define POLICY_BUSYSERVERSBACKOFF_H

#include "core/Time.h"

#include <cstdint>
#include <optional>

namespace foxtail {

struct BusyServersBackoffSettings
{
  /// Delay before the first return to servers that all refused a connection; it
  /// doubles with each further one, up to maxDelay_.
  milliseconds initialDelay_{ 60 };
  milliseconds maxDelay_{ 400 };
};

/// Decides when a request returns to the servers of a service after each of
/// them has refused a new connection. After a power loss, servers still hold
/// the connections of the processes before, and accept new ones as these
/// expire, over some seconds. No server has read the request, so returning adds
/// no load but the connect.
///
/// @param aReturns number of returns so far.
/// @param aTimeLeft time until the final answer must be sent.
/// @param aUsualLatency usual latency of an attempt.
/// @return the delay, or nothing when no reply could arrive in time.
std::optional<Duration> DelayBeforeReturn(
  const BusyServersBackoffSettings& aSettings,
  uint32_t aReturns,
  Duration aTimeLeft,
  Duration aUsualLatency);

} // namespace foxtail

#endif // POLICY_BUSYSERVERSBACKOFF_H
