#include "policy/DirectoryComparison.h"

#include <algorithm>

namespace foxtail {

DirectoryComparison::DirectoryComparison(DirectoryComparisonSettings aSettings)
  : settings_(aSettings)
{
}

bool DirectoryComparison::OnCompared(bool aIsEqual, TimePoint aNow)
{
  if (aIsEqual) {
    differsSince_ = TimePoint::max();
    return false;
  }
  differsSince_ = std::min(differsSince_, aNow);
  if (aNow - differsSince_ < settings_.tolerance_ || aNow < nextRequestAt_) {
    return false;
  }
  nextRequestAt_ = aNow + settings_.minInterval_;
  return true;
}

} // namespace foxtail
