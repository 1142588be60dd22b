#include "forward/RouteTable.h"

#include <algorithm>

namespace foxtail {
namespace {

std::string HostKey(std::string_view aHost)
{
  std::string key(aHost.substr(0, aHost.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return key;
}

} // namespace

RouteTable::RouteTable(RouteDocument aDocument)
  : document_(std::move(aDocument))
{
  for (const Route& route : document_.routes_) {
    byHostAndPrefix_.emplace(HostKey(route.host_) + route.pathPrefix_, &route);
  }
  for (const RoutedService& service : document_.services_) {
    services_.emplace(service.name_, &service);
  }
  if (document_.teams_) {
    teams_.emplace(*document_.teams_);
  }
}

const Route* RouteTable::Find(std::string_view aHost,
                              std::string_view aPath) const
{
  std::string key = HostKey(aHost);
  const size_t hostLength = key.size();
  key.append(aPath);
  // Each prefix ends with a slash, so the longest match is found by cutting the
  // path at its slashes from the last to the first.
  for (size_t at = key.rfind('/'); at != std::string::npos && at >= hostLength;
       at = key.rfind('/')) {
    key.resize(at + 1);
    if (const auto found = byHostAndPrefix_.find(key);
        found != byHostAndPrefix_.end()) {
      return found->second;
    }
    key.resize(at);
  }
  return nullptr;
}

RegionFilter RouteTable::RegionsFor(const Route& aRoute,
                                    std::string_view aTeam) const
{
  const bool hasTeam = teams_ && !aTeam.empty();
  return { aRoute.allowedRegions_,
           hasTeam ? teams_->FindByName(aTeam) : nullptr };
}

const RoutedService* RouteTable::FindService(const ServiceName& aName) const
{
  const auto found = services_.find(aName);
  return found == services_.end() ? nullptr : found->second;
}

} // namespace foxtail
