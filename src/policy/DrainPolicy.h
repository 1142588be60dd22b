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
  /// Without an announcement for this long, one failed attempt suffices to stop
  /// new requests. Above the interval between two announcements.
  milliseconds announcementTimeout_{ 1500 };
  /// How long a draining mark in a reply overrides "ready" announcements by the
  /// same incarnation, which may have been made before the mark.
  milliseconds drainingMarkHold_{ 5000 };

  static DrainSettings Read(JsonReader& aReader);
};

/// Observations of one server in addition to its announcement's content.
struct DrainEvidence
{
  /// When the last announcement was received, renewals included. The time in
  /// the routing table is older, since a renewal does not publish a new table.
  TimePoint lastAnnouncementAt_{};
  /// Latest reply or refusal that was marked as draining, and the server's
  /// incarnation in the routing table at that time.
  std::optional<TimePoint> markedAt_;
  Incarnation markedIncarnation_;
  /// Latest attempt that failed without a reply.
  std::optional<TimePoint> failedAt_;
};

enum class DrainVerdict
{
  TakesWork,
  /// Draining by its announcement.
  Announced,
  /// Draining by a mark in a reply or refusal.
  Marked,
  /// Announcements are missing, and an attempt failed.
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

/// Decides whether a server gets new requests. Has no side effects; called for
/// each replica that is considered.
DrainVerdict DecideDrain(const DrainSettings& aSettings,
                         const Announcement& aAnnouncement,
                         const DrainEvidence& aEvidence,
                         TimePoint aNow);

} // namespace foxtail

#endif // POLICY_DRAINPOLICY_H
