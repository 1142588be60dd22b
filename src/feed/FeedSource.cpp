#include "feed/FeedSource.h"

#include "core/Compression.h"
#include "core/Log.h"
#include "core/Metrics.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;

namespace {

/// An entry instance that has sent no request for this long is not counted. It
/// may be partitioned and still use its share of the common limits, so this
/// time exceeds the window of the retry budget and usual partitions.
constexpr seconds kEntryExpiry{ 30 };
/// A source that has run for this long has received a request from each entry
/// instance that can reach it: longer than the longest wait of a request and
/// the delay after a failed one.
constexpr milliseconds kEntryCountDelay{ 2600 };
/// A reply with changed servers is delayed by this time to batch more changes:
/// when an index is repartitioned, hundreds of servers change within a second.
/// Far below the seconds within which a draining server must receive no more
/// requests.
constexpr milliseconds kBatchDelay{ 100 };
/// The same for a reply that holds only slow servers, which are found one after
/// the other and concern all entry instances of the zone.
constexpr milliseconds kSlowBatchDelay{ 300 };
/// Servers whose last announcement is younger than this are sent as renewals:
/// longer than the interval of requests for renewals.
constexpr seconds kRenewalWindow{ 45 };
/// Upper bound of the wait that a request may ask for.
constexpr milliseconds kMaxWait{ 2000 };

milliseconds AgeOf(const ServerRecord& aRecord, TimePoint aNow)
{
  return duration_cast<milliseconds>(aNow - aRecord.lastAnnouncementAt_);
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
                                     "Long-poll requests for updates received"))
  , slowReportCounter_(
      aMetrics.Counter("foxtail_feed_slow_reports_total",
                       "Reports of slow backend servers received"))
  , crashReportCounter_(
      aMetrics.Counter("foxtail_feed_crash_reports_total",
                       "Reports of crashed backend servers received"))
  , leavingReportCounter_(
      aMetrics.Counter("foxtail_feed_leaving_reports_total",
                       "Reports of leaving backend servers received"))
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
  const DirectoryUpdateResult result = directory_.Apply(aAnnouncement, aNow);
  if (result != DirectoryUpdateResult::Stale) {
    directAnnouncements_[aAnnouncement.id_] = aNow;
  }
  const bool hasExpired = RemoveExpired(aNow);
  if (result == DirectoryUpdateResult::Changed) {
    RecordDirectUpdate(aAnnouncement.id_);
  } else if (hasExpired) {
    CompletePolls();
  }
  return result;
}

DirectoryUpdateResult FeedSource::OnDeregistration(const BackendId& aId,
                                                   uint64_t aStartedAtMs,
                                                   TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const DirectoryUpdateResult result =
    directory_.Deregister(aId, aStartedAtMs, aNow);
  if (result == DirectoryUpdateResult::Changed) {
    RecordDirectUpdate(aId);
  }
  return result;
}

void FeedSource::OnDeparture(const ServerAnnouncement& aDeparture,
                             TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const DirectoryUpdateResult result =
    directory_.ApplyCommitted(aDeparture, aNow);
  if (result != DirectoryUpdateResult::Changed) {
    return;
  }
  LogLine(LogLevel::Info, "departure_applied")
    .Add("server", aDeparture.id_)
    .Add("phase", NameOf(aDeparture.phase_))
    .Add("started_at_ms", aDeparture.startedAtMs_);
  updatedByPeers_.insert(aDeparture.id_);
  CompletePolls();
}

std::optional<ServerRecord> FeedSource::FindServer(const BackendId& aId)
{
  const std::lock_guard lock(mutex_);
  const ServerRecord* record = directory_.Find(aId);
  return record == nullptr ? std::nullopt : std::optional(*record);
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
  for (const auto& [id, record] : aDirectory.Rows()) {
    const auto result =
      directory_.Apply(record.announcement_, record.lastAnnouncementAt_);
    if (result == DirectoryUpdateResult::Changed) {
      updatedByPeers_.insert(id);
    }
  }
  RemoveExpired(aNow);
  if (directory_.ChangeRevision() != before) {
    CompletePolls();
  }
}

size_t FeedSource::OnPeerRenewals(const std::vector<FeedRenewal>& aRenewals,
                                  TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  return static_cast<size_t>(std::count_if(
    aRenewals.begin(), aRenewals.end(), [&](const FeedRenewal& aRenewal) {
      return directory_.Renew(aRenewal.renewal_, aNow - aRenewal.age_) ==
             RenewalResult::Missing;
    }));
}

uint64_t FeedSource::Digest()
{
  const std::lock_guard lock(mutex_);
  return directory_.Digest();
}

