#include "policy/DrainPolicy.h"

namespace foxtail {
namespace {

bool IsMarked(const DrainSettings& aSettings,
              const Announcement& aAnnouncement,
              const DrainEvidence& aEvidence)
{
  if (!aEvidence.markedAt_ ||
      aEvidence.markedIncarnation_ != aAnnouncement.incarnation_) {
    return false;
  }
  return aEvidence.lastAnnouncementAt_ <=
         *aEvidence.markedAt_ + aSettings.drainingMarkHold_;
}

bool IsSilent(const DrainSettings& aSettings,
              const DrainEvidence& aEvidence,
              TimePoint aNow)
{
  return aEvidence.failedAt_ &&
         *aEvidence.failedAt_ >= aEvidence.lastAnnouncementAt_ &&
         aNow - aEvidence.lastAnnouncementAt_ >= aSettings.announcementTimeout_;
}

} // namespace

DrainSettings DrainSettings::Read(JsonReader& aReader)
{
  DrainSettings result;
  const milliseconds longest(600000);
  result.announcementTimeout_ = aReader.Millis(
    "silence_ms", result.announcementTimeout_, milliseconds(100), longest);
  result.drainingMarkHold_ = aReader.Millis(
    "mark_hold_ms", result.drainingMarkHold_, milliseconds(0), longest);
  return result;
}

DrainVerdict DecideDrain(const DrainSettings& aSettings,
                         const Announcement& aAnnouncement,
                         const DrainEvidence& aEvidence,
                         TimePoint aNow)
{
  const BackendState state = aAnnouncement.state_;
  if (state == BackendState::Draining || state == BackendState::Gone) {
    return DrainVerdict::Announced;
  }
  if (IsMarked(aSettings, aAnnouncement, aEvidence)) {
    return DrainVerdict::Marked;
  }
  if (IsSilent(aSettings, aEvidence, aNow)) {
    return DrainVerdict::Silent;
  }
  return DrainVerdict::TakesWork;
}

} // namespace foxtail
