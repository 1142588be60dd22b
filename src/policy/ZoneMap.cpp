#include "policy/ZoneMap.h"

namespace foxtail {

ZoneMap::ZoneMap(ZoneName aOwnZone, const std::vector<Region>& aRegions)
  : ownZone_(std::move(aOwnZone))
{
  for (const Region& region : aRegions) {
    for (const ZoneName& zone : region.zones_) {
      regionOf_[zone] = region.name_;
    }
  }
  const auto own = regionOf_.find(ownZone_);
  if (own != regionOf_.end()) {
    ownRegion_ = own->second;
  }
}

ZoneDistance ZoneMap::DistanceTo(const ZoneName& aZone) const
{
  if (aZone == ownZone_) {
    return ZoneDistance::Same;
  }
  return RegionOf(aZone) == ownRegion_ ? ZoneDistance::Near : ZoneDistance::Far;
}

std::string_view ZoneMap::RegionOf(const ZoneName& aZone) const
{
  const auto found = regionOf_.find(aZone);
  return found == regionOf_.end() ? std::string_view() : found->second;
}

} // namespace foxtail