bool FeedSource::RemoveExpired(TimePoint aNow)
{
  if (!directory_.RemoveExpired(aNow)) {
    return false;
  }
  std::erase_if(updatedByPeers_, [this](const BackendId& aId) {
    return directory_.Find(aId) == nullptr;
  });
  std::erase_if(directAnnouncements_, [this](const auto& aRow) {
    return directory_.Find(aRow.first) == nullptr;
  });
  return true;
}

bool FeedSource::IsRenewed(const BackendId& aId,
                           const ServerRecord& aRecord,
                           bool aIsControl,
                           TimePoint aNow) const
{
  if (!aIsControl) {
    return aNow - aRecord.lastAnnouncementAt_ < kRenewalWindow;
  }
  const auto found = directAnnouncements_.find(aId);
  return found != directAnnouncements_.end() &&
         aNow - found->second < kRenewalWindow;
}

void FeedSource::OnDocument(DocumentVersion aVersion,
                            const std::shared_ptr<const std::string>& aText)
{
  {
    // Each new leader publishes the document again; skip the compression then.
    const std::lock_guard lock(mutex_);
    if (aVersion <= version_) {
      return;
    }
  }
  auto compressed = std::make_shared<const std::string>(Compress(*aText));
  const std::lock_guard lock(mutex_);
  if (aVersion <= version_) {
    return;
  }
  version_ = aVersion;
  compressedText_ = std::move(compressed);
  CompletePolls();
}

