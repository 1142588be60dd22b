#include "policy/GatherPolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

uint32_t RequiredShards(uint32_t aShards, double aMinCoverage)
{
  // Rounding must not turn 0.89 of 100 shards into 90.
  constexpr double kRounding = 1e-9;
  const double required = std::ceil(aMinCoverage * aShards - kRounding);
  return std::max<uint32_t>(1, static_cast<uint32_t>(std::max(0.0, required)));
}

GatherVerdict EvaluateGather(const GatherProgress& aProgress, TimePoint aNow)
{
  const uint32_t required =
    RequiredShards(aProgress.shards_, aProgress.minCoverage_);
  const uint32_t possible = aProgress.shards_ - aProgress.givenUp_;
  if (aProgress.answered_ == aProgress.shards_) {
    return GatherVerdict::AnswerWhole;
  }
  if (possible < required) {
    return GatherVerdict::Fail;
  }
  const bool isEnough = aProgress.answered_ >= required;
  const bool isComplete =
    aProgress.answered_ + aProgress.givenUp_ + aProgress.refused_ ==
    aProgress.shards_;
  if (isEnough && (isComplete || aNow >= aProgress.objectiveAt_)) {
    return GatherVerdict::AnswerPartial;
  }
  return aNow >= aProgress.callerDeadline_ ? GatherVerdict::Fail
                                           : GatherVerdict::Wait;
}

TimePoint NextGatherEvaluation(const GatherProgress& aProgress, TimePoint aNow)
{
  return aNow < aProgress.objectiveAt_
           ? std::min(aProgress.objectiveAt_, aProgress.callerDeadline_)
           : aProgress.callerDeadline_;
}

} // namespace foxtail
