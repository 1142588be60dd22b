#ifndef FEED_FEEDCLIENT_H
#define FEED_FEEDCLIENT_H

#include "feed/FeedMessages.h"
#include "instance/FrameTransport.h"
#include "policy/CrashSuspects.h"
#include "policy/DirectoryComparison.h"
#include "policy/EvacuatedZones.h"
#include "policy/SlowServerBoard.h"
#include "policy/ZoneMap.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace foxtail {

struct FeedClientSettings
{
  /// Zone of this instance and its distances to the other zones.
  ZoneMap zones_;
  /// A control instance requests changed servers from all sources, and no
  /// documents, which it receives through the replicated log.
  bool isControl_ = false;
  /// Frame endpoint of this instance, which is not polled.
  std::string ownEndpoint_;
  /// Frame endpoints of the control instances that are polled first.
  std::vector<std::string> seeds_;
  /// How long a source may hold a long-poll request until it has updates:
  /// wait_ for a source in the same zone, farWait_ for all others. farWait_ is
  /// longer because replies of the others cost traffic between regions.
  milliseconds wait_{ 900 };
  milliseconds farWait_{ 1800 };
  /// Interval of requests for the servers that have not changed, which keep
  /// these from expiring: well below ServerDirectory::kExpireAfter.
  milliseconds renewalInterval_{ 30000 };
  /// Servers are removed for lack of an announcement only while the last
  /// renewals are younger than this: two intervals of them.
  milliseconds maxRenewalAge_{ 60000 };
  /// A poll has failed when its reply is still missing this long after its
  /// wait.
  milliseconds replyTimeout_{ 600 };
  /// Delay after a failed poll.
  milliseconds retryDelay_{ 150 };
  /// Whether zones of the deployment may be evacuated, so that a starting
  /// instance waits for the evacuated zones.
  bool hasEvacuations_ = true;
  /// A starting instance that has received a document waits this long for
  /// sources that have not replied yet, as they may have a newer one, and for
  /// the evacuated zones, which no source states while there is no quorum.
  milliseconds startTimeout_{ 1000 };
  /// When the first document may be in force.
  StartupDocumentSettings startupDocument_;
  /// Interval of the requests for a confirmation of the first document.
  milliseconds confirmationInterval_{ 200 };
  /// Documents are requested from the nearest source. When it has not sent a
  /// version that another source reports for this long, the other one is asked
  /// for the text: far below the seconds within which a document must be in
  /// force.
  milliseconds documentTimeout_{ 500 };
  /// Changed servers are requested from the nearest source. When changes that
  /// another source has are still missing after this long, they are requested
  /// from that one: several times the delay of updates between control
  /// instances, and together with farWait_ well below the seconds within which
  /// a draining server must receive no more requests.
  milliseconds serversTimeout_{ 300 };
  /// Replaces serversTimeout_ for a source that was never synchronized with
  /// this instance, as it has just started: the time in which all servers
  /// announce themselves again, so that its whole list need not be sent.
  milliseconds initialServersTimeout_{ 1500 };
  /// After the start, documents and servers are requested from sources in other
  /// zones only when all listed sources have replied or this time is over: a
  /// reply from another region takes 40 ms, and the nearest source may be the
  /// last to be listed.
  milliseconds discoveryTimeout_{ 200 };
  /// Reports of slow servers are collected for this long, as a query finds
  /// several at a time.
  milliseconds reportDelay_{ 100 };
  /// Largest number of servers in one report.
  size_t maxReportedServers_ = 64;
  /// Reports of crashes are collected for this long, as a server that crashes
  /// ends several requests.
  milliseconds crashReportDelay_{ 5 };
  /// Reports of leaving servers are collected for this long: servers of one
  /// deployment leave together.
  milliseconds leavingReportDelay_{ 20 };
  /// Largest number of crash reports in one message; later ones are dropped.
  size_t maxCrashReports_ = 256;
  /// Largest document, in bytes.
  size_t maxDocumentBytes_ = size_t{ 64 } * 1024 * 1024;
  /// A source that has not replied for this long is no longer polled, if others
  /// reply and none of them lists it.
  milliseconds sourceExpiry_{ 30000 };
};

