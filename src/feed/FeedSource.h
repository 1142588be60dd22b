#ifndef FEED_FEEDSOURCE_H
#define FEED_FEEDSOURCE_H

#include "feed/FeedMessages.h"
#include "instance/FrameTransport.h"
#include "policy/CrashSuspects.h"
#include "policy/EvacuatedZones.h"
#include "policy/SlowServerBoard.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <prometheus/counter.h>
#include <unordered_map>
#include <unordered_set>

namespace foxtail {

class Metrics;

/// Feed of a control instance: receives announcements of backend servers and
/// answers long-poll requests with the changed servers, the accepted document
/// and the list of control instances. A request waits until there are updates
/// of the kinds that it asks for. Entry instances receive all servers; control
/// instances receive those that sent their announcements to this one, and at
/// intervals which of these still announce themselves, so that each
/// announcement reaches each of them once and no server that lives expires
/// anywhere. Entry instances report slow servers and receive those that several
/// of them agree on. They also report crashes of servers, and receive the
/// requests that are not to be sent any more. Thread safe.
class FeedSource
{
public:
  /// @param aFrames must not have been started.
  FeedSource(ZoneName aZone,
             FrameTransport& aFrames,
             Metrics& aMetrics,
             uint64_t aSeed,
             TimePoint aNow);

  /// Applies the announcement of a backend server.
  DirectoryUpdateResult OnAnnouncement(const ServerAnnouncement& aAnnouncement,
                                       TimePoint aNow);
  /// Applies a deregistration.
  ///
  /// @param aStartedAtMs start of the server's process in milliseconds since
  /// the Unix epoch; 0 when the request does not hold it.
  DirectoryUpdateResult OnDeregistration(const BackendId& aId,
                                         uint64_t aStartedAtMs,
                                         TimePoint aNow);

  /// Applies a departure of a backend server that is in the replicated log.
  /// Other control instances receive it through the log as well.
  void OnDeparture(const ServerAnnouncement& aDeparture, TimePoint aNow);

  /// @return a copy of the server's record.
  std::optional<ServerRecord> FindServer(const BackendId& aId);

  /// Applies announcements that other control instances received.
  ///
  /// @param aDirectory all servers received from other control instances.
  void OnPeerServers(const ServerDirectory& aDirectory, TimePoint aNow);

  /// Applies renewals that another control instance sent.
  ///
  /// @return number of servers whose announcements are missing here.
  size_t OnPeerRenewals(const std::vector<FeedRenewal>& aRenewals,
                        TimePoint aNow);

  /// @return the digest of all servers, see ServerDirectory::Digest().
  uint64_t Digest();

  /// Sets the accepted document; one that is not newer is ignored.
  void OnDocument(DocumentVersion aVersion,
                  const std::shared_ptr<const std::string>& aText);
  /// Reads the newest accepted version with confirmation by a quorum; fails on
  /// an instance that does not lead or reaches no quorum.
  using LatestVersionReader =
    std::function<boost::asio::awaitable<absl::StatusOr<LatestVersion>>()>;

  /// Sets what confirms versions to starting entry instances. Call before the
  /// transport starts; without it nothing is confirmed.
  void SetLatestVersionReader(LatestVersionReader aReader);

  /// Sets the frame endpoints of the control instances.
  void OnControlInstances(std::vector<std::string> aEndpoints);

  /// Sets the evacuated zones; a set that is not newer is ignored. Until the
  /// first call, replies state that the set is not known.
  void OnEvacuations(const EvacuatedZones& aZones);

  /// @return number of entry instances that sent a request recently.
  uint32_t EntryCount(TimePoint aNow);

private:
  using Timer = boost::asio::steady_timer;

  boost::asio::awaitable<Frame> HandleRequest(InstanceId aFrom, Frame aFrame);
  /// @return whether there are updates other than of backend servers.
  bool HasNonServerUpdates(const FeedRequest& aRequest) const;
  bool HasServerUpdates(const FeedRequest& aRequest) const;
  bool HasSlowServerUpdates(const FeedRequest& aRequest) const
  {
    return aRequest.wantsServers_ && !aRequest.isControl_ &&
           slowServers_.Revision() > aRequest.knownSlowRevision_;
  }
  void ApplyReports(const InstanceId& aFrom,
                    const FeedRequest& aRequest,
                    TimePoint aNow);
  /// Marks the servers that the client found to be leaving.
  void ApplyLeavingServers(const InstanceId& aFrom,
                           const FeedRequest& aRequest,
                           TimePoint aNow);
  /// Applies the client's reports of crashes and quarantines.
  void ApplyCrashReports(const FeedRequest& aRequest, TimePoint aNow);
  bool HasUpdates(const FeedRequest& aRequest) const
  {
    return HasNonServerUpdates(aRequest) || HasServerUpdates(aRequest) ||
           HasSlowServerUpdates(aRequest);
  }
  /// @return how long a reply is delayed to batch more updates of servers; zero
  /// when it holds other updates or none.
  milliseconds BatchDelay(const FeedRequest& aRequest);
  /// Records a change that a server announced to this instance.
  void RecordDirectUpdate(const BackendId& aId);
  /// @return whether a server's record is sent to a client as a renewal.
  bool IsRenewed(const BackendId& aId,
                 const ServerRecord& aRecord,
                 bool aIsControl,
                 TimePoint aNow) const;
  /// Removes expired servers.
  ///
  /// @return whether any was removed.
  bool RemoveExpired(TimePoint aNow);
  FeedReply MakeReply(const FeedRequest& aRequest, TimePoint aNow);
  /// Ends the wait of the requests that there are updates for.
  void CompletePolls();
  uint32_t CountEntryInstances(TimePoint aNow);

  LatestVersionReader readLatestVersion_;
  const FeedSourceId id_;
  const TimePoint startedAt_;
  const ZoneName zone_;
  std::mutex mutex_;
  ServerDirectory directory_;
  SlowServerBoard slowServers_;
  CrashSuspects crashSuspects_;
  EvacuatedZones evacuations_;
  /// Servers whose last change was received from another control instance, and
  /// the revision of the last change that a server announced to this one.
  std::unordered_set<BackendId> updatedByPeers_;
  uint64_t directRevision_ = 0;
  /// When each server last announced itself to this control instance.
  std::unordered_map<BackendId, TimePoint> directAnnouncements_;
  /// None before the first document.
  std::optional<DocumentVersion> version_;
  /// Compressed once for all replies.
  std::shared_ptr<const std::string> compressedText_;
  std::vector<std::string> controls_;
  uint64_t controlsRevision_ = 0;
  std::map<InstanceId, TimePoint> entryInstances_;
  std::map<std::shared_ptr<Timer>, FeedRequest> pendingPolls_;
  prometheus::Counter& requestCounter_;
  prometheus::Counter& slowReportCounter_;
  prometheus::Counter& crashReportCounter_;
  prometheus::Counter& leavingReportCounter_;
};

} // namespace foxtail

#endif // FEED_FEEDSOURCE_H
