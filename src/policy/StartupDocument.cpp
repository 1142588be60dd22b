#include "policy/StartupDocument.h"

namespace foxtail {

StartupDocument::StartupDocument(StartupDocumentSettings aSettings)
  : settings_(aSettings)
{
}

void StartupDocument::OnReceived(DocumentVersion aVersion, TimePoint aNow)
{
  if (!received_) {
    firstReceivedAt_ = aNow;
  }
  received_ = aVersion;
}

void StartupDocument::OnConfirmed(const LatestVersion& aLatest)
{
  // An earlier confirmation was requested after the start as well, so it is as
  // good as a later one, and an older version satisfies it.
  if (!confirmed_) {
    confirmed_ = aLatest;
  }
}

bool StartupDocument::MayApply(TimePoint aNow) const
{
  if (!received_) {
    return false;
  }
  const bool isLatest = confirmed_ && received_ >= confirmed_->version_;
  return isLatest || aNow - firstReceivedAt_ >= settings_.confirmationTimeout_;
}

} // namespace foxtail
