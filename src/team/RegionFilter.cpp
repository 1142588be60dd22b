#include "team/RegionFilter.h"

#include <algorithm>

namespace foxtail {
namespace {

bool IsIn(const AllowedRegions* aList, std::string_view aRegion)
{
  return aList == nullptr ||
         std::find(aList->begin(), aList->end(), aRegion) != aList->end();
}

} // namespace

RegionFilter::RegionFilter(const AllowedRegions& aRoute, const Team* aTeam)
  : route_(aRoute.empty() ? nullptr : &aRoute)
  , team_(aTeam == nullptr || aTeam->allowedRegions_.empty()
            ? nullptr
            : &aTeam->allowedRegions_)
{
}

bool RegionFilter::AllowsNone() const
{
  return route_ != nullptr && team_ != nullptr &&
         std::none_of(
           route_->begin(), route_->end(), [this](const std::string& aRegion) {
             return IsIn(team_, aRegion);
           });
}

bool RegionFilter::Allows(std::string_view aRegion) const
{
  return IsIn(route_, aRegion) && IsIn(team_, aRegion);
}

} // namespace foxtail
