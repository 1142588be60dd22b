#ifndef CONTROL_COMMANDSERVER_H
#define CONTROL_COMMANDSERVER_H

#include "control/ReplicatedControl.h"

namespace foxtail {

/// Handles command frames on a control instance: commits the command of each
/// frame through the replicated log, or replies with the leader's endpoint.
/// Thread safe.
class CommandServer
{
public:
  /// @param aFrames must not have been started.
  CommandServer(ReplicatedControl& aControl,
                FrameTransport& aFrames,
                Metrics& aMetrics);

private:
  boost::asio::awaitable<Frame> HandleCommand(Frame aFrame);

  ReplicatedControl& control_;
  prometheus::Counter& committed_;
  prometheus::Counter& notCommitted_;
};

} // namespace foxtail

#endif // CONTROL_COMMANDSERVER_H
