#ifndef CONTROL_COMMANDFORWARDER_H
#define CONTROL_COMMANDFORWARDER_H

#include "control/ReplicatedControl.h"

namespace foxtail {

/// Makes the command of one attempt from this instance's state, which may be
/// stale. Runs on the control thread.
using CommandFactory = std::function<CommandBody(const ControlState&)>;

/// Commits commands from any control instance. On one that does not lead, a
/// command frame carries the command to the leader. Thread safe.
class CommandForwarder
{
public:
  CommandForwarder(ReplicatedControl& aControl, FrameTransport& aFrames);

  /// Commits a command; repeated until @p aDeadline while no leader confirms
  /// it. Committing it more than once must be harmless.
  ///
  /// @return Conflict when the command was refused and no attempt before can
  /// have applied it; the error of the last attempt when the outcome is
  /// unknown.
  boost::asio::awaitable<absl::Status> Commit(CommandFactory aMake,
                                              TimePoint aDeadline);

private:
  boost::asio::awaitable<absl::Status> CommitOnce(CommandFactory aMake,
                                                  milliseconds aTimeout);
  boost::asio::awaitable<absl::Status> SendToLeader(std::string aLeader,
                                                    CommandBody aBody,
                                                    milliseconds aTimeout);

  ReplicatedControl& control_;
  FrameTransport& frames_;
};

} // namespace foxtail

#endif // CONTROL_COMMANDFORWARDER_H
