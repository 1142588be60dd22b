#ifndef CONTROL_DEPARTURELOG_H
#define CONTROL_DEPARTURELOG_H

#include "control/CommandForwarder.h"

namespace foxtail {

/// Commits departures of backend servers through the replicated log. Thread
/// safe.
class DepartureLog
{
public:
  DepartureLog(ReplicatedControl& aControl,
               FrameTransport& aFrames,
               Metrics& aMetrics);

  /// Commits a departure; repeated until @p aDeadline while no leader confirms
  /// it. Committing one more than once has no further effect.
  ///
  /// @return the error of the last attempt when the outcome is unknown.
  boost::asio::awaitable<absl::Status> Commit(ServerAnnouncement aDeparture,
                                              TimePoint aDeadline);

private:
  CommandForwarder forwarder_;
  prometheus::Counter& committed_;
  prometheus::Counter& notCommitted_;
};

} // namespace foxtail

#endif // CONTROL_DEPARTURELOG_H
