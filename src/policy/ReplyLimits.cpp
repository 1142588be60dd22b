#include "policy/ReplyLimits.h"

#include <algorithm>

namespace foxtail {

ReplySizeLimit::ReplySizeLimit(ReplySizeSettings aSettings)
  : settings_(aSettings)
{
}

void ReplySizeLimit::OnReply(size_t aBytes)
{
  samples_ = std::min(samples_ + 1, settings_.minSamples_);
  largest_ = std::max(largest_, aBytes);
}

size_t ReplySizeLimit::MaxBytes() const
{
  if (samples_ < settings_.minSamples_) {
    return std::max(settings_.initialLimitBytes_,
                    settings_.growthFactor_ * largest_);
  }
  return std::max(settings_.minLimitBytes_, settings_.growthFactor_ * largest_);
}

ReplyMemory::ReplyMemory(ReplyMemorySettings aSettings)
  : settings_(aSettings)
{
}

bool ReplyMemory::Resize(size_t& aHeld, size_t aSize)
{
  const size_t others = sharedInUse_ - SharedPart(aHeld);
  if (aSize > aHeld && others + SharedPart(aSize) > settings_.sharedBytes_) {
    return false;
  }
  sharedInUse_ = others + SharedPart(aSize);
  aHeld = aSize;
  return true;
}

size_t ReplyMemory::SharedPart(size_t aSize) const
{
  return aSize - std::min(aSize, settings_.guaranteedBytes_);
}

} // namespace foxtail
