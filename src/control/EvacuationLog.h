#ifndef CONTROL_EVACUATIONLOG_H
#define CONTROL_EVACUATIONLOG_H

#include "control/CommandForwarder.h"

namespace foxtail {

/// Commits orders that begin or end the evacuation of an availability zone.
/// Thread safe.
class EvacuationLog
{
public:
  EvacuationLog(ReplicatedControl& aControl,
                FrameTransport& aFrames,
                Metrics& aMetrics);

  /// Commits an order; repeated until @p aDeadline while no leader confirms it.
  /// One that is committed more than once has no further effect.
  ///
  /// @param aIsEvacuated whether the evacuation begins; else it ends.
  /// @return the error of the last attempt when the outcome is unknown.
  boost::asio::awaitable<absl::Status> Commit(ZoneName aZone,
                                              bool aIsEvacuated,
                                              TimePoint aDeadline);

private:
  CommandForwarder forwarder_;
  prometheus::Counter& committed_;
  prometheus::Counter& notCommitted_;
};

} // namespace foxtail

#endif // CONTROL_EVACUATIONLOG_H
