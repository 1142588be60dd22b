#include "forward/RouteDocument.h"

#include "core/Error.h"

#include <cmath>
#include <set>
#include <unordered_set>

namespace foxtail {
namespace {

absl::Status RouteError(const Route& aRoute, std::string_view aMessage)
{
  return MakeError(ErrorKind::InvalidDocument,
                   "route " + aRoute.name_ + ": " + std::string(aMessage));
}

struct TargetCheck
{
  const Route& route_;

  absl::Status operator()(const SingleTarget&) const
  {
    return absl::OkStatus();
  }

  absl::Status operator()(const SplitTarget& aTarget) const
  {
    double sum = 0;
    for (const SplitTarget::Part& part : aTarget.parts_) {
      if (!std::isfinite(part.weight_) || part.weight_ < 0) {
        return RouteError(route_, "a weight is negative; give 0 or more");
      }
      sum += part.weight_;
    }
    return sum > 0 ? absl::OkStatus()
                   : RouteError(route_,
                                "its weights add up to 0; give at least one "
                                "service a weight above 0");
  }

  absl::Status operator()(const GatherTarget& aTarget) const
  {
    if (aTarget.shards_.empty()) {
      return RouteError(route_, "it has no shards; list at least one service");
    }
    const std::unordered_set<ServiceName> names(aTarget.shards_.begin(),
                                                aTarget.shards_.end());
    if (names.size() != aTarget.shards_.size()) {
      return RouteError(route_, "it lists a shard twice; list each once");
    }
    if (route_.effect_ != RouteEffect::Idempotent) {
      return RouteError(route_, "a query over shards must be idempotent");
    }
    const bool isValidShare =
      aTarget.leastShare_ >= 0 && aTarget.leastShare_ <= 1;
    return isValidShare
             ? absl::OkStatus()
             : RouteError(route_,
                          "its minimum share of shards must be from 0 to 1");
  }
};

absl::Status CheckRoute(const Route& aRoute,
                        const std::unordered_set<ServiceName>& aServices)
{
  const std::string& prefix = aRoute.pathPrefix_;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return RouteError(aRoute,
                      "its path prefix must begin and end with a slash");
  }
  if (aRoute.timeout_ <= milliseconds::zero()) {
    return RouteError(aRoute, "its time limit is 0; give at least 1 ms");
  }
  for (const ServiceName& service : ServicesOf(aRoute.target_)) {
    if (!aServices.contains(service)) {
      return RouteError(
        aRoute,
        "it refers to the service " + service.Value() +
          ", which is not in the document; add it or refer to another");
    }
  }
  return std::visit(TargetCheck{ aRoute }, aRoute.target_);
}

struct ServiceLister
{
  std::vector<ServiceName> operator()(const SingleTarget& aTarget) const
  {
    return { aTarget.service_ };
  }
  std::vector<ServiceName> operator()(const SplitTarget& aTarget) const
  {
    std::vector<ServiceName> services;
    services.reserve(aTarget.parts_.size());
    for (const SplitTarget::Part& part : aTarget.parts_) {
      services.push_back(part.service_);
    }
    return services;
  }
  std::vector<ServiceName> operator()(const GatherTarget& aTarget) const
  {
    return aTarget.shards_;
  }
};

} // namespace

std::vector<ServiceName> ServicesOf(const RouteTarget& aTarget)
{
  return std::visit(ServiceLister{}, aTarget);
}

absl::Status RouteDocument::Validate() const
{
  std::unordered_set<ServiceName> names;
  for (const RoutedService& service : services_) {
    if (!names.insert(service.name_).second) {
      return MakeError(ErrorKind::InvalidDocument,
                       "service " + service.name_.Value() +
                         " is listed twice; list each service once");
    }
  }
  std::set<std::pair<std::string_view, std::string_view>> hostsAndPrefixes;
  for (const Route& route : routes_) {
    if (auto status = CheckRoute(route, names); !status.ok()) {
      return status;
    }
    if (!hostsAndPrefixes.emplace(route.host_, route.pathPrefix_).second) {
      return RouteError(route,
                        "another route has the same host and path prefix; give "
                        "each route its own host and path prefix");
    }
  }
  return teams_ ? foxtail::Validate(*teams_) : absl::OkStatus();
}

} // namespace foxtail