void FeedSource::SetLatestVersionReader(LatestVersionReader aReader)
{
  readLatestVersion_ = std::move(aReader);
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

void FeedSource::OnEvacuations(const EvacuatedZones& aZones)
{
  const std::lock_guard lock(mutex_);
  if (!evacuations_.Adopt(aZones)) {
    return;
  }
  LogLine(LogLevel::Info, "evacuations_applied")
    .Add("revision", evacuations_.revision_)
    .Add("zones", evacuations_.Names());
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
      ApplyReports(aFrom, *request, Now());
      ApplyCrashReports(*request, Now());
      ApplyLeavingServers(aFrom, *request, Now());
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
  if (const milliseconds delay = BatchDelay(*request); delay.count() > 0) {
    Timer batchTimer(executor, delay);
    co_await batchTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  std::optional<LatestVersion> confirmation;
  if (request->wantsConfirmation_ && readLatestVersion_) {
    auto reading = readLatestVersion_();
    const auto latest = co_await std::move(reading);
    if (latest.ok()) {
      confirmation = *latest;
    }
  }
  const std::lock_guard lock(mutex_);
  pendingPolls_.erase(timer);
  FeedReply update = MakeReply(*request, Now());
  update.confirmation_ = confirmation;
  reply.payload_ = EncodeFeedReply(update);
  co_return reply;
}

void FeedSource::ApplyReports(const InstanceId& aFrom,
                              const FeedRequest& aRequest,
                              TimePoint aNow)
{
  bool isPublished = false;
  for (const FeedSlowServer& server : aRequest.slowServers_) {
    slowReportCounter_.Increment();
    const SlowServerReport report{ server.id_,
                                   server.ratio_,
                                   aNow - server.age_ };
    if (slowServers_.OnReport(aFrom, report, aNow)) {
      isPublished = true;
      LogLine(LogLevel::Info, "server_slow")
        .Add("server", server.id_)
        .Add("ratio", server.ratio_)
        .Add("last_reporter", aFrom);
    }
  }
  if (isPublished) {
    CompletePolls();
  }
}

void FeedSource::ApplyLeavingServers(const InstanceId& aFrom,
                                     const FeedRequest& aRequest,
                                     TimePoint aNow)
{
  for (const FeedLeavingServer& server : aRequest.leavingServers_) {
    leavingReportCounter_.Increment();
    if (directory_.MarkLeaving(server.id_, server.startedAtMs_, aNow) !=
        DirectoryUpdateResult::Changed) {
      continue;
    }
    LogLine(LogLevel::Info, "server_leaving")
      .Add("server", server.id_)
      .Add("started_at_ms", server.startedAtMs_)
      .Add("reporter", aFrom);
    RecordDirectUpdate(server.id_);
  }
}

void FeedSource::ApplyCrashReports(const FeedRequest& aRequest, TimePoint aNow)
{
  const uint64_t before = crashSuspects_.Revision();
  for (const FeedCrash& crash : aRequest.crashes_) {
    crashReportCounter_.Increment();
    crashSuspects_.OnCrash({ crash.request_,
                             crash.server_,
                             crash.serverStartedAtMs_,
                             aNow - crash.sentAge_,
                             aNow - crash.endedAge_,
                             crash.hasReachedServer_ },
                           aNow);
  }
  for (const RequestFingerprint request : aRequest.answered_) {
    crashSuspects_.OnAnswered(request, aNow);
  }
  for (const FeedQuarantine& quarantine : aRequest.quarantines_) {
    crashSuspects_.OnQuarantine({ quarantine.request_,
                                  aNow + quarantine.remaining_,
                                  quarantine.treatment_ },
                                aNow);
  }
  crashSuspects_.Review(aNow);
  if (crashSuspects_.Revision() == before) {
    return;
  }
  for (const RequestQuarantine& quarantine :
       crashSuspects_.QuarantinedSince(before, aNow)) {
    LogLine(LogLevel::Warning, "request_quarantined")
      .Add("fingerprint", ToHex(quarantine.request_))
      .Add("treatment", NameOf(quarantine.treatment_))
      .Add("for_ms", ToMilliseconds(quarantine.until_ - aNow));
  }
  CompletePolls();
}

bool FeedSource::HasNonServerUpdates(const FeedRequest& aRequest) const
{
  if (!aRequest.isControl_ &&
      (crashSuspects_.Revision() > aRequest.knownQuarantineRevision_ ||
       evacuations_.revision_ > aRequest.knownEvacuationRevision_)) {
    return true;
  }
  return aRequest.source_ != id_ ||
         aRequest.knownControlsRevision_ != controlsRevision_ ||
         (aRequest.knownVersion_ < version_ && !aRequest.isControl_);
}

bool FeedSource::HasServerUpdates(const FeedRequest& aRequest) const
{
  const bool wantsAll = !aRequest.isControl_ || aRequest.cursor_ == 0;
  const uint64_t latest =
    wantsAll ? directory_.ChangeRevision() : directRevision_;
  return aRequest.wantsServers_ && latest > aRequest.cursor_;
}

milliseconds FeedSource::BatchDelay(const FeedRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  if (HasNonServerUpdates(aRequest)) {
    return milliseconds(0);
  }
  if (HasServerUpdates(aRequest)) {
    return kBatchDelay;
  }
  return HasSlowServerUpdates(aRequest) ? kSlowBatchDelay : milliseconds(0);
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
  for (const auto& [id, record] : directory_.Rows()) {
    // A control instance with cursor 0 has just started, or differs from this
    // one: it may lack servers that this one received from peers, so it
    // receives those as well.
    // A leaving mark from here may be followed by a change from a peer within
    // one batch, so marked servers are always sent.
    const bool isFromPeer = aRequest.isControl_ && cursor != 0 &&
                            updatedByPeers_.contains(id) &&
                            !record.announcement_.isLeaving_;
    if (aRequest.wantsServers_ && record.changedAtRevision_ > cursor &&
        !isFromPeer) {
      reply.servers_.push_back({ record.announcement_, AgeOf(record, aNow) });
    } else if (aRequest.wantsRenewals_ &&
               IsRenewed(id, record, aRequest.isControl_, aNow)) {
      reply.renewals_.push_back(
        { MakeRenewal(record.announcement_), AgeOf(record, aNow) });
    }
  }
  const uint64_t knownSlow =
    aRequest.source_ == id_ ? aRequest.knownSlowRevision_ : 0;
  reply.slowRevision_ = knownSlow;
  if (aRequest.wantsServers_ && !aRequest.isControl_) {
    for (const SlowServer& server :
         slowServers_.PublishedSince(knownSlow, aNow)) {
      reply.slowServers_.push_back(
        { server.server_,
          server.ratio_,
          duration_cast<milliseconds>(aNow - server.sentAt_) });
    }
    reply.slowRevision_ = slowServers_.Revision();
  }
  if (!aRequest.isControl_) {
    const uint64_t known =
      aRequest.source_ == id_ ? aRequest.knownQuarantineRevision_ : 0;
    for (const RequestQuarantine& quarantine :
         crashSuspects_.QuarantinedSince(known, aNow)) {
      reply.quarantines_.push_back(
        { quarantine.request_,
          duration_cast<milliseconds>(quarantine.until_ - aNow),
          quarantine.treatment_ });
    }
    reply.quarantineRevision_ = crashSuspects_.Revision();
    reply.evacuationRevision_ = evacuations_.revision_;
    if (evacuations_.revision_ > aRequest.knownEvacuationRevision_) {
      reply.evacuatedZones_.assign(evacuations_.zones_.begin(),
                                   evacuations_.zones_.end());
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
    const bool hasUpdates = HasUpdates(request);
    if (hasUpdates) {
      // A timer may only be used on its own executor.
      asio::post(timer->get_executor(), [timer = timer] { timer->cancel(); });
    }
    return hasUpdates;
  });
}

} // namespace foxtail
