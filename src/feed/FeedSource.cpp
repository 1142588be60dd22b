#include "feed/FeedSource.h"

#include "core/Compression.h"
#include "core/Log.h"
#include "core/Metrics.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;

namespace {

/// An entry instance that has not asked for this long is not counted any more.
/// It may be cut off and still use its part of what is shared, so this lies
/// above the window of the retry budget and usual partitions.
constexpr seconds kEntryMemory{ 30 };
/// A source that has run for this long was asked by all that reach it: longer
/// than the longest wait of a question and the pause after a failed one.
constexpr milliseconds kFirstCount{ 2600 };
/// News of servers waits this long for more, so that one answer tells many:
/// when an index is cut anew, hundreds change within a second. Far below the
/// seconds within which a draining server must be left alone.
constexpr milliseconds kGather{ 100 };
/// Servers that were heard within this are told as renewed: longer than the
/// pause between two questions for renewals.
constexpr seconds kRenewalMemory{ 45 };
/// Longest wait for news, whatever the asker says.
constexpr milliseconds kLongestWait{ 2000 };

milliseconds AgeOf(const ServerRecord& aRow, TimePoint aNow)
{
  return duration_cast<milliseconds>(aNow - aRow.lastAnnouncementAt_);
}

} // namespace

FeedSource::FeedSource(ZoneName aZone,
                       FrameTransport& aFrames,
                       Metrics& aMetrics,
                       uint64_t aSeed,
                       TimePoint aNow)
  : id_(aSeed | 1)
  , startedAt_(aNow)
  , zone_(std::move(aZone))
  , questions_(aMetrics.Counter("foxtail_feed_questions_total",
                                "Questions of entry instances for news"))
{
  aFrames.OnCall(FrameKind::Feed,
                 [this](const InstanceId& aFrom, Frame aFrame) {
                   return Answer(aFrom, std::move(aFrame));
                 });
}

DirectoryUpdateResult FeedSource::OnAnnouncement(
  const ServerAnnouncement& aAnnouncement,
  TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const DirectoryUpdateResult verdict = directory_.Apply(aAnnouncement, aNow);
  const bool isForgotten = directory_.RemoveExpired(aNow);
  if (verdict == DirectoryUpdateResult::Changed) {
    NoteOwnNews(aAnnouncement.id_);
  } else if (isForgotten) {
    Wake();
  }
  return verdict;
}

DirectoryUpdateResult FeedSource::OnLeave(const BackendId& aId,
                                          uint64_t aStartedAtMs,
                                          TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const DirectoryUpdateResult verdict =
    directory_.Deregister(aId, aStartedAtMs, aNow);
  if (verdict == DirectoryUpdateResult::Changed) {
    NoteOwnNews(aId);
  }
  return verdict;
}

void FeedSource::NoteOwnNews(const BackendId& aId)
{
  fromPeers_.erase(aId);
  ownRevision_ = directory_.ChangeRevision();
  Wake();
}

void FeedSource::OnPeerServers(const ServerDirectory& aDirectory,
                               TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const uint64_t before = directory_.ChangeRevision();
  for (const auto& [id, row] : aDirectory.Rows()) {
    const auto verdict =
      directory_.Apply(row.announcement_, row.lastAnnouncementAt_);
    if (verdict == DirectoryUpdateResult::Changed) {
      fromPeers_.insert(id);
    }
  }
  directory_.RemoveExpired(aNow);
  std::erase_if(fromPeers_, [this](const BackendId& aId) {
    return directory_.Find(aId) == nullptr;
  });
  if (directory_.ChangeRevision() != before) {
    Wake();
  }
}

void FeedSource::OnDocument(DocumentVersion aVersion,
                            const std::shared_ptr<const std::string>& aText)
{
  {
    // Each new leader tells the document again.
    const std::lock_guard lock(mutex_);
    if (aVersion <= version_) {
      return;
    }
  }
  auto packed = std::make_shared<const std::string>(Compress(*aText));
  const std::lock_guard lock(mutex_);
  if (aVersion <= version_) {
    return;
  }
  version_ = aVersion;
  packedText_ = std::move(packed);
  Wake();
}

void FeedSource::OnControls(std::vector<std::string> aControls)
{
  const std::lock_guard lock(mutex_);
  if (aControls == controls_) {
    return;
  }
  controls_ = std::move(aControls);
  ++controlsNumber_;
  Wake();
}

