#include "policy/GatherPolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

uint32_t RequiredShards(uint32_t aShards, double aMinCoverage)
{
  // Rounding must not turn 0.89 of 100 shards into 90.
  constexpr double kRounding = 1e-9;
  const double least = std::ceil(aMinCoverage * aShards - kRounding);
  return std::max<uint32_t>(1, static_cast<uint32_t>(std::max(0.0, least)));
}

GatherVerdict EvaluateGather(const GatherProgress& aProgress, TimePoint aNow)
{
  const uint32_t least =
    RequiredShards(aProgress.shards_, aProgress.minCoverage_);
  const uint32_t possible = aProgress.shards_ - aProgress.givenUp_;
  if (aProgress.answered_ == aProgress.shards_) {
    return GatherVerdict::AnswerWhole;
  }
  if (possible < least) {
    return GatherVerdict::Fail;
  }
  const bool isEnough = aProgress.answered_ >= least;
  const bool isSettled =
    aProgress.answered_ + aProgress.givenUp_ == aProgress.shards_;
  if (isEnough && (isSettled || aNow >= aProgress.objectiveAt_)) {
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
