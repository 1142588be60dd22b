#ifndef CONTROL_CLAIMSERVER_H
#define CONTROL_CLAIMSERVER_H

#include "control/ReplicatedControl.h"

namespace foxtail {

/// Handles claim frames on a control instance: commits the command of each
/// frame through the replicated log, or replies with the leader's endpoint.
/// Thread safe.
class ClaimServer
{
public:
  /// @param aFrames must not have been started.
  ClaimServer(ReplicatedControl& aControl,
              FrameTransport& aFrames,
              Metrics& aMetrics);

private:
  boost::asio::awaitable<Frame> HandleClaim(Frame aFrame);
  boost::asio::awaitable<std::string> LeaderEndpoint();

  ReplicatedControl& control_;
  prometheus::Counter& committed_;
  prometheus::Counter& notCommitted_;
};

} // namespace foxtail

#endif // CONTROL_CLAIMSERVER_H
