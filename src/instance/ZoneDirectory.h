#ifndef INSTANCE_ZONEDIRECTORY_H
#define INSTANCE_ZONEDIRECTORY_H

#include "instance/MembershipTypes.h"

#include <map>
#include <vector>

namespace foxtail {

/// Result of merging one summary.
enum class ZoneMergeResult
{
  /// The summary is not newer than the stored one.
  Stale,
  /// The summary is newer, with the same content.
  Refreshed,
  /// The zone is new, its content differs, or its reachability has changed.
  Changed,
};

template<>
struct EnumTable<ZoneMergeResult>
{
  static constexpr std::array<EnumName<ZoneMergeResult>, 3> kRows{ {
    { ZoneMergeResult::Stale, "stale" },
    { ZoneMergeResult::Refreshed, "refreshed" },
    { ZoneMergeResult::Changed, "changed" },
  } };
};

/// Holds the latest summary of each other zone. Of two summaries of a zone, the
/// one that a delegate of that zone sent later is newer. Messages carry the
/// ages of summaries, not times, so that clocks need not agree. Reads no clock;
/// not thread safe.
class ZoneDirectory
{
public:
  /// Stores a summary when it is newer than the one of its zone.
  ///
  /// @param aSummary its age_ is as of @p aNow.
  ZoneMergeResult Merge(const ZoneSummary& aSummary, TimePoint aNow);

  /// Marks a zone as unreachable when its summary is older than @p aTimeout.
  ///
  /// @param aSince older summaries count as sent at this time.
  /// @return the zones that were reachable before.
  std::vector<ZoneName> Expire(TimePoint aSince,
                               Duration aTimeout,
                               TimePoint aNow);

  /// Leaves a pause of this process out of the age of every summary.
  void ExcludePause(Duration aPause);

  /// @return the summary with its present age, or nullopt for an unknown zone.
  std::optional<ZoneSummary> Get(const ZoneName& aZone, TimePoint aNow) const;
  std::vector<ZoneSummary> List(TimePoint aNow) const;
  std::vector<ZoneName> Names() const;
  /// @return the content hash of the zone's summary; 0 for an unknown zone.
  uint64_t HashOf(const ZoneName& aZone) const;
  size_t Size() const { return zones_.size(); }

private:
  struct Row
  {
    ZoneSummary summary_;
    /// Time at which a delegate of the zone sent the summary.
    TimePoint updatedAt_;
  };

  std::map<ZoneName, Row> zones_;
};

/// @return a hash of a summary's entry count and delegates.
uint64_t ContentHash(const ZoneSummary& aSummary);

} // namespace foxtail

#endif // INSTANCE_ZONEDIRECTORY_H
