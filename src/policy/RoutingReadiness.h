#ifndef POLICY_ROUTINGREADINESS_H
#define POLICY_ROUTINGREADINESS_H

#include "core/JsonReader.h"
#include "core/Time.h"

#include <atomic>

namespace foxtail {

struct RoutingReadinessSettings
{
  /// How long a starting instance waits for announcements before it becomes
  /// ready with shards missing. Longer than the interval in which servers
  /// renew, so that a server still missing then is missing at all instances.
  milliseconds maxWait_{ 2500 };

  /// Reads the member routing_wait_ms.
  static RoutingReadinessSettings Read(JsonReader& aReader);
};

/// Decides when a starting instance has received enough announcements to accept
/// callers. Once ready it stays ready; if a shard is lost later, the coverage
/// in the answers shows it. Thread safe.
class RoutingReadiness
{
public:
  explicit RoutingReadiness(RoutingReadinessSettings aSettings);

  /// @param aIsCovered whether each catalogue of the document is announced with
  /// all of its shards.
  /// @param aSinceStart time since the instance began to receive announcements.
  bool IsReady(bool aIsCovered, Duration aSinceStart);

private:
  RoutingReadinessSettings settings_;
  std::atomic<bool> isReady_{ false };
};

} // namespace foxtail

#endif // POLICY_ROUTINGREADINESS_H