/// Receives the updates of a FeedClient. Called on the client's worker.
class FeedListener
{
public:
  virtual ~FeedListener() = default;
  /// Called with a document that is newer than all before. The first one is the
  /// newest that control has accepted, as far as a quorum can be reached.
  virtual void OnFeedDocument(DocumentVersion aVersion,
                              const std::string& aText,
                              TimePoint aNow) = 0;
  /// Called when an announced server has changed.
  virtual void OnFeedServers(const ServerDirectory& aDirectory,
                             TimePoint aNow) = 0;
  /// Called on a control instance with the servers that another one has
  /// renewed, after the changed servers of the same reply.
  ///
  /// @return number of servers whose announcements are missing here.
  virtual size_t OnFeedRenewals(const std::vector<FeedRenewal>&, TimePoint)
  {
    return 0;
  }
  /// @return on a control instance, the digest of all its servers: those that
  /// others sent and those that announce themselves to it.
  virtual uint64_t ServersDigest() { return 0; }
  /// Called with servers that several entry instances found slow.
  virtual void OnFeedSlowServers(const std::vector<SlowServer>& aServers) = 0;
  /// Called with requests that may crash backend servers.
  virtual void OnFeedQuarantines(
    const std::vector<RequestQuarantine>& aQuarantines,
    TimePoint aNow) = 0;
  /// @return the quarantines in force, for a source that has restarted.
  virtual std::vector<RequestQuarantine> QuarantinesInForce(TimePoint aNow) = 0;
  /// Called with a set of evacuated zones that is newer than all before, ahead
  /// of the document and the servers of the same reply.
  virtual void OnFeedEvacuations(const EvacuatedZones& aZones,
                                 TimePoint aNow) = 0;
  /// @param aEntryCount number of entry instances that poll the same sources.
  /// @param aIsComplete false while there may be more, as all sources started
  /// to count a short time ago.
  virtual void OnFeedEntryCount(uint32_t aEntryCount,
                                bool aIsComplete,
                                TimePoint aNow) = 0;
};

/// Sends long-poll requests to every control instance and merges their updates.
/// An entry instance requests documents and changed servers from the nearest
/// control instance, and from another one the updates that the nearest lacks.
/// One reachable control instance is enough. Runs on worker 0 of the pool.
class FeedClient
{
public:
  FeedClient(FeedClientSettings aSettings,
             FrameTransport& aFrames,
             boost::asio::io_context& aContext,
             FeedListener& aListener);
  ~FeedClient();
  FeedClient(const FeedClient&) = delete;
  FeedClient& operator=(const FeedClient&) = delete;

  /// Starts polling. Called on worker 0 or before that worker starts.
  void Start(TimePoint aNow);
  /// Replaces the seeds. Called on worker 0.
  void SetSeeds(const std::vector<std::string>& aSeeds, TimePoint aNow);

  /// Reports a slow server to the nearest source, together with others that are
  /// found shortly after. Called on worker 0.
  void ReportSlowServer(const SlowServerReport& aReport);

  /// Reports a request under which servers crash to all reachable sources,
  /// together with reports that follow shortly. Called on worker 0.
  void ReportCrash(const CrashReport& aReport);

  /// Reports a server process whose reply states that it is leaving to the
  /// nearest source, and to all sources if that one does not confirm it, until
  /// one does. Called on worker 0.
  void ReportLeavingServer(const FeedLeavingServer& aServer, TimePoint aNow);

  /// @return whether a document is in force, and the newest document that any
  /// reachable source has and the evacuated zones are received or the wait for
  /// them is over.
  bool IsReady(TimePoint aNow) const;
  /// @return whether the evacuated zones are not known and may be received
  /// soon.
  bool IsAwaitingEvacuations(TimePoint aNow) const;
  const ServerDirectory& Directory() const { return directory_; }
  /// @return the newest version received, or none before the first.
  std::optional<DocumentVersion> Version() const { return version_; }
  /// @return the newest version that a source has reported, or none.
  std::optional<DocumentVersion> LatestKnownVersion() const
  {
    return latestKnownVersion_;
  }
  /// @return when any source last replied; zero before the first reply.
  TimePoint LastReplyAt() const { return lastReplyAt_; }
  /// @return number of sources whose last reply is recent.
  size_t LiveSources(TimePoint aNow) const;
  /// @return number of sources that are polled.
  size_t SourceCount() const { return sources_.size(); }
  /// @return frame endpoints of the sources whose last reply is recent, and
  /// their distances.
  std::vector<std::pair<std::string, ZoneDistance>> Controls(
    TimePoint aNow) const;

private:
  struct Source
  {
    FeedSourceId id_;
    uint64_t cursor_ = 0;
    uint64_t controlsRevision_ = 0;
    uint64_t slowRevision_ = 0;
    uint64_t quarantineRevision_ = 0;
    TimePoint lastReplyAt_{};
    TimePoint addedAt_{};
    /// Frame endpoints of the control instances, as this source last listed
    /// them.
    std::vector<std::string> listedControls_;
    TimePoint nextRenewalsAt_{};
    uint32_t entryInstances_ = 0;
    bool hasAllEntryInstances_ = false;
    ZoneDistance distance_ = ZoneDistance::Far;
    /// Whether this instance once had all servers of the source.
    bool wasSynchronized_ = false;
    /// Time since which the source has changes of servers that are missing
    /// here, or max().
    TimePoint missingServersSince_ = TimePoint::max();
    /// Of the directories of two control instances.
    DirectoryComparison comparison_;
    /// Document that the source has applied, or none.
    std::optional<DocumentVersion> version_;
    bool hasReplied_ = false;
    bool isLost_ = false;
  };

