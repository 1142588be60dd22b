#ifndef EDGE_EDGECONTROL_H
#define EDGE_EDGECONTROL_H

#include "control/VersionedDocumentService.h"
#include "core/Metrics.h"
#include "core/WorkerPool.h"
#include "feed/FeedClient.h"
#include "feed/FeedSource.h"
#include "instance/FrameTransport.h"

#include <atomic>

namespace foxtail {

/// Settings of a control instance beside forwarding entry instances.
struct EdgeControlSettings
{
  InstanceId instance_;
  ZoneName zone_;
  /// Folder of the log and the snapshot; only this process may use it.
  std::string dataFolder_;
  FrameTransportSettings frames_;
  ControlSettings control_;
  /// May make the group, when its folder is empty.
  bool mayBootstrap_ = false;
};

/// A control instance: its member of the replicated log, orders, the feed of
/// entry instances, and what other control instances hear from backend servers.
/// Start() and Stop() are called from one thread, the rest is thread safe.
class EdgeControl : private FeedListener
{
public:
  /// @param aOnFailure is called once when the storage has failed.
  EdgeControl(EdgeControlSettings aSettings,
              DataFolder aFolder,
              std::function<void()> aOnFailure);
  ~EdgeControl() override;

  absl::Status Start();
  /// Hands over leadership and ends.
  void Stop();
  /// Takes other seeds.
  void SetSeeds(std::vector<ControlPeer> aSeeds);

  VersionedDocumentService& Documents() { return documents_; }
  FeedSource& Feed() { return feed_; }
  Metrics& GetMetrics() { return metrics_; }
  /// For the ports of the same process.
  WorkerPool& Workers() { return workers_; }
  bool IsLeader() const { return control_.IsLeader(); }

private:
  void OnFeedDocument(DocumentVersion, const std::string&, TimePoint) override
  {
  }
  void OnFeedServers(const ServerDirectory& aDirectory,
                     TimePoint aNow) override;
  void OnFeedEntryCount(uint32_t, bool, TimePoint) override {}
  /// Hears other control instances for what servers tell them. Thread safe.
  void PollPeers(std::vector<std::string> aEndpoints);
  /// Logs what was sent to other instances, by kind.
  void ScheduleTrafficLog();

  const EdgeControlSettings settings_;
  Metrics metrics_;
  WorkerPool workers_;
  FrameTransport frames_;
  ReplicatedControl control_;
  VersionedDocumentService documents_;
  FeedSource feed_;
  FeedClient peers_;
  boost::asio::steady_timer trafficTimer_;
};

} // namespace foxtail

#endif // EDGE_EDGECONTROL_H
