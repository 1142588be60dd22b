#include "policy/ServerRefusal.h"

#include <algorithm>

namespace foxtail {

bool ServerRefusal::OnRefused(Duration aFor, TimePoint aNow)
{
  if (aFor <= Duration::zero()) {
    return false;
  }
  const bool isBegin = !isProbing_;
  until_ = std::max(until_, aNow + aFor);
  isProbing_ = true;
  return isBegin;
}

bool ServerRefusal::OnAccepted(TimePoint aSentAt)
{
  if (!isProbing_ || aSentAt < until_) {
    return false;
  }
  isProbing_ = false;
  return true;
}

void ServerRefusal::OnSend(TimePoint aNow)
{
  if (isProbing_) {
    nextProbeAt_ = NextSendAt(aNow) + settings_.probeInterval_;
  }
}

TimePoint ServerRefusal::NextSendAt(TimePoint aNow) const
{
  return isProbing_ ? std::max({ aNow, until_, nextProbeAt_ }) : aNow;
}

} // namespace foxtail
