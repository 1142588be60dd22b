#ifndef FORWARD_ROUTEDOCUMENT_H
#define FORWARD_ROUTEDOCUMENT_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <absl/status/status.h>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

enum class RouteEffect
{
  /// Running a request again does no harm.
  Idempotent,
  /// A request must not be run more than once.
  AtMostOnce,
};

template<>
struct EnumTable<RouteEffect>
{
  static constexpr std::array<EnumName<RouteEffect>, 2> kRows{ {
    { RouteEffect::Idempotent, "idempotent" },
    { RouteEffect::AtMostOnce, "at_most_once" },
  } };
};

/// Requests go to one service.
struct SingleTarget
{
  ServiceName service_;
};

/// Requests are distributed over services by weight.
struct SplitTarget
{
  struct Part
  {
    ServiceName service_;
    double weight_ = 0;
  };
  std::vector<Part> parts_;
};

/// Each request goes to every one of these services, the shards of one index;
/// the greatest records of all parts are the answer.
struct GatherTarget
{
  std::vector<ServiceName> shards_;
  /// Records in an answer.
  uint32_t topRecords_ = 0;
  /// Least share of the shards in a success, 0 to 1.
  double leastShare_ = 1;
};

using RouteTarget = std::variant<SingleTarget, SplitTarget, GatherTarget>;

/// Says where requests of one host and path prefix go.
struct Route
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string pathPrefix_;
  RouteEffect effect_ = RouteEffect::AtMostOnce;
  /// A request has its final answer by then.
  milliseconds timeout_{};
  /// Until then an answer is worth its whole value.
  milliseconds objective_{};
  /// 0 is served first.
  uint32_t priority_ = 0;
  /// Backend servers that one request may be run on, for each shard.
  uint32_t maxAttempts_ = 1;
  RouteTarget target_;
};

/// A service that routes may name.
struct RoutedService
{
  ServiceName name_;
  /// Connections that one of its backend servers takes from all instances
  /// together.
  uint32_t maxConnections_ = 0;
};

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits
{
  uint32_t maxHeaderBytes_ = 16 * 1024;
  uint64_t maxBodyBytes_ = 1024 * 1024;
  milliseconds headerTimeout_{ 10000 };
  milliseconds idleTimeout_{ 60000 };
};

/// One version of the routes, accepted whole or refused.
struct RouteDocument
{
  DocumentVersion version_;
  std::vector<Route> routes_;
  std::vector<RoutedService> services_;
  CallerLimits limits_;

  /// @return InvalidDocument with the first fault and its remedy: an unknown
  /// service, two routes at one place, weights that add up to nothing, a time
  /// limit of 0.
  absl::Status Validate() const;
};

/// @return the services that a target names.
std::vector<ServiceName> ServicesOf(const RouteTarget& aTarget);

} // namespace foxtail

#endif // FORWARD_ROUTEDOCUMENT_H
