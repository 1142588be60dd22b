#ifndef POLICY_CONNECTIONSHARE_H
#define POLICY_CONNECTIONSHARE_H

#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>

namespace foxtail {

struct ConnectionShareSettings
{
  /// Percentage of each limit that is reserved for joining instances.
  double reservePercent_ = 10;
  /// How long an instance waits before it uses a larger share, so that all
  /// other instances have reduced theirs. Longer than a membership change takes
  /// to reach all instances.
  milliseconds growDelay_{ 4000 };
  /// How long the share of an instance that was lost without deregistering
  /// stays reserved. The instance may be partitioned from its peers and still
  /// hold its connections.
  milliseconds lostInstanceHold_{ 30000 };
  /// How long a share stays reduced by one after the server refused a
  /// connection.
  milliseconds refusedHold_{ 10000 };

  static ConnectionShareSettings Read(JsonReader& aReader);
};

struct ConnectionShareInput
{
  /// Connections that the backend server accepts.
  uint32_t limit_ = 1;
  /// Entry instances that share the limit, this one included: the live ones,
  /// and those lost for less than lostInstanceHold_.
  uint32_t instances_ = 1;
  /// This instance's position among them in the placement order for this
  /// server, from 0. All instances compute the same order.
  uint32_t rank_ = 0;
};

/// @return the connections of the instance at the given rank. The sum of all
/// shares is at most the limit less the reserve. With fewer connections than
/// instances, the first ranks get one each and the others none.
uint32_t ShareOf(const ConnectionShareSettings& aSettings,
                 const ConnectionShareInput& aInput);

/// One instance's share of a backend server's connections. It shrinks at once,
/// and grows only after the other instances have had time to shrink theirs.
/// Does no I/O. Not thread safe.
class ConnectionShare
{
public:
  explicit ConnectionShare(ConnectionShareSettings aSettings);

  /// @return the connections that this instance may hold now; the caller closes
  /// idle ones above it.
  uint32_t Update(const ConnectionShareInput& aInput, TimePoint aNow);

  /// Call when the server refused or closed a new connection: other instances
  /// exceed their shares, or the announced limit is too high.
  void OnRefused(TimePoint aNow);

  uint32_t Current() const { return current_; }

private:
  ConnectionShareSettings settings_;
  uint32_t current_ = 0;
  bool isFirstUpdate_ = true;
  /// Largest share that may be used from growAt_ on.
  std::optional<uint32_t> pendingShare_;
  TimePoint growAt_{};
  std::optional<TimePoint> refusedUntil_;
};

} // namespace foxtail

#endif // POLICY_CONNECTIONSHARE_H
