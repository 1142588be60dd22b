#include "policy/BusyServersBackoff.h"

#include <algorithm>

namespace foxtail {

std::optional<Duration> DelayBeforeReturn(
  const BusyServersBackoffSettings& aSettings,
  uint32_t aReturns,
  Duration aTimeLeft,
  Duration aUsualLatency)
{
  constexpr uint32_t kMaxDoublings = 16;
  const Duration delay = std::min<Duration>(
    aSettings.initialDelay_ * (1U << std::min(aReturns, kMaxDoublings)),
    aSettings.maxDelay_);
  return delay + aUsualLatency < aTimeLeft ? std::optional(delay)
                                           : std::nullopt;
}

} // namespace foxtail
