#ifndef POLICY_CONNECTIONSHARE_H
#define POLICY_CONNECTIONSHARE_H

#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>

namespace foxtail {

struct ConnectionShareSettings
{
  /// Part of each limit that is left to joining instances, in percent.
  double reservePercent_ = 10;
  /// How long a larger share waits, so that every other instance has shrunk
  /// its own first. Longer than news of an instance takes to reach all.
  milliseconds growDelay_{ 4000 };
  /// How long the share of an instance that was lost without a goodbye is kept
  /// free: it may be cut off from its peers and still hold its connections.
  milliseconds lostInstanceHold_{ 30000 };
  /// How long a share stays one smaller after the server refused a connection.
  milliseconds refusedHold_{ 10000 };

  static ConnectionShareSettings Read(JsonReader& aReader);
};

struct ConnectionShareInput
{
  /// Connections that the backend server accepts.
  uint32_t limit_ = 1;
  /// Entry instances that share it, this one included: the live ones, and those
  /// lost for less than lostInstanceHold_.
  uint32_t instances_ = 1;
  /// This instance's place among them in the order that placement gives for
  /// this server, from 0. All instances derive the same order.
  uint32_t rank_ = 0;
};

/// @return the connections of the instance at the given rank, so that all
/// shares together are at most the limit less the reserve. With fewer
/// connections than instances the first ranks get one each, the others none.
uint32_t ShareOf(const ConnectionShareSettings& aSettings,
                 const ConnectionShareInput& aInput);

/// One instance's share of one backend server's connections: shrinks at once,
/// grows after the others have had time to shrink. Pure. Not thread safe.
class ConnectionShare
{
public:
  explicit ConnectionShare(ConnectionShareSettings aSettings);

  /// @return the connections that this instance may hold now; close idle ones
  /// above it.
  uint32_t Update(const ConnectionShareInput& aInput, TimePoint aNow);

  /// Notes that the server refused or closed a new connection: others hold more
  /// than their share, or the announced limit is too high.
  void OnRefused(TimePoint aNow);

  uint32_t Current() const { return current_; }

private:
  ConnectionShareSettings settings_;
  uint32_t current_ = 0;
  bool isFirstUpdate_ = true;
  /// Largest share that may be taken when growAt_ has come.
  std::optional<uint32_t> pendingShare_;
  TimePoint growAt_{};
  std::optional<TimePoint> refusedUntil_;
};

} // namespace foxtail

#endif // POLICY_CONNECTIONSHARE_H
