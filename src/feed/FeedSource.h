#ifndef FEED_FEEDSOURCE_H
#define FEED_FEEDSOURCE_H

#include "feed/FeedMessages.h"
#include "instance/FrameTransport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <unordered_set>

namespace foxtail {

class Metrics;

/// The side of a control instance: takes announcements of backend servers and
/// tells those that ask of them, of the accepted document and of the other
/// control instances. A question waits until there is news of what it asks for.
/// Entry instances hear of all servers; control instances of those that spoke
/// to this one, so that each announcement goes to each of them once. Thread
/// safe.
class FeedSource
{
public:
  /// @param aFrames must not have been started.
  FeedSource(ZoneName aZone,
             FrameTransport& aFrames,
             Metrics& aMetrics,
             uint64_t aSeed,
             TimePoint aNow);

  /// Takes what a backend server says of itself.
  DirectoryUpdateResult OnAnnouncement(const ServerAnnouncement& aAnnouncement,
                                       TimePoint aNow);
  /// Takes a goodbye; @p aStartedAtMs is 0 when it was not told.
  DirectoryUpdateResult OnDeregistration(const BackendId& aId,
                                         uint64_t aStartedAtMs,
                                         TimePoint aNow);

  /// Takes what another control instance heard.
  ///
  /// @param aDirectory all that is known from others.
  void OnPeerServers(const ServerDirectory& aDirectory, TimePoint aNow);

  /// Takes the accepted document; versions never go back.
  void OnDocument(DocumentVersion aVersion,
                  const std::shared_ptr<const std::string>& aText);
  /// Takes the endpoints of frames of the control instances.
  void OnControlInstances(std::vector<std::string> aEndpoints);

  /// @return entry instances that asked lately.
  uint32_t EntryCount(TimePoint aNow);

private:
  using Timer = boost::asio::steady_timer;

  boost::asio::awaitable<Frame> HandleRequest(InstanceId aFrom, Frame aFrame);
  /// @return whether there is news other than of backend servers.
  bool HasNonServerUpdates(const FeedRequest& aRequest) const;
  bool HasServerUpdates(const FeedRequest& aRequest) const;
  bool HasUpdates(const FeedRequest& aRequest) const
  {
    return HasNonServerUpdates(aRequest) || HasServerUpdates(aRequest);
  }
  /// @return whether to wait a little for more news of servers.
  bool MayBatchUpdates(const FeedRequest& aRequest);
  /// Notes that a server told this instance something new.
  void RecordDirectUpdate(const BackendId& aId);
  FeedReply MakeReply(const FeedRequest& aRequest, TimePoint aNow);
  /// Ends the wait of the questions that there is news for.
  void CompletePolls();
  uint32_t CountEntryInstances(TimePoint aNow);

  const FeedSourceId id_;
  const TimePoint startedAt_;
  const ZoneName zone_;
  std::mutex mutex_;
  ServerDirectory directory_;
  /// Servers of whose last change another control instance told, and revision
  /// of the last change that a server told itself.
  std::unordered_set<BackendId> updatedByPeers_;
  uint64_t directRevision_ = 0;
  DocumentVersion version_;
  /// Compressed once for all that ask.
  std::shared_ptr<const std::string> compressedText_;
  std::vector<std::string> controls_;
  uint64_t controlsRevision_ = 0;
  std::map<InstanceId, TimePoint> entryInstances_;
  std::map<std::shared_ptr<Timer>, FeedRequest> pendingPolls_;
  prometheus::Counter& requestCounter_;
};

} // namespace foxtail

#endif // FEED_FEEDSOURCE_H
