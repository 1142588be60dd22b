#ifndef FORWARD_ROUTEDOCUMENT_H
#define FORWARD_ROUTEDOCUMENT_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "team/Team.h"

#include <absl/status/status.h>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

enum class RouteEffect
{
  /// A request may be run more than once without harm.
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

/// Sends requests to one service.
struct SingleTarget
{
  ServiceName service_;
};

/// Distributes requests over services by weight.
struct SplitTarget
{
  struct Part
  {
    ServiceName service_;
    double weight_ = 0;
  };
  std::vector<Part> parts_;
};

/// Sends each request to all of these services, the shards of one index, and
/// answers with the greatest records of all parts.
struct GatherTarget
{
  std::vector<ServiceName> shards_;
  /// Maximum number of records in an answer.
  uint32_t topRecords_ = 0;
  /// Minimum share of the shards in a successful answer, 0 to 1.
  double leastShare_ = 1;
};

using RouteTarget = std::variant<SingleTarget, SplitTarget, GatherTarget>;

/// Target and limits of the requests with one host and path prefix.
struct Route
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string pathPrefix_;
  RouteEffect effect_ = RouteEffect::AtMostOnce;
  /// Time limit for the final answer.
  milliseconds timeout_{};
  /// Latency objective: an answer keeps its whole value until then.
  milliseconds objective_{};
  /// Priority; 0 is served first.
  uint32_t priority_ = 0;
  /// Maximum number of backend servers that may run one request, per shard.
  uint32_t maxAttempts_ = 1;
  /// Whether a request needs no key, although the document has teams.
  bool isPublic_ = false;
  AllowedRegions allowedRegions_;
  RouteTarget target_;
};

/// A service that routes may refer to.
struct RoutedService
{
  ServiceName name_;
  /// Connections that one of its backend servers accepts from all instances
  /// together.
  uint32_t maxConnections_ = 0;
  /// How long its backend servers are cold after a start.
  milliseconds warmup_{ 0 };
  /// Requests per second that a cold backend server tolerates from all
  /// instances together; 0 does not limit them.
  double warmupPerSecond_ = 0;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits
{
  uint32_t maxHeaderBytes_ = 16 * 1024;
  uint64_t maxBodyBytes_ = 1024 * 1024;
  milliseconds headerTimeout_{ 10000 };
  milliseconds idleTimeout_{ 60000 };
};

/// One version of the routes, accepted or refused as a whole.
struct RouteDocument
{
  DocumentVersion version_;
  std::vector<Route> routes_;
  std::vector<RoutedService> services_;
  CallerLimits limits_;
  /// Teams of callers. Without a list, requests need no key; with an empty one,
  /// only public routes are served.
  std::optional<std::vector<Team>> teams_;

  /// @return InvalidDocument with the first fault and its remedy, for example
  /// an unknown service, two routes with the same host and path prefix, weights
  /// that add up to 0, a time limit of 0, or a key that two teams hold.
  absl::Status Validate() const;
};

/// @return the services of a target.
std::vector<ServiceName> ServicesOf(const RouteTarget& aTarget);

} // namespace foxtail

#endif // FORWARD_ROUTEDOCUMENT_H
