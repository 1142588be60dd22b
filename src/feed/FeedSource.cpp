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
constexpr seconds kEntryExpiry{ 30 };
/// A source that has run for this long was asked by all that reach it: longer
/// than the longest wait of a question and the pause after a failed one.
constexpr milliseconds kEntryCountDelay{ 2600 };
/// News of servers waits this long for more, so that one answer tells many:
/// when an index is cut anew, hundreds change within a second. Far below the
/// seconds within which a draining server must be left alone.
constexpr milliseconds kBatchDelay{ 100 };
/// Servers that were heard within this are told as renewed: longer than the
/// pause between two questions for renewals.
constexpr seconds kRenewalWindow{ 45 };
/// Longest wait for news, whatever the asker says.
constexpr milliseconds kMaxWait{ 2000 };

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
  , requestCounter_(aMetrics.Counter("foxtail_feed_questions_total",
                                     "Questions of entry instances for news"))
{
  aFrames.OnCall(FrameKind::Feed,
                 [this](const InstanceId& aFrom, Frame aFrame) {
                   return HandleRequest(aFrom, std::move(aFrame));
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
    RecordDirectUpdate(aAnnouncement.id_);
  } else if (isForgotten) {
    CompletePolls();
  }
  return verdict;
}

DirectoryUpdateResult FeedSource::OnDeregistration(const BackendId& aId,
                                                   uint64_t aStartedAtMs,
                                                   TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const DirectoryUpdateResult verdict =
    directory_.Deregister(aId, aStartedAtMs, aNow);
  if (verdict == DirectoryUpdateResult::Changed) {
    RecordDirectUpdate(aId);
  }
  return verdict;
}

void FeedSource::RecordDirectUpdate(const BackendId& aId)
{
  updatedByPeers_.erase(aId);
  directRevision_ = directory_.ChangeRevision();
  CompletePolls();
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
      updatedByPeers_.insert(id);
    }
  }
  directory_.RemoveExpired(aNow);
  std::erase_if(updatedByPeers_, [this](const BackendId& aId) {
    return directory_.Find(aId) == nullptr;
  });
  if (directory_.ChangeRevision() != before) {
    CompletePolls();
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
  compressedText_ = std::move(packed);
  CompletePolls();
}

void FeedSource::OnControlInstances(std::vector<std::string> aEndpoints)
{
  const std::lock_guard lock(mutex_);
  if (aEndpoints == controls_) {
    return;
  }
  controls_ = std::move(aEndpoints);
  ++controlsRevision_;
  CompletePolls();
}

uint32_t FeedSource::EntryCount(TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  return CountEntryInstances(aNow);
}

uint32_t FeedSource::CountEntryInstances(TimePoint aNow)
{
  std::erase_if(entryInstances_, [&](const auto& aRow) {
    return aNow - aRow.second > kEntryExpiry;
  });
  return static_cast<uint32_t>(entryInstances_.size());
}

asio::awaitable<Frame> FeedSource::HandleRequest(InstanceId aFrom, Frame aFrame)
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
  requestCounter_.Increment();
  const auto executor = co_await asio::this_coro::executor;
  std::shared_ptr<Timer> timer;
  {
    const std::lock_guard lock(mutex_);
    if (!request->isControl_) {
      entryInstances_[aFrom] = Now();
    }
    if (!HasUpdates(*request)) {
      timer =
        std::make_shared<Timer>(executor, std::min(request->wait_, kMaxWait));
      pendingPolls_.emplace(timer, *request);
    }
  }
  boost::system::error_code ignored;
  if (timer != nullptr) {
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (MayBatchUpdates(*request)) {
    Timer gather(executor, kBatchDelay);
    co_await gather.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  const std::lock_guard lock(mutex_);
  pendingPolls_.erase(timer);
  reply.payload_ = EncodeFeedReply(MakeReply(*request, Now()));
  co_return reply;
}

bool FeedSource::HasNonServerUpdates(const FeedRequest& aRequest) const
{
  return aRequest.source_ != id_ ||
         aRequest.knownControlsRevision_ != controlsRevision_ ||
         (aRequest.knownVersion_ < version_ && !aRequest.isControl_);
}

bool FeedSource::HasServerUpdates(const FeedRequest& aRequest) const
{
  const uint64_t latest =
    aRequest.isControl_ ? directRevision_ : directory_.ChangeRevision();
  return aRequest.wantsServers_ && latest > aRequest.cursor_;
}

bool FeedSource::MayBatchUpdates(const FeedRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  return !HasNonServerUpdates(aRequest) && HasServerUpdates(aRequest);
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
    reply.compressedText_ = compressedText_;
  }
  for (const auto& [id, row] : directory_.Rows()) {
    // One that has just started may miss what its peers heard from others.
    const bool isOthers =
      aRequest.isControl_ && cursor != 0 && updatedByPeers_.contains(id);
    if (aRequest.wantsServers_ && row.changedAtRevision_ > cursor &&
        !isOthers) {
      reply.servers_.push_back({ row.announcement_, AgeOf(row, aNow) });
    } else if (aRequest.wantsRenewals_ && AgeOf(row, aNow) < kRenewalWindow) {
      reply.renewals_.push_back(
        { id, row.announcement_.sequence_, AgeOf(row, aNow) });
    }
  }
  reply.controlsRevision_ = controlsRevision_;
  if (aRequest.source_ != id_ ||
      aRequest.knownControlsRevision_ != controlsRevision_) {
    reply.controls_ = controls_;
  }
  reply.entryInstances_ = CountEntryInstances(aNow);
  reply.hasAllEntryInstances_ = aNow - startedAt_ >= kEntryCountDelay;
  return reply;
}

void FeedSource::CompletePolls()
{
  std::erase_if(pendingPolls_, [this](const auto& aRow) {
    const auto& [timer, request] = aRow;
    const bool isConcerned = HasUpdates(request);
    if (isConcerned) {
      // A timer is its own executor's.
      asio::post(timer->get_executor(), [timer = timer] { timer->cancel(); });
    }
    return isConcerned;
  });
}

} // namespace foxtail
