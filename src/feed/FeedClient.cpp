#include "feed/FeedClient.h"

#include "core/Compression.h"
#include "core/Log.h"
#include "instance/Endpoint.h"
#include "policy/SourceRetention.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace foxtail {

namespace asio = boost::asio;

FeedClient::FeedClient(FeedClientSettings aSettings,
                       FrameTransport& aFrames,
                       asio::io_context& aContext,
                       FeedListener& aListener)
  : settings_(std::move(aSettings))
  , frames_(aFrames)
  , context_(aContext)
  , listener_(aListener)
  , startupDocument_(settings_.startupDocument_)
{
}

FeedClient::~FeedClient() = default;

void FeedClient::Start(TimePoint aNow)
{
  startedAt_ = aNow;
  SetSeeds(settings_.seeds_, aNow);
}

void FeedClient::SetSeeds(const std::vector<std::string>& aSeeds,
                          TimePoint aNow)
{
  seeds_ = { aSeeds.begin(), aSeeds.end() };
  for (const std::string& seed : aSeeds) {
    if (seed != settings_.ownEndpoint_) {
      AddSource(seed, aNow);
    }
  }
}

bool FeedClient::IsReady(TimePoint aNow) const
{
  if (!version_ || heldText_ || IsAwaitingEvacuations(aNow)) {
    return false;
  }
  return (HaveAllReplied() && hasServers_) ||
         aNow - firstDocumentAt_ >= settings_.startTimeout_;
}

bool FeedClient::IsAwaitingEvacuations(TimePoint aNow) const
{
  if (!settings_.hasEvacuations_ || evacuations_.IsKnown()) {
    return false;
  }
  return !version_ || aNow - firstDocumentAt_ < settings_.startTimeout_;
}

size_t FeedClient::LiveSources(TimePoint aNow) const
{
  const Duration limit = settings_.farWait_ + settings_.replyTimeout_;
  return static_cast<size_t>(
    std::count_if(sources_.begin(), sources_.end(), [&](const auto& aRow) {
      return aRow.second.hasReplied_ && aNow - aRow.second.lastReplyAt_ < limit;
    }));
}

std::vector<std::pair<std::string, ZoneDistance>> FeedClient::Controls(
  TimePoint aNow) const
{
  std::vector<std::pair<std::string, ZoneDistance>> controls;
  for (const auto& [endpoint, source] : sources_) {
    if (IsLive(source, aNow)) {
      controls.emplace_back(endpoint, source.distance_);
    }
  }
  return controls;
}

bool FeedClient::IsLive(const Source& aSource, TimePoint aNow) const
{
  return aSource.hasReplied_ && !aSource.isLost_ &&
         aNow - aSource.lastReplyAt_ <
           settings_.farWait_ + settings_.replyTimeout_;
}

const FeedClient::Source* FeedClient::FindNearest(
  std::optional<DocumentVersion> aVersion,
  TimePoint aNow) const
{
  const Source* nearest = nullptr;
  for (const auto& [endpoint, source] : sources_) {
    const bool isCandidate = IsLive(source, aNow) &&
                             source.version_ >= aVersion &&
                             &source != failedDocumentSource_;
    if (isCandidate &&
        (nearest == nullptr || source.distance_ < nearest->distance_)) {
      nearest = &source;
    }
  }
  return nearest;
}

void FeedClient::ChooseDocumentSource(TimePoint aNow)
{
  const bool isMissing = latestKnownVersion_ > version_;
  const bool isLate =
    isMissing && aNow - documentMissingSince_ >= settings_.documentTimeout_;
  if (isLate) {
    // Only one source at a time is asked for the text, as documents may be
    // large and there are many sources.
    failedDocumentSource_ = documentSource_;
    documentMissingSince_ = aNow;
    documentSource_ = FindNearest(latestKnownVersion_, aNow);
  } else if (!isMissing) {
    failedDocumentSource_ = nullptr;
    documentSource_ = FindNearest(version_, aNow);
  }
}

