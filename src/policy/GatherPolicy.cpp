#include "policy/GatherPolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

uint32_t LeastShards(uint32_t aShards, double aLeastShare)
{
  // A share such as 0.89 of 100 must not become 90 by rounding.
  constexpr double kRounding = 1e-9;
  const double least = std::ceil(aLeastShare * aShards - kRounding);
  return std::max<uint32_t>(1, static_cast<uint32_t>(std::max(0.0, least)));
}

GatherVerdict JudgeGather(const GatherProgress& aProgress, TimePoint aNow)
{
  const uint32_t least = LeastShards(aProgress.shards_, aProgress.leastShare_);
  const uint32_t possible = aProgress.shards_ - aProgress.givenUp_;
  if (aProgress.included_ == aProgress.shards_) {
    return GatherVerdict::AnswerWhole;
  }
  if (possible < least) {
    return GatherVerdict::Fail;
  }
  const bool isEnough = aProgress.included_ >= least;
  const bool isSettled =
    aProgress.included_ + aProgress.givenUp_ == aProgress.shards_;
  if (isEnough && (isSettled || aNow >= aProgress.objectiveAt_)) {
    return GatherVerdict::AnswerPartial;
  }
  return aNow >= aProgress.finalAt_ ? GatherVerdict::Fail : GatherVerdict::Wait;
}

TimePoint NextGatherDecision(const GatherProgress& aProgress, TimePoint aNow)
{
  return aNow < aProgress.objectiveAt_
           ? std::min(aProgress.objectiveAt_, aProgress.finalAt_)
           : aProgress.finalAt_;
}

} // namespace foxtail
