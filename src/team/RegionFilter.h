#ifndef TEAM_REGIONFILTER_H
#define TEAM_REGIONFILTER_H

#include "team/Team.h"

#include <string_view>

namespace foxtail {

/// Regions whose backend servers may receive a request: those that are in the
/// list of its route and in that of its team, where these have one. Refers to
/// the lists, which must outlive it.
class RegionFilter
{
public:
  /// Allows all regions.
  RegionFilter() = default;
  /// @param aTeam team of the request, or null.
  RegionFilter(const AllowedRegions& aRoute, const Team* aTeam);

  /// @return whether all regions are allowed, also those of zones that are in
  /// no region.
  bool AllowsAll() const { return route_ == nullptr && team_ == nullptr; }
  /// @return whether no region is in both lists.
  bool AllowsNone() const;
  /// @param aRegion region of a backend server; empty if it has none.
  bool Allows(std::string_view aRegion) const;

private:
  /// Null allows all regions.
  const AllowedRegions* route_ = nullptr;
  const AllowedRegions* team_ = nullptr;
};

} // namespace foxtail

#endif // TEAM_REGIONFILTER_H
