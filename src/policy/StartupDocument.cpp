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
  // Each was requested after the start, so the first one is enough.
  if (!confirmed_) {
    confirmed_ = aLatest;
  }
}

bool StartupDocument::MayApply(TimePoint aNow) const
{
  if (!received_) {
    return false;
  }
  if (confirmed_) {
    return received_ >= confirmed_->version_;
  }
  return aNow - firstReceivedAt_ >= settings_.confirmationTimeout_;
}

} // namespace foxtail
