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
#include <set>

namespace foxtail {

class Metrics;

/// The side of a control instance: takes announcements of backend servers and
/// tells entry instances that ask of them, of the accepted document and of the
/// other control instances. A question waits until there is news. Thread safe.
class FeedSource
{
public:
  /// @param aFrames must not have been started.
  FeedSource(ZoneName aZone,
             FrameTransport& aFrames,
             Metrics& aMetrics,
             uint64_t aSeed);

  /// Takes what a backend server says of itself.
  DirectoryVerdict OnAnnouncement(const ServerAnnouncement& aAnnouncement,
                                  TimePoint aNow);
  /// Takes a goodbye; @p aStartedAtMs is 0 when it was not told.
  DirectoryVerdict OnLeave(const BackendId& aId,
                           uint64_t aStartedAtMs,
                           TimePoint aNow);

  /// Takes the accepted document; versions never go back.
  void OnDocument(DocumentVersion aVersion,
                  std::shared_ptr<const std::string> aText);
  /// Takes the endpoints of frames of the control instances.
  void OnControls(std::vector<std::string> aControls);

  /// @return entry instances that asked lately.
  uint32_t Entries(TimePoint aNow);

private:
  using Timer = boost::asio::steady_timer;

  boost::asio::awaitable<Frame> Answer(InstanceId aFrom, Frame aFrame);
  bool HasNews(const FeedRequest& aRequest) const;
  /// @return whether all that is new to the asker is of backend servers.
  bool IsNewsOfServersOnly(const FeedRequest& aRequest);
  FeedReply MakeReply(const FeedRequest& aRequest, TimePoint aNow);
  void WakeAll();
  uint32_t CountEntries(TimePoint aNow);

  const FeedSourceId id_;
  const ZoneName zone_;
  std::mutex mutex_;
  ServerDirectory directory_;
  DocumentVersion version_;
  std::shared_ptr<const std::string> text_;
  std::vector<std::string> controls_;
  uint64_t controlsNumber_ = 0;
  std::map<InstanceId, TimePoint> entries_;
  std::set<std::shared_ptr<Timer>> waiting_;
  prometheus::Counter& questions_;
};

} // namespace foxtail

#endif // FEED_FEEDSOURCE_H
