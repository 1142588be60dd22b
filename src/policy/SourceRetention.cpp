#include "policy/SourceRetention.h"

namespace foxtail {

bool ShouldForgetSource(const SourceEvidence& aEvidence,
                        milliseconds aExpiry,
                        TimePoint aNow)
{
  return aEvidence.doOthersReply_ && !aEvidence.isSeed_ &&
         !aEvidence.isListed_ && aNow - aEvidence.lastSeenAt_ > aExpiry;
}

} // namespace foxtail
