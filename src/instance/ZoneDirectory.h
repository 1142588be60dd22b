#ifndef INSTANCE_ZONEDIRECTORY_H
#define INSTANCE_ZONEDIRECTORY_H

#include "instance/MembershipTypes.h"

#include <map>
#include <vector>

namespace foxtail {

/// What merging one summary did.
enum class ZoneMergeResult
{
  /// Older than what is known.
  Stale,
  /// The same content, heard anew.
  Refreshed,
  /// Other content, or a zone that can be reached again.
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

/// The other zones as one instance knows them: a summary each, ordered by how
/// lately a delegate of that zone told it. Ages travel, not times, so that no
/// clocks have to agree. Pure; not thread safe.
class ZoneDirectory
{
public:
  /// @param aSummary with age_ as of @p aNow.
  ZoneMergeResult Merge(const ZoneSummary& aSummary, TimePoint aNow);

  /// Marks zones that were not heard for @p aTimeout as unreachable.
  ///
  /// @param aSince zones count as heard then, at the earliest.
  /// @return the zones that were reachable before.
  std::vector<ZoneName> Expire(TimePoint aSince,
                               Duration aTimeout,
                               TimePoint aNow);

  /// Puts every zone's age off by a pause of this process.
  void ExcludePause(Duration aPause);

  /// @return the summary with its present age, or nothing.
  std::optional<ZoneSummary> Get(const ZoneName& aZone, TimePoint aNow) const;
  std::vector<ZoneSummary> List(TimePoint aNow) const;
  std::vector<ZoneName> Names() const;
  /// @return 0 for a zone that is not known.
  uint64_t HashOf(const ZoneName& aZone) const;
  size_t Size() const { return zones_.size(); }

private:
  struct Row
  {
    ZoneSummary summary_;
    TimePoint updatedAt_;
  };

  std::map<ZoneName, Row> zones_;
};

/// @return a hash of a summary's entries and delegates.
uint64_t ContentHash(const ZoneSummary& aSummary);

} // namespace foxtail

#endif // INSTANCE_ZONEDIRECTORY_H
