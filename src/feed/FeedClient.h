#ifndef FEED_FEEDCLIENT_H
#define FEED_FEEDCLIENT_H

#include "feed/FeedMessages.h"
#include "instance/FrameTransport.h"
#include "policy/ZoneMap.h"

#include <functional>
#include <map>
#include <string>

namespace foxtail {

struct FeedClientSettings
{
  /// Where this instance is.
  ZoneMap zones_;
  /// A control instance follows all others and leaves documents to the log.
  bool isControl_ = false;
  /// Endpoint of this instance's own frames, which is not asked.
  std::string ownEndpoint_;
  /// Endpoints of frames of control instances to begin with.
  std::vector<std::string> seeds_;
  /// How long a source may keep a question until there is news: the nearest
  /// one, and the others, whose answers cost bytes between regions.
  milliseconds wait_{ 900 };
  milliseconds farWait_{ 1800 };
  /// How often a source is asked for servers that have not changed, so that
  /// they are not forgotten: well below ServerDirectory::kExpireAfter.
  milliseconds renewalInterval_{ 30000 };
  /// Beyond the wait, until a question counts as lost.
  milliseconds replyTimeout_{ 600 };
  /// Pause after a question that failed.
  milliseconds retryDelay_{ 150 };
  /// A starting instance that knows a document waits this long for sources that
  /// have not answered yet, as they may know a newer one.
  milliseconds startTimeout_{ 1000 };
  /// Documents come from the nearest source. When it has not brought one that
  /// another source tells of for this long, that one is asked for it: far below
  /// the seconds within which a document must be in force.
  milliseconds documentTimeout_{ 500 };
  /// Changes of servers come from the nearest source. When what another one
  /// knows is still missing after this long, that one is asked: several times
  /// the time in which control instances hear from each other, and together
  /// with farWait_ well below the seconds within which a draining server must
  /// be left alone.
  milliseconds serversTimeout_{ 300 };
  /// The same for a source that was never level with this instance, as it has
  /// just started: the time in which all servers announce themselves again, so
  /// that its whole list need not travel.
  milliseconds initialServersTimeout_{ 1500 };
  /// After the start, sources in other zones are asked for more than where they
  /// are only when all known ones have answered or this time is over: an answer
  /// from another region takes 40 ms, and the nearest may be the last to be
  /// known.
  milliseconds discoveryTimeout_{ 200 };
  /// Largest document, in bytes.
  size_t maxDocumentBytes_ = size_t{ 64 } * 1024 * 1024;
  /// A source that no other names and that has not answered for this long is
  /// not asked any more.
  milliseconds sourceExpiry_{ 30000 };
};

/// What an entry instance does with news. Called on the client's worker.
class FeedListener
{
public:
  virtual ~FeedListener() = default;
  /// A newer document than any before.
  virtual void OnFeedDocument(DocumentVersion aVersion,
                              const std::string& aText,
                              TimePoint aNow) = 0;
  /// Some announced server has changed.
  virtual void OnFeedServers(const ServerDirectory& aDirectory,
                             TimePoint aNow) = 0;
  /// @param aEntryCount entry instances that ask the same sources.
  /// @param aIsComplete false while there may be more, as the sources have just
  /// started to count.
  virtual void OnFeedEntryCount(uint32_t aEntryCount,
                                bool aIsComplete,
                                TimePoint aNow) = 0;
};

/// Asks every control instance for news, each by a question that waits there,
/// and joins what they say. An entry instance takes documents and changes of
/// servers from the nearest one, and from another what the nearest lacks; any
/// one of them is enough to go on. Runs on worker 0 of the pool.
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

  /// Begins to ask; on worker 0 or before it starts.
  void Start(TimePoint aNow);
  /// Takes other seeds; on worker 0.
  void SetSeeds(const std::vector<std::string>& aSeeds, TimePoint aNow);

  /// @return whether the newest document that can be learned is known.
  bool IsReady(TimePoint aNow) const;
  const ServerDirectory& Directory() const { return directory_; }
  DocumentVersion Version() const { return version_; }
  /// @return sources that answered lately.
  size_t LiveSources(TimePoint aNow) const;

private:
  struct Source
  {
    FeedSourceId id_;
    uint64_t cursor_ = 0;
    uint64_t controlsRevision_ = 0;
    TimePoint lastReplyAt_{};
    TimePoint lastListedAt_{};
    TimePoint nextRenewalsAt_{};
    uint32_t entryInstances_ = 0;
    bool hasAllEntryInstances_ = false;
    ZoneDistance distance_ = ZoneDistance::Far;
    /// Whether all that it knew was known here at some time.
    bool wasSynchronized_ = false;
    /// Since when it knows changes of servers that are missing here, or max().
    TimePoint missingServersSince_ = TimePoint::max();
    /// The document that it has applied.
    DocumentVersion version_;
    bool hasReplied_ = false;
    bool isLost_ = false;
  };

  /// @return whether the next question to a source asks for a document's text.
  bool WantsText(const Source& aSource, TimePoint aNow);
  bool IsLive(const Source& aSource, TimePoint aNow) const;
  /// @return the nearest live source that has a version, or null.
  const Source* FindNearest(DocumentVersion aVersion, TimePoint aNow) const;
  /// Chooses who brings documents: the nearest, or another one when it has not
  /// brought what others tell of.
  void ChooseDocumentSource(TimePoint aNow);
  /// @return how long servers that a source knows may be missing.
  milliseconds ServersTimeout(const Source& aSource) const
  {
    return aSource.wasSynchronized_ ? settings_.serversTimeout_
                                    : settings_.initialServersTimeout_;
  }
  bool HaveAllReplied() const;
  /// @return whether a nearer source than this one may still become known.
  bool MayFindNearerSource(const Source& aSource, TimePoint aNow) const;
  /// @return whether the next question to a source asks for changed servers.
  bool WantsServers(const Source& aSource, TimePoint aNow) const;
  FeedRequest MakeRequest(const Source& aSource, TimePoint aNow);
  void AddSource(const std::string& aEndpoint, TimePoint aNow);
  boost::asio::awaitable<void> PollSource(std::string aEndpoint);
  void ApplyReply(Source& aSource,
                  const FeedRequest& aRequest,
                  const FeedReply& aReply,
                  TimePoint aNow);
  void ApplyServers(Source& aSource,
                    const FeedRequest& aRequest,
                    const FeedReply& aReply,
                    TimePoint aNow);
  void ApplyDocument(const FeedReply& aReply, TimePoint aNow);
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
  /// Whether a source has told its servers.
  bool hasServers_ = false;
  DocumentVersion version_;
  TimePoint startedAt_{};
  TimePoint firstDocumentAt_ = TimePoint::max();
  /// The newest version that a source told of, and since when it is missing.
  DocumentVersion latestKnownVersion_;
  TimePoint documentMissingSince_{};
  /// Members of sources_, or null.
  const Source* documentSource_ = nullptr;
  const Source* failedDocumentSource_ = nullptr;
  std::map<std::string, Source> sources_;
};

} // namespace foxtail

#endif // FEED_FEEDCLIENT_H
