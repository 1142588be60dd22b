#ifndef POLICY_EVACUATEDZONES_H
#define POLICY_EVACUATEDZONES_H

#include "core/Ids.h"

#include <cstdint>
#include <set>
#include <string>

namespace foxtail {

/// Availability zones whose backend servers receive no requests.
struct EvacuatedZones
{
  /// 0: the set is not known. Otherwise 1 plus the number of orders in the
  /// replicated log that changed it, so that the empty set of a new deployment
  /// differs from an unknown one.
  uint64_t revision_ = 0;
  std::set<ZoneName> zones_;

  bool IsKnown() const { return revision_ != 0; }
  /// @return the names of the zones with commas between them, for logs.
  std::string Names() const
  {
    std::string names;
    for (const ZoneName& zone : zones_) {
      names += (names.empty() ? "" : ",") + zone.Value();
    }
    return names;
  }
  /// Applies the set of one control instance. A set that is not newer is
  /// ignored: its source may be cut off or may have restarted.
  ///
  /// @return whether it is newer than this one.
  bool Adopt(const EvacuatedZones& aOther)
  {
    if (aOther.revision_ <= revision_) {
      return false;
    }
    *this = aOther;
    return true;
  }
};

} // namespace foxtail

#endif // POLICY_EVACUATEDZONES_H
