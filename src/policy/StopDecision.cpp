#include "policy/StopDecision.h"

#include <algorithm>

namespace foxtail {

StopDecision DecideWhileStopping(const StoppingRequest& aRequest,
                                 TimePoint aNow)
{
  constexpr int kActionFactor = 2;
  const Duration latency =
    std::max(aRequest.objective_, aRequest.usualLatency_) *
    (aRequest.isIdempotent_ ? 1 : kActionFactor);
  const Duration needed = std::min(latency, aRequest.deadline_ - aNow);
  return aRequest.answerBy_ - aNow >= needed ? StopDecision::Serve
                                             : StopDecision::Refuse;
}

} // namespace foxtail
