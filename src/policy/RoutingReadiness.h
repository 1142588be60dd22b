#ifndef POLICY_ROUTINGREADINESS_H
#define POLICY_ROUTINGREADINESS_H

#include "core/JsonReader.h"
#include "core/Time.h"

#include <atomic>

namespace foxtail {

struct RoutingReadinessSettings
{
  /// How long a starting instance listens for backend servers before it is
  /// ready without some: longer than servers take to renew, so that what is
  /// missing then is missing everywhere.
  milliseconds maxWait_{ 2500 };

  /// Reads the member routing_wait_ms.
  static RoutingReadinessSettings Read(JsonReader& aReader);
};

/// Decides when a starting instance has heard enough backend servers to be sent
/// callers. Once ready it stays so: a shard lost later is told by the answers'
/// coverage. Thread safe.
class RoutingReadiness
{
public:
  explicit RoutingReadiness(RoutingReadinessSettings aSettings);

  /// @param aIsCovered whether each catalogue of the document is announced
  /// with all of its shards.
  /// @param aSinceStart how long the instance has listened.
  bool IsReady(bool aIsCovered, Duration aSinceStart);

private:
  RoutingReadinessSettings settings_;
  std::atomic<bool> isReady_{ false };
};

} // namespace foxtail

#endif // POLICY_ROUTINGREADINESS_H
