#ifndef CONTROL_DEPARTURETABLE_H
#define CONTROL_DEPARTURETABLE_H

#include "policy/ServerDirectory.h"

#include <deque>
#include <map>
#include <utility>

namespace foxtail {

/// Departures of backend servers: for each id the latest announcement of a
/// server that drains or has deregistered. A row expires once kRetention of log
/// time has passed; no older announcement of the server can arrive by then.
/// Deterministic. Not thread safe.
class DepartureTable
{
public:
  /// Log time may jump with the clock of the leader, so this exceeds the time
  /// for which directories keep a record.
  static constexpr milliseconds kRetention = 2 * ServerDirectory::kExpireAfter;

  struct Row
  {
    ServerAnnouncement announcement_;
    /// Log time, since the epoch.
    milliseconds recordedAt_{};
  };
  /// Ordered, so that equal tables have equal snapshots.
  using Rows = std::map<BackendId, Row>;

  /// Stores a departure unless a later one of the same server is stored.
  ///
  /// @param aDeparture its phase must not be Ready.
  /// @param aTime log time, since the epoch.
  void Apply(const ServerAnnouncement& aDeparture, milliseconds aTime);

  /// Replaces all rows by those of a snapshot.
  void Restore(Rows aRows);

  const Rows& GetRows() const { return rows_; }

private:
  void Expire(milliseconds aTime);

  Rows rows_;
  /// Time and id of each row in order of time; a row that was replaced has
  /// earlier entries, which are skipped.
  std::deque<std::pair<milliseconds, BackendId>> recorded_;
};

} // namespace foxtail

#endif // CONTROL_DEPARTURETABLE_H
