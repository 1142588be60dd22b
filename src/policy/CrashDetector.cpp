#include "policy/CrashDetector.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace foxtail {

std::string ToHex(RequestFingerprint aFingerprint)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, aFingerprint.Value());
  return text.data();
}

CrashDetector::CrashDetector(CrashDetectorSettings aSettings)
  : settings_(aSettings)
{
}

void CrashDetector::OnUnanswered(const UnansweredRequest& aRequest,
                                 TimePoint aNow)
{
  if (aNow - lastUnansweredAt_ > settings_.confirmWithin_) {
    requests_.clear();
  }
  if (requests_.size() < settings_.maxRequests_) {
    requests_.push_back(aRequest);
  }
  lastUnansweredAt_ = aNow;
}

std::vector<UnansweredRequest> CrashDetector::OnConnectRefused(TimePoint aNow)
{
  auto requests = std::exchange(requests_, {});
  if (aNow - lastUnansweredAt_ > settings_.confirmWithin_) {
    requests.clear();
  }
  return requests;
}

bool CrashDetector::IsUndecided(TimePoint aNow) const
{
  return !requests_.empty() &&
         aNow - lastUnansweredAt_ <= settings_.confirmWithin_;
}

} // namespace foxtail