bool FeedClient::WantsText(const Source& aSource, TimePoint aNow)
{
  // The zone of a source is unknown before its first reply.
  if (settings_.isControl_ || !aSource.hasReplied_ ||
      MayFindNearerSource(aSource, aNow)) {
    return false;
  }
  ChooseDocumentSource(aNow);
  return documentSource_ == nullptr || documentSource_ == &aSource;
}

bool FeedClient::HaveAllReplied() const
{
  return std::all_of(sources_.begin(), sources_.end(), [](const auto& aRow) {
    return aRow.second.hasReplied_;
  });
}

bool FeedClient::MayFindNearerSource(const Source& aSource,
                                     TimePoint aNow) const
{
  return aSource.distance_ != ZoneDistance::Same &&
         aNow - startedAt_ < settings_.discoveryTimeout_ && !HaveAllReplied();
}

bool FeedClient::WantsServers(const Source& aSource, TimePoint aNow) const
{
  if (settings_.isControl_) {
    return true;
  }
  if (MayFindNearerSource(aSource, aNow)) {
    return false;
  }
  const bool isOverdue =
    aSource.missingServersSince_ != TimePoint::max() &&
    aNow - aSource.missingServersSince_ >= ServersTimeout(aSource);
  return aSource.hasReplied_ &&
         (isOverdue || FindNearest(std::nullopt, aNow) == &aSource);
}

FeedRequest FeedClient::MakeRequest(const Source& aSource, TimePoint aNow)
{
  FeedRequest request;
  request.source_ = aSource.id_;
  request.cursor_ = aSource.cursor_;
  request.knownVersion_ = version_;
  request.knownControlsRevision_ = aSource.controlsRevision_;
  request.isControl_ = settings_.isControl_;
  request.knownSlowRevision_ = aSource.slowRevision_;
  request.knownQuarantineRevision_ = aSource.quarantineRevision_;
  request.knownEvacuationRevision_ = evacuations_.revision_;
  request.wantsText_ = WantsText(aSource, aNow);
  request.wantsServers_ = WantsServers(aSource, aNow);
  request.wantsRenewals_ =
    request.wantsServers_ && aNow >= aSource.nextRenewalsAt_;
  const bool isNear = aSource.distance_ == ZoneDistance::Same;
  request.wait_ = isNear ? settings_.wait_ : settings_.farWait_;
  if (MayFindNearerSource(aSource, aNow)) {
    request.wait_ = settings_.discoveryTimeout_;
  }
  request.wantsConfirmation_ =
    !settings_.isControl_ && !startupDocument_.IsConfirmed();
  if (request.wantsConfirmation_ && !startupDocument_.MayApply(aNow)) {
    request.wait_ = std::min(request.wait_, settings_.confirmationInterval_);
  }
  if (!aSource.hasReplied_) {
    request.wait_ = milliseconds(0);
    return request;
  }
  if (latestKnownVersion_ > version_ && !request.wantsText_) {
    // The nearest source is expected to send the document, so this request does
    // not wait for it, but returns in time to request it here if it is late.
    request.knownVersion_ = latestKnownVersion_;
    request.wait_ = std::min(request.wait_, settings_.documentTimeout_);
  }
  if (aSource.missingServersSince_ != TimePoint::max() &&
      !request.wantsServers_) {
    request.wait_ = std::min(request.wait_, settings_.serversTimeout_);
  }
  if (aSource.comparison_.IsDifferent()) {
    request.wait_ = std::min(request.wait_, aSource.comparison_.Tolerance());
  }
  return request;
}

void FeedClient::AddSource(const std::string& aEndpoint, TimePoint aNow)
{
  const auto [row, isNew] = sources_.try_emplace(aEndpoint);
  if (isNew) {
    row->second.addedAt_ = aNow;
    asio::co_spawn(context_, PollSource(aEndpoint), asio::detached);
  }
}

