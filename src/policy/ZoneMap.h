#ifndef POLICY_ZONEMAP_H
#define POLICY_ZONEMAP_H

#include "core/EnumTable.h"
#include "core/Ids.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace foxtail {

enum class ZoneDistance : uint8_t
{
  /// The same availability zone.
  Same,
  /// Another availability zone of the same region.
  Near,
  /// Another region.
  Far,
};

template<>
struct EnumTable<ZoneDistance>
{
  static constexpr std::array<EnumName<ZoneDistance>, 3> kRows{ {
    { ZoneDistance::Same, "same" },
    { ZoneDistance::Near, "near" },
    { ZoneDistance::Far, "far" },
  } };
};

/// A region and its availability zones.
struct Region
{
  std::string name_;
  std::vector<ZoneName> zones_;
};

/// Distances from one availability zone to the others. Without regions every
/// other zone is near; a zone without a region is far from a zone with one.
/// Immutable, thread safe.
class ZoneMap
{
public:
  ZoneMap() = default;
  ZoneMap(ZoneName aOwnZone, const std::vector<Region>& aRegions);

  ZoneDistance DistanceTo(const ZoneName& aZone) const;
  /// @return the region of a zone, or an empty text when it is in none.
  std::string_view RegionOf(const ZoneName& aZone) const;

private:
  ZoneName ownZone_;
  std::string ownRegion_;
  std::unordered_map<ZoneName, std::string> regionOf_;
};

} // namespace foxtail

#endif // POLICY_ZONEMAP_H