uint32_t FeedSource::Entries(TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  return CountEntries(aNow);
}

uint32_t FeedSource::CountEntries(TimePoint aNow)
{
  std::erase_if(entries_, [&](const auto& aRow) {
    return aNow - aRow.second > kEntryMemory;
  });
  return static_cast<uint32_t>(entries_.size());
}

asio::awaitable<Frame> FeedSource::Answer(InstanceId aFrom, Frame aFrame)
{
  Frame reply;
  reply.kind_ = FrameKind::FeedReply;
  reply.correlation_ = aFrame.correlation_;
  auto request = DecodeFeedRequest(aFrame.payload_);
  if (!request.ok()) {
    LogLine(LogLevel::Warning, "feed_request_refused")
      .Add("from", aFrom)
      .Add("error", request.status());
    reply.payload_ = EncodeFeedReply({});
    co_return reply;
  }
  questions_.Increment();
  const auto executor = co_await asio::this_coro::executor;
  std::shared_ptr<Timer> timer;
  {
    const std::lock_guard lock(mutex_);
    if (!request->isControl_) {
      entries_[aFrom] = Now();
    }
    if (!HasNews(*request)) {
      timer = std::make_shared<Timer>(executor,
                                      std::min(request->wait_, kLongestWait));
      waiting_.emplace(timer, *request);
    }
  }
  boost::system::error_code ignored;
  if (timer != nullptr) {
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (MayGather(*request)) {
    Timer gather(executor, kGather);
    co_await gather.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  const std::lock_guard lock(mutex_);
  waiting_.erase(timer);
  reply.payload_ = EncodeFeedReply(MakeReply(*request, Now()));
  co_return reply;
}

bool FeedSource::HasOtherNews(const FeedRequest& aRequest) const
{
  return aRequest.source_ != id_ ||
         aRequest.knownControls_ != controlsNumber_ ||
         (aRequest.knownVersion_ < version_ && !aRequest.isControl_);
}

bool FeedSource::HasNewsOfServers(const FeedRequest& aRequest) const
{
  const uint64_t latest =
    aRequest.isControl_ ? ownRevision_ : directory_.ChangeRevision();
  return aRequest.wantsServers_ && latest > aRequest.cursor_;
}

bool FeedSource::MayGather(const FeedRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  return !HasOtherNews(aRequest) && HasNewsOfServers(aRequest);
}

FeedReply FeedSource::MakeReply(const FeedRequest& aRequest, TimePoint aNow)
{
  const uint64_t cursor = aRequest.source_ == id_ ? aRequest.cursor_ : 0;
  FeedReply reply;
  reply.source_ = id_;
  reply.cursor_ = aRequest.wantsServers_ ? directory_.Revision() : cursor;
  reply.digest_ = directory_.Digest();
  reply.revision_ = directory_.ChangeRevision();
  reply.version_ = version_;
  reply.zone_ = zone_;
  if (aRequest.wantsText_ && aRequest.knownVersion_ < version_) {
    reply.packedText_ = packedText_;
  }
  for (const auto& [id, row] : directory_.Rows()) {
    // One that has just started may miss what its peers heard from others.
    const bool isOthers =
      aRequest.isControl_ && cursor != 0 && fromPeers_.contains(id);
    if (aRequest.wantsServers_ && row.changedAtRevision_ > cursor &&
        !isOthers) {
      reply.servers_.push_back({ row.announcement_, AgeOf(row, aNow) });
    } else if (aRequest.wantsRenewals_ && AgeOf(row, aNow) < kRenewalMemory) {
      reply.renewals_.push_back(
        { id, row.announcement_.sequence_, AgeOf(row, aNow) });
    }
  }
  reply.controlsNumber_ = controlsNumber_;
  if (aRequest.source_ != id_ || aRequest.knownControls_ != controlsNumber_) {
    reply.controls_ = controls_;
  }
  reply.entries_ = CountEntries(aNow);
  reply.hasAllEntries_ = aNow - startedAt_ >= kFirstCount;
  return reply;
}

void FeedSource::Wake()
{
  std::erase_if(waiting_, [this](const auto& aRow) {
    const auto& [timer, request] = aRow;
    const bool isConcerned = HasNews(request);
    if (isConcerned) {
      // A timer is its own executor's.
      asio::post(timer->get_executor(), [timer = timer] { timer->cancel(); });
    }
    return isConcerned;
  });
}

} // namespace foxtail