  /// @return whether the next request to a source asks for a document's text.
  bool WantsText(const Source& aSource, TimePoint aNow);
  bool IsLive(const Source& aSource, TimePoint aNow) const;
  /// @return the nearest live source that has @p aVersion or a newer one, or
  /// null. Without a version, the nearest live source.
  const Source* FindNearest(std::optional<DocumentVersion> aVersion,
                            TimePoint aNow) const;
  /// Chooses the source of documents: the nearest, or another one when the
  /// nearest has not sent a version that others report.
  void ChooseDocumentSource(TimePoint aNow);
  /// @return how long changes of servers that a source has may be missing
  /// before they are requested from it.
  milliseconds ServersTimeout(const Source& aSource) const
  {
    return aSource.wasSynchronized_ ? settings_.serversTimeout_
                                    : settings_.initialServersTimeout_;
  }
  bool HaveAllReplied() const;
  /// @return whether a nearer source than this one may still be found.
  bool MayFindNearerSource(const Source& aSource, TimePoint aNow) const;
  /// @return whether the next request to a source asks for changed servers.
  bool WantsServers(const Source& aSource, TimePoint aNow) const;
  FeedRequest MakeRequest(const Source& aSource, TimePoint aNow);
  void AddSource(const std::string& aEndpoint, TimePoint aNow);
  /// @return whether a source that does not reply is polled no more.
  bool IsObsolete(const std::string& aEndpoint, TimePoint aNow) const;
  boost::asio::awaitable<void> PollSource(std::string aEndpoint);
  void ApplyReply(Source& aSource,
                  const FeedRequest& aRequest,
                  const FeedReply& aReply,
                  TimePoint aNow);
  void ApplyServers(Source& aSource,
                    const FeedRequest& aRequest,
                    const FeedReply& aReply,
                    TimePoint aNow);
  /// Applies the renewals of a reply.
  ///
  /// @return number of servers whose announcements are missing here.
  size_t ApplyRenewals(const FeedReply& aReply, TimePoint aNow);
  /// Requests all servers of a source if some are missing here.
  ///
  /// @param aMissing number of renewed servers that are missing.
  void RequestMissingServers(Source& aSource,
                             const FeedReply& aReply,
                             size_t aMissing,
                             TimePoint aNow);
  /// Sends the collected reports of slow servers after reportDelay_.
  boost::asio::awaitable<void> SendReports();
  /// Sends the collected reports of crashes after crashReportDelay_.
  boost::asio::awaitable<void> SendCrashReports();
  /// Turns a request into a report: it asks a source for nothing, so that it is
  /// replied to at once.
  static void MakeReport(FeedRequest& aRequest, const Source& aSource);
  /// Sends the collected reports of leaving servers until they are confirmed.
  boost::asio::awaitable<void> SendLeavingReports();
  /// Reports the marked servers again, as a source that has restarted may lack
  /// the marks.
  void ReportLeavingServersAgain();
  void QueueLeavingReport(const FeedLeavingServer& aServer);
  /// @param aWhat event that is logged when the report does not arrive.
  /// @return whether the source has confirmed it.
  boost::asio::awaitable<bool> SendReport(std::string aEndpoint,
                                          FeedRequest aReport,
                                          const char* aWhat);
  void ApplyQuarantines(const FeedReply& aReply, TimePoint aNow);
  void ApplySlowServers(const FeedReply& aReply, TimePoint aNow);
  void ApplyEvacuations(const FeedReply& aReply, TimePoint aNow);
  void ApplyDocument(const FeedReply& aReply, TimePoint aNow);
  /// Keeps the text of a reply if it is newer than all before.
  void ReceiveDocument(const FeedReply& aReply, TimePoint aNow);
  /// Passes the document that is received last on once it may be in force.
  void ReleaseDocument(TimePoint aNow);
  void NotifyEntryCount(TimePoint aNow);
  void RecordLoss(const std::string& aEndpoint,
                  Source& aSource,
                  const absl::Status& aStatus,
                  TimePoint aNow);

  const FeedClientSettings settings_;
  FrameTransport& frames_;
  boost::asio::io_context& context_;
  FeedListener& listener_;
  ServerDirectory directory_;
  /// When any source last replied, including those that are polled no more.
  TimePoint lastReplyAt_{};
  /// When a source last replied with renewals.
  TimePoint renewedAt_{};
  /// Whether a source has sent its servers.
  bool hasServers_ = false;
  EvacuatedZones evacuations_;
  std::optional<DocumentVersion> version_;
  StartupDocument startupDocument_;
  /// Text of version_ while it may not be in force yet.
  std::optional<std::string> heldText_;
  TimePoint startedAt_{};
  TimePoint firstDocumentAt_ = TimePoint::max();
  /// Newest version that a source has reported, and the time since which its
  /// text is missing.
  std::optional<DocumentVersion> latestKnownVersion_;
  TimePoint documentMissingSince_{};
  /// Elements of sources_, or null.
  const Source* documentSource_ = nullptr;
  const Source* failedDocumentSource_ = nullptr;
  std::map<std::string, Source> sources_;
  std::set<std::string> seeds_;
  /// Reports that have not been sent yet, the latest of each server.
  std::map<BackendId, SlowServerReport> reports_;
  /// Leaving processes that no source has confirmed yet, by their start.
  std::map<BackendId, uint64_t> leavingReports_;
  bool isReportingLeaving_ = false;
  /// Reports of crashes that have not been sent yet.
  std::vector<CrashReport> crashReports_;
};

} // namespace foxtail

#endif // FEED_FEEDCLIENT_H
