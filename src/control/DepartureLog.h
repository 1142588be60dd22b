#ifndef CONTROL_DEPARTURELOG_H
#define CONTROL_DEPARTURELOG_H

#include "control/ReplicatedControl.h"

namespace foxtail {

/// Commits departures of backend servers through the replicated log. On an
/// instance that does not lead, a command frame carries the departure to the
/// leader. Thread safe.
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
  boost::asio::awaitable<absl::Status> CommitOnce(ServerAnnouncement aDeparture,
                                                  milliseconds aTimeout);
  boost::asio::awaitable<absl::Status> SendToLeader(
    std::string aLeader,
    ServerAnnouncement aDeparture,
    milliseconds aTimeout);

  ReplicatedControl& control_;
  FrameTransport& frames_;
  prometheus::Counter& committed_;
  prometheus::Counter& notCommitted_;
};

} // namespace foxtail

#endif // CONTROL_DEPARTURELOG_H
