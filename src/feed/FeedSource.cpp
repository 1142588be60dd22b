#include "feed/FeedSource.h"

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
/// above the window of the retry budget.
constexpr seconds kEntryMemory{ 12 };
/// News of servers waits this long for more, so that one answer tells many:
/// when an index is cut anew, hundreds change within a second. Far below the
/// seconds within which a draining server must be left alone.
constexpr milliseconds kGather{ 100 };
/// Servers that were heard within this are told as renewed: longer than the
/// pause between two questions for renewals.
constexpr seconds kRenewalMemory{ 45 };
/// Longest wait for news, whatever the asker says.
constexpr milliseconds kLongestWait{ 2000 };

milliseconds AgeOf(const DirectoryRow& aRow, TimePoint aNow)
{
  return duration_cast<milliseconds>(aNow - aRow.heardAt_);
}

} // namespace

FeedSource::FeedSource(ZoneName aZone,
                       FrameTransport& aFrames,
                       Metrics& aMetrics,
                       uint64_t aSeed)
  : id_(aSeed | 1)
  , zone_(std::move(aZone))
  , questions_(aMetrics.Counter("foxtail_feed_questions_total",
                                "Questions of entry instances for news"))
{
  aFrames.OnCall(FrameKind::Feed,
                 [this](const InstanceId& aFrom, Frame aFrame) {
                   return Answer(aFrom, std::move(aFrame));
                 });
}

DirectoryVerdict FeedSource::OnAnnouncement(
  const ServerAnnouncement& aAnnouncement,
  TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const DirectoryVerdict verdict = directory_.Apply(aAnnouncement, aNow);
  const bool isForgotten = directory_.Forget(aNow);
  if (verdict == DirectoryVerdict::Changed || isForgotten) {
    WakeAll();
  }
  return verdict;
}

DirectoryVerdict FeedSource::OnLeave(const BackendId& aId,
                                     uint64_t aStartedAtMs,
                                     TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const DirectoryVerdict verdict = directory_.Leave(aId, aStartedAtMs, aNow);
  if (verdict == DirectoryVerdict::Changed) {
    WakeAll();
  }
  return verdict;
}

void FeedSource::OnDocument(DocumentVersion aVersion,
                            std::shared_ptr<const std::string> aText)
{
  const std::lock_guard lock(mutex_);
  if (aVersion <= version_) {
    return;
  }
  version_ = aVersion;
  text_ = std::move(aText);
  WakeAll();
}

void FeedSource::OnControls(std::vector<std::string> aControls)
{
  const std::lock_guard lock(mutex_);
  if (aControls == controls_) {
    return;
  }
  controls_ = std::move(aControls);
  ++controlsNumber_;
  WakeAll();
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
    entries_[aFrom] = Now();
    if (!HasNews(*request)) {
      timer = std::make_shared<Timer>(executor,
                                      std::min(request->wait_, kLongestWait));
      waiting_.insert(timer);
    }
  }
  boost::system::error_code ignored;
  if (timer != nullptr) {
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (IsNewsOfServersOnly(*request)) {
    Timer gather(executor, kGather);
    co_await gather.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  const std::lock_guard lock(mutex_);
  waiting_.erase(timer);
  reply.payload_ = EncodeFeedReply(MakeReply(*request, Now()));
  co_return reply;
}

bool FeedSource::HasNews(const FeedRequest& aRequest) const
{
  return aRequest.source_ != id_ || aRequest.knownVersion_ < version_ ||
         aRequest.knownControls_ != controlsNumber_ ||
         directory_.ChangeRevision() > aRequest.cursor_;
}

bool FeedSource::IsNewsOfServersOnly(const FeedRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  return aRequest.source_ == id_ && aRequest.knownVersion_ >= version_ &&
         directory_.ChangeRevision() > aRequest.cursor_;
}

FeedReply FeedSource::MakeReply(const FeedRequest& aRequest, TimePoint aNow)
{
  const uint64_t cursor = aRequest.source_ == id_ ? aRequest.cursor_ : 0;
  FeedReply reply;
  reply.source_ = id_;
  reply.cursor_ = directory_.Revision();
  reply.version_ = version_;
  reply.zone_ = zone_;
  if (aRequest.wantsText_ && aRequest.knownVersion_ < version_) {
    reply.text_ = text_;
  }
  for (const auto& [id, row] : directory_.Rows()) {
    if (row.changedAt_ > cursor) {
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
  return reply;
}

void FeedSource::WakeAll()
{
  for (const auto& timer : waiting_) {
    // A timer is its own executor's.
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
  waiting_.clear();
}

} // namespace foxtail