bool FeedClient::IsObsolete(const std::string& aEndpoint, TimePoint aNow) const
{
  const Source& source = sources_.at(aEndpoint);
  SourceEvidence evidence;
  evidence.isSeed_ = seeds_.contains(aEndpoint);
  evidence.lastSeenAt_ = std::max(source.lastReplyAt_, source.addedAt_);
  for (const auto& [endpoint, other] : sources_) {
    if (endpoint != aEndpoint && IsLive(other, aNow)) {
      const auto& listed = other.listedControls_;
      evidence.doOthersReply_ = true;
      evidence.isListed_ =
        evidence.isListed_ ||
        std::find(listed.begin(), listed.end(), aEndpoint) != listed.end();
    }
  }
  return ShouldForgetSource(evidence, settings_.sourceExpiry_, aNow);
}

asio::awaitable<void> FeedClient::PollSource(std::string aEndpoint)
{
  const auto endpoint = ToEndpoint(aEndpoint);
  if (!endpoint) {
    LogLine(LogLevel::Warning, "control_endpoint_unreadable")
      .Add("endpoint", aEndpoint);
    co_return;
  }
  asio::steady_timer timer(context_);
  while (true) {
    Source& source = sources_[aEndpoint];
    const FeedRequest request = MakeRequest(source, Now());
    Frame frame{ FrameKind::Feed, 0, EncodeFeedRequest(request) };
    // g++ 12 destroys temporaries within an awaited expression twice.
    auto call = frames_.Call(
      *endpoint, std::move(frame), request.wait_ + settings_.replyTimeout_);
    const auto reply = co_await std::move(call);
    const TimePoint now = Now();
    absl::Status status = reply.status();
    if (reply.ok()) {
      auto update = DecodeFeedReply(reply->payload_);
      status = update.status();
      if (update.ok()) {
        ApplyReply(source, request, *update, now);
        continue;
      }
    }
    RecordLoss(aEndpoint, source, status, now);
    ReleaseDocument(now);
    if (IsObsolete(aEndpoint, now)) {
      LogLine(LogLevel::Info, "control_forgotten").Add("endpoint", aEndpoint);
      documentSource_ = nullptr;
      failedDocumentSource_ = nullptr;
      sources_.erase(aEndpoint);
      co_return;
    }
    timer.expires_after(settings_.retryDelay_);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void FeedClient::ApplyReply(Source& aSource,
                            const FeedRequest& aRequest,
                            const FeedReply& aReply,
                            TimePoint aNow)
{
  if (aSource.isLost_ && aSource.hasReplied_) {
    LogLine(LogLevel::Info, "control_regained")
      .Add("document", aReply.version_)
      .Add("after_ms", ToMilliseconds(aNow - aSource.lastReplyAt_));
  }
  const bool wasLongLost = aSource.hasReplied_ && aNow - aSource.lastReplyAt_ >
                                                    settings_.maxRenewalAge_;
  if (aSource.id_ != aReply.source_) {
    aSource.cursor_ = 0;
    aSource.wasSynchronized_ = false;
    for (const RequestQuarantine& quarantine :
         listener_.QuarantinesInForce(aNow)) {
      ReportCrash(quarantine);
    }
    ReportLeavingServersAgain();
  }
  aSource.isLost_ = false;
  aSource.hasReplied_ = true;
  aSource.lastReplyAt_ = aNow;
  lastReplyAt_ = aNow;
  aSource.id_ = aReply.source_;
  aSource.controlsRevision_ = aReply.controlsRevision_;
  if (aRequest.wantsRenewals_) {
    aSource.nextRenewalsAt_ = aNow + settings_.renewalInterval_;
  }
  aSource.entryInstances_ = aReply.entryInstances_;
  aSource.hasAllEntryInstances_ = aReply.hasAllEntryInstances_;
  aSource.distance_ = settings_.zones_.DistanceTo(aReply.zone_);
  aSource.version_ = aReply.version_;
  if (!settings_.isControl_) {
    ApplyEvacuations(aReply, aNow);
  }
  ApplyServers(aSource, aRequest, aReply, aNow);
  if (settings_.isControl_ && wasLongLost) {
    // Its servers may have expired here while others renewed theirs.
    aSource.cursor_ = 0;
  }
  if (!settings_.isControl_) {
    ApplyDocument(aReply, aNow);
    aSource.slowRevision_ = aReply.slowRevision_;
    ApplySlowServers(aReply, aNow);
    aSource.quarantineRevision_ = aReply.quarantineRevision_;
    ApplyQuarantines(aReply, aNow);
  }
  // An instance that has just started may not have the list yet.
  if (!aReply.controls_.empty()) {
    aSource.listedControls_ = aReply.controls_;
  }
  for (const std::string& control : aReply.controls_) {
    if (control != settings_.ownEndpoint_) {
      AddSource(control, aNow);
    }
  }
  NotifyEntryCount(aNow);
}

void FeedClient::ApplyServers(Source& aSource,
                              const FeedRequest& aRequest,
                              const FeedReply& aReply,
                              TimePoint aNow)
{
  const uint64_t before = directory_.ChangeRevision();
  for (const FeedServer& server : aReply.servers_) {
    directory_.Apply(server.announcement_, aNow - server.age_);
  }
  const size_t missing = ApplyRenewals(aReply, aNow);
  if (aRequest.wantsRenewals_) {
    renewedAt_ = aNow;
  }
  // After a partition every server looks expired until renewals are received.
  if (aNow - renewedAt_ < settings_.maxRenewalAge_) {
    directory_.RemoveExpired(aNow);
  }
  if (aRequest.wantsServers_) {
    hasServers_ = true;
    aSource.cursor_ = aReply.cursor_;
    aSource.wasSynchronized_ = true;
    aSource.missingServersSince_ = TimePoint::max();
  } else if (aReply.digest_ == directory_.Digest()) {
    aSource.cursor_ = aReply.revision_;
    aSource.wasSynchronized_ = true;
    aSource.missingServersSince_ = TimePoint::max();
  } else if (aReply.revision_ > aSource.cursor_) {
    aSource.missingServersSince_ = std::min(aSource.missingServersSince_, aNow);
  }
  if (directory_.ChangeRevision() != before) {
    listener_.OnFeedServers(directory_, aNow);
  }
  RequestMissingServers(aSource,
                        aReply,
                        settings_.isControl_
                          ? listener_.OnFeedRenewals(aReply.renewals_, aNow)
                          : missing,
                        aNow);
}

size_t FeedClient::ApplyRenewals(const FeedReply& aReply, TimePoint aNow)
{
  size_t missing = 0;
  for (const auto& [renewal, age] : aReply.renewals_) {
    if (directory_.Renew(renewal, aNow - age) == RenewalResult::Missing) {
      ++missing;
    }
  }
  return missing;
}

void FeedClient::RequestMissingServers(Source& aSource,
                                       const FeedReply& aReply,
                                       size_t aMissing,
                                       TimePoint aNow)
{
  const bool isDifferent = settings_.isControl_ &&
                           aSource.comparison_.OnCompared(
                             aReply.digest_ == listener_.ServersDigest(), aNow);
  if (aMissing == 0 && !isDifferent) {
    return;
  }
  LogLine(LogLevel::Info, "servers_missing")
    .Add("source_zone", aReply.zone_)
    .Add("renewed", aMissing)
    .Add("digest_differs", isDifferent);
  aSource.cursor_ = 0;
}

void FeedClient::ApplySlowServers(const FeedReply& aReply, TimePoint aNow)
{
  if (aReply.slowServers_.empty()) {
    return;
  }
  std::vector<SlowServer> servers;
  servers.reserve(aReply.slowServers_.size());
  for (const FeedSlowServer& server : aReply.slowServers_) {
    servers.push_back({ server.id_, server.ratio_, aNow - server.age_ });
  }
  listener_.OnFeedSlowServers(servers);
}

void FeedClient::ReportSlowServer(const SlowServerReport& aReport)
{
  const bool isFirst = reports_.empty();
  if (reports_.size() < settings_.maxReportedServers_ ||
      reports_.contains(aReport.server_)) {
    reports_[aReport.server_] = aReport;
  }
  if (isFirst) {
    asio::co_spawn(context_, SendReports(), asio::detached);
  }
}

asio::awaitable<void> FeedClient::SendReports()
{
  asio::steady_timer timer(context_, settings_.reportDelay_);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  const TimePoint now = Now();
  FeedRequest request;
  for (const auto& [id, report] : std::exchange(reports_, {})) {
    request.slowServers_.push_back(
      { id, report.ratio_, duration_cast<milliseconds>(now - report.sentAt_) });
  }
  const Source* nearest = FindNearest(std::nullopt, now);
  const auto found =
    std::find_if(sources_.begin(), sources_.end(), [&](const auto& aRow) {
      return &aRow.second == nearest;
    });
  if (found == sources_.end()) {
    co_return;
  }
  MakeReport(request, *nearest);
  auto sending =
    SendReport(found->first, std::move(request), "slow_servers_not_reported");
  co_await std::move(sending);
}

void FeedClient::MakeReport(FeedRequest& aRequest, const Source& aSource)
{
  aRequest.source_ = aSource.id_;
  aRequest.knownVersion_ = aSource.version_;
  aRequest.knownControlsRevision_ = aSource.controlsRevision_;
  aRequest.knownQuarantineRevision_ = aSource.quarantineRevision_;
  aRequest.wantsText_ = false;
  aRequest.wantsRenewals_ = false;
  aRequest.wantsServers_ = false;
}

asio::awaitable<bool> FeedClient::SendReport(std::string aEndpoint,
                                             FeedRequest aReport,
                                             const char* aWhat)
{
  const auto endpoint = ToEndpoint(aEndpoint);
  if (!endpoint) {
    co_return false;
  }
  Frame frame{ FrameKind::Feed, 0, EncodeFeedRequest(aReport) };
  // g++ 12 destroys temporaries within an awaited expression twice.
  auto call =
    frames_.Call(*endpoint, std::move(frame), settings_.replyTimeout_);
  const auto reply = co_await std::move(call);
  if (!reply.ok()) {
    LogLine(LogLevel::Info, aWhat)
      .Add("servers", aReport.slowServers_.size())
      .Add("crashes", aReport.crashes_.size())
      .Add("leaving", aReport.leavingServers_.size())
      .Add("endpoint", aEndpoint)
      .Add("error", reply.status());
  }
  co_return reply.ok();
}

void FeedClient::ReportLeavingServer(const FeedLeavingServer& aServer,
                                     TimePoint aNow)
{
  // The mark in the directory outlasts a change of the server's address.
  directory_.MarkLeaving(aServer.id_, aServer.startedAtMs_, aNow);
  QueueLeavingReport(aServer);
}

void FeedClient::ReportLeavingServersAgain()
{
  if (settings_.isControl_) {
    return;
  }
  for (const auto& [id, record] : directory_.Rows()) {
    if (record.announcement_.isLeaving_ &&
        record.announcement_.phase_ != ServerPhase::Gone) {
      QueueLeavingReport({ id, record.announcement_.startedAtMs_ });
    }
  }
}

void FeedClient::QueueLeavingReport(const FeedLeavingServer& aServer)
{
  if (leavingReports_.size() >= settings_.maxReportedServers_ &&
      !leavingReports_.contains(aServer.id_)) {
    return;
  }
  leavingReports_[aServer.id_] = aServer.startedAtMs_;
  if (!std::exchange(isReportingLeaving_, true)) {
    asio::co_spawn(context_, SendLeavingReports(), asio::detached);
  }
}

asio::awaitable<void> FeedClient::SendLeavingReports()
{
  asio::steady_timer timer(context_, settings_.leavingReportDelay_);
  bool isToAll = false;
  while (!leavingReports_.empty()) {
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    FeedRequest request;
    for (const auto& [id, startedAtMs] : leavingReports_) {
      request.leavingServers_.push_back({ id, startedAtMs });
    }
    const Source* nearest = FindNearest(std::nullopt, Now());
    std::vector<std::pair<std::string, FeedRequest>> reports;
    for (const auto& [endpoint, source] : sources_) {
      if (&source == nearest || (isToAll && source.hasReplied_)) {
        MakeReport(request, source);
        reports.emplace_back(endpoint, request);
      }
    }
    bool isConfirmed = false;
    for (auto& [endpoint, report] : reports) {
      auto sending =
        SendReport(endpoint, std::move(report), "leaving_not_reported");
      const bool isReceived = co_await std::move(sending);
      isConfirmed = isConfirmed || isReceived;
      if (isConfirmed) {
        break;
      }
    }
    // Servers that have left need no report any more.
    std::erase_if(leavingReports_, [&](const auto& aRow) {
      const ServerRecord* record = directory_.Find(aRow.first);
      const bool isSent =
        std::any_of(request.leavingServers_.begin(),
                    request.leavingServers_.end(),
                    [&](const FeedLeavingServer& aServer) {
                      return aServer.id_ == aRow.first &&
                             aServer.startedAtMs_ == aRow.second;
                    });
      return (isConfirmed && isSent) || record == nullptr ||
             record->announcement_.startedAtMs_ != aRow.second ||
             record->announcement_.phase_ == ServerPhase::Gone;
    });
    isToAll = !isConfirmed;
    timer.expires_after(settings_.retryDelay_);
  }
  isReportingLeaving_ = false;
}

void FeedClient::ReportCrash(const CrashReport& aReport)
{
  const bool isFirst = crashReports_.empty();
  if (crashReports_.size() < settings_.maxCrashReports_) {
    crashReports_.push_back(aReport);
  }
  if (isFirst) {
    asio::co_spawn(context_, SendCrashReports(), asio::detached);
  }
}

asio::awaitable<void> FeedClient::SendCrashReports()
{
  struct Collector
  {
    FeedRequest& request_;
    TimePoint now_;

    void operator()(const RequestCrash& aCrash) const
    {
      request_.crashes_.push_back(
        { aCrash.request_,
          aCrash.server_,
          aCrash.serverStartedAtMs_,
          duration_cast<milliseconds>(now_ - aCrash.sentAt_),
          duration_cast<milliseconds>(now_ - aCrash.endedAt_),
          aCrash.hasReachedServer_ });
    }
    void operator()(const RequestAnswered& aAnswered) const
    {
      request_.answered_.push_back(aAnswered.request_);
    }
    void operator()(const RequestQuarantine& aQuarantine) const
    {
      request_.quarantines_.push_back(
        { aQuarantine.request_,
          duration_cast<milliseconds>(aQuarantine.until_ - now_),
          aQuarantine.treatment_ });
    }
  };
  asio::steady_timer timer(context_, settings_.crashReportDelay_);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  FeedRequest request;
  for (const CrashReport& report : std::exchange(crashReports_, {})) {
    std::visit(Collector{ request, Now() }, report);
  }
  // Each source needs all crashes, as those of one request may be seen in
  // several zones.
  for (const auto& [endpoint, source] : sources_) {
    if (source.hasReplied_) {
      MakeReport(request, source);
      asio::co_spawn(context_,
                     SendReport(endpoint, request, "crashes_not_reported"),
                     asio::detached);
    }
  }
}

void FeedClient::ApplyQuarantines(const FeedReply& aReply, TimePoint aNow)
{
  if (aReply.quarantines_.empty()) {
    return;
  }
  std::vector<RequestQuarantine> quarantines;
  quarantines.reserve(aReply.quarantines_.size());
  for (const FeedQuarantine& quarantine : aReply.quarantines_) {
    quarantines.push_back({ quarantine.request_,
                            aNow + quarantine.remaining_,
                            quarantine.treatment_ });
  }
  listener_.OnFeedQuarantines(quarantines, aNow);
}

void FeedClient::ApplyEvacuations(const FeedReply& aReply, TimePoint aNow)
{
  const EvacuatedZones zones{ aReply.evacuationRevision_,
                              { aReply.evacuatedZones_.begin(),
                                aReply.evacuatedZones_.end() } };
  if (evacuations_.Adopt(zones)) {
    listener_.OnFeedEvacuations(evacuations_, aNow);
  }
}

void FeedClient::ApplyDocument(const FeedReply& aReply, TimePoint aNow)
{
  if (aReply.version_ > latestKnownVersion_) {
    if (latestKnownVersion_ <= version_) {
      documentMissingSince_ = aNow;
    }
    latestKnownVersion_ = aReply.version_;
  }
  if (aReply.confirmation_ && !startupDocument_.IsConfirmed()) {
    startupDocument_.OnConfirmed(*aReply.confirmation_);
    LogLine(LogLevel::Info, "document_confirmed")
      .Add("version", aReply.confirmation_->version_)
      .Add("received", version_)
      .Add("after_ms", ToMilliseconds(aNow - startedAt_));
  }
  ReceiveDocument(aReply, aNow);
  ReleaseDocument(aNow);
}

void FeedClient::ReceiveDocument(const FeedReply& aReply, TimePoint aNow)
{
  if (aReply.compressedText_ == nullptr || aReply.version_ <= version_) {
    return;
  }
  auto text = Decompress(*aReply.compressedText_, settings_.maxDocumentBytes_);
  if (!text.ok()) {
    LogLine(LogLevel::Error, "document_unreadable")
      .Add("version", aReply.version_)
      .Add("error", text.status());
    return;
  }
  if (!version_) {
    firstDocumentAt_ = aNow;
  }
  version_ = aReply.version_;
  // A newer version that is still missing has its full timeout from now on.
  documentMissingSince_ = aNow;
  startupDocument_.OnReceived(*version_, aNow);
  heldText_ = *std::move(text);
}

void FeedClient::ReleaseDocument(TimePoint aNow)
{
  if (!heldText_ || !startupDocument_.MayApply(aNow)) {
    return;
  }
  if (!startupDocument_.IsConfirmed()) {
    LogLine(LogLevel::Warning, "document_not_confirmed")
      .Add("version", version_)
      .Add("after_ms", ToMilliseconds(aNow - startedAt_))
      .Add("reason", "no leader of the control instances replied");
  }
  const std::string text = *std::exchange(heldText_, std::nullopt);
  listener_.OnFeedDocument(*version_, text, aNow);
}

void FeedClient::NotifyEntryCount(TimePoint aNow)
{
  uint32_t entryCount = 0;
  bool isComplete = false;
  for (const auto& [endpoint, source] : sources_) {
    if (IsLive(source, aNow)) {
      entryCount = std::max(entryCount, source.entryInstances_);
      isComplete = isComplete || source.hasAllEntryInstances_;
    }
  }
  listener_.OnFeedEntryCount(entryCount, isComplete, aNow);
}

void FeedClient::RecordLoss(const std::string& aEndpoint,
                            Source& aSource,
                            const absl::Status& aStatus,
                            TimePoint aNow)
{
  if (aSource.isLost_) {
    return;
  }
  aSource.isLost_ = true;
  LogLine(LogLevel::Warning, "control_lost")
    .Add("endpoint", aEndpoint)
    .Add("error", aStatus)
    .Add("document", version_)
    .Add("sources_left", LiveSources(aNow));
}

} // namespace foxtail
