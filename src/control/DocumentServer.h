#ifndef CONTROL_DOCUMENTSERVER_H
#define CONTROL_DOCUMENTSERVER_H

#include "control/ReplicatedControl.h"
#include "instance/DocumentMessages.h"

#include "core/RandomSource.h"

#include <map>
#include <mutex>

namespace foxtail {

/// Serves the accepted document to entry instances. Replies to their reads, and
/// on the leader sends each new version to a few of them, which spread it among
/// themselves. Thread safe.
class DocumentServer
{
public:
  /// @param aControl must not have been started.
  /// @param aTargets endpoints for frames of entry instances that receive new
  /// versions.
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
  /// Endpoints from the settings.
  std::vector<FrameTransport::Endpoint> configuredTargets_;
  /// Endpoints of entry instances that have read the document; kMaxReaders at
  /// most.
  std::map<InstanceId, FrameTransport::Endpoint> readers_;
  prometheus::Counter& reads_;
  prometheus::Counter& notified_;
};

} // namespace foxtail

#endif // CONTROL_DOCUMENTSERVER_H
