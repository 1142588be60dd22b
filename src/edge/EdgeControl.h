#ifndef EDGE_EDGECONTROL_H
#define EDGE_EDGECONTROL_H

#include "allowance/AllowanceServer.h"
#include "control/CommandServer.h"
#include "control/DepartureLog.h"
#include "control/EvacuationLog.h"
#include "control/VersionedDocumentService.h"
#include "core/Metrics.h"
#include "core/WorkerPool.h"
#include "edge/ServerRegistration.h"
#include "feed/FeedClient.h"
#include "feed/FeedSource.h"
#include "forward/RouteDocument.h"
#include "instance/FrameTransport.h"

#include <atomic>

namespace foxtail {

/// Settings of a control instance that serves forwarding entry instances.
struct EdgeControlSettings
{
  InstanceId instance_;
  ZoneName zone_;
  /// Folder of the log and the snapshot; only this process may use it.
  std::string dataFolder_;
  FrameTransportSettings frames_;
  ControlSettings control_;
  AllowanceSettings allowance_;
  /// Whether this instance may create the consensus group when its folder is
  /// empty.
  bool mayBootstrap_ = false;
};

/// A control instance: a member of the replicated log, the service that commits
/// documents, the feed for entry instances, the registration of backend
/// servers, and a client that receives from other control instances the servers
/// that announced themselves there. Start() and Stop() are called from one
/// thread; all other functions are thread safe.
class EdgeControl : private FeedListener
{
public:
  /// Decodes the text of the accepted document.
  using Decoder =
    std::function<absl::StatusOr<RouteDocument>(const std::string& aText)>;

  /// @param aOnFailure called once when the storage has failed.
  /// @param aDecoder gives the quotas of teams; without it no permits are
  /// shared.
  EdgeControl(EdgeControlSettings aSettings,
              DataFolder aFolder,
              std::function<void()> aOnFailure,
              Decoder aDecoder = {});
  ~EdgeControl() override;

  absl::Status Start();
  /// Transfers leadership and stops.
  void Stop();
  /// Replaces the seeds.
  void SetSeeds(std::vector<ControlPeer> aSeeds);

  VersionedDocumentService& Documents() { return documents_; }
  FeedSource& Feed() { return feed_; }
  ServerRegistration& Servers() { return servers_; }
  EvacuationLog& Evacuations() { return evacuations_; }
  Metrics& GetMetrics() { return metrics_; }
  /// Worker pool, also for the HTTP servers of the same process.
  WorkerPool& Workers() { return workers_; }
  bool IsLeader() const { return control_.IsLeader(); }

private:
  void OnFeedDocument(DocumentVersion, const std::string&, TimePoint) override
  {
  }
  void OnFeedServers(const ServerDirectory& aDirectory,
                     TimePoint aNow) override;
  size_t OnFeedRenewals(const std::vector<FeedRenewal>& aRenewals,
                        TimePoint aNow) override;
  uint64_t ServersDigest() override;
  void OnFeedSlowServers(const std::vector<SlowServer>&) override {}
  void OnFeedQuarantines(const std::vector<RequestQuarantine>&,
                         TimePoint) override
  {
  }
  std::vector<RequestQuarantine> QuarantinesInForce(TimePoint) override
  {
    return {};
  }
  void OnFeedEvacuations(const EvacuatedZones&, TimePoint) override {}
  void OnFeedEntryCount(uint32_t, bool, TimePoint) override {}
  /// Polls the seeds and the members for the servers that announced themselves
  /// there. Called on worker 0 when one of the lists has changed.
  void PollPeers();
  /// @return the newest accepted version, confirmed by a quorum.
  boost::asio::awaitable<absl::StatusOr<LatestVersion>> ReadLatestVersion();
  /// Puts the quotas of an accepted document in force. Called on worker 0.
  void SetQuotas(DocumentVersion aVersion, const std::string& aText);
  /// Called on worker 0 when the members have changed.
  void SetMembers(std::vector<std::string> aEndpoints);
  /// Schedules the next check for contact to a majority of the members, without
  /// which no permits are given.
  void ScheduleContactCheck();
  /// Schedules the next log line of the bytes sent to other instances, by kind.
  void ScheduleTrafficLog();

  const EdgeControlSettings settings_;
  Metrics metrics_;
  WorkerPool workers_;
  FrameTransport frames_;
  ReplicatedControl control_;
  CommandServer commands_;
  VersionedDocumentService documents_;
  DepartureLog departures_;
  EvacuationLog evacuations_;
  FeedSource feed_;
  ServerRegistration servers_;
  FeedClient peers_;
  const Decoder decoder_;
  AllowanceServer allowances_;
  /// Frame endpoints of other control instances; used on worker 0.
  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  boost::asio::steady_timer trafficTimer_;
  boost::asio::steady_timer contactTimer_;
};

} // namespace foxtail

#endif // EDGE_EDGECONTROL_H
