#ifndef CONTROL_DOCUMENTSERVER_H
#define CONTROL_DOCUMENTSERVER_H

#include "control/ReplicatedControl.h"
#include "instance/DocumentMessages.h"

#include "core/RandomSource.h"

#include <map>
#include <mutex>

namespace foxtail {

/// Gives the accepted document to entry instances: answers their reads, and as
/// the leader tells a few of them of each new version, which spread it among
/// themselves. Thread safe.
class DocumentServer
{
public:
  /// @param aControl must not have been started.
  /// @param aTargets endpoints for frames of entry instances that are told of
  /// new versions.
  DocumentServer(ReplicatedControl& aControl,
                 FrameTransport& aFrames,
                 const std::vector<std::string>& aTargets,
                 Metrics& aMetrics);

private:
  boost::asio::awaitable<Frame> HandleRead(InstanceId aFrom, Frame aFrame);
  void AddReader(const InstanceId& aFrom, const std::string& aEndpoint);
  void NotifyTargets(DocumentVersion aVersion, const std::string& aText);
  std::vector<FrameTransport::Endpoint> PickTargets();

  ReplicatedControl& control_;
  FrameTransport& frames_;
  std::mutex mutex_;
  RandomSource random_;
  /// From the settings.
  std::vector<FrameTransport::Endpoint> configuredTargets_;
  /// LogEntry instances that have read lately, by name.
  std::map<InstanceId, FrameTransport::Endpoint> readers_;
  prometheus::Counter& reads_;
  prometheus::Counter& notified_;
};

} // namespace foxtail

#endif // CONTROL_DOCUMENTSERVER_H
