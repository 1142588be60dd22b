#ifndef POLICY_DRAINPOLICY_H
#define POLICY_DRAINPOLICY_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"
#include "core/Time.h"
#include "policy/Announcement.h"

#include <optional>

namespace foxtail {

struct DrainSettings
{
  /// Without an announcement for this long, one failed attempt is enough to
  /// stop new work. Above the time between two announcements.
  milliseconds announcementTimeout_{ 1500 };
  /// How long a draining mark on a reply holds against announcements of "ready"
  /// by the same incarnation, which may have been made before the mark.
  milliseconds drainingMarkHold_{ 5000 };

  static DrainSettings Read(JsonReader& aReader);
};

/// What is known of one server beside its announcement's content.
struct DrainEvidence
{
  /// When its newest announcement was heard, renewals included. The routing
  /// table's own time is as old as the table, which renewals do not publish.
  TimePoint lastAnnouncementAt_{};
  /// Newest reply or refusal that was marked as draining, and the incarnation
  /// that the routing table named then.
  std::optional<TimePoint> markedAt_;
  Incarnation markedIncarnation_;
  /// Newest attempt that failed without an answer.
  std::optional<TimePoint> failedAt_;
};

enum class DrainVerdict
{
  TakesWork,
  /// By its announcement.
  Announced,
  /// By a mark on a reply or refusal.
  Marked,
  /// By lost announcements and a failed attempt.
  Silent,
};

template<>
struct EnumTable<DrainVerdict>
{
  static constexpr std::array<EnumName<DrainVerdict>, 4> kRows{ {
    { DrainVerdict::TakesWork, "takes_work" },
    { DrainVerdict::Announced, "announced" },
    { DrainVerdict::Marked, "marked" },
    { DrainVerdict::Silent, "silent" },
  } };
};

/// Decides whether a server gets new work. Pure; called for each replica that
/// is weighed.
DrainVerdict DecideDrain(const DrainSettings& aSettings,
                         const Announcement& aAnnouncement,
                         const DrainEvidence& aEvidence,
                         TimePoint aNow);

} // namespace foxtail

#endif // POLICY_DRAINPOLICY_H
