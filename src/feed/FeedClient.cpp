#include "feed/FeedClient.h"

#include "core/Compression.h"
#include "core/Log.h"
#include "instance/Endpoint.h"

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
  for (const std::string& seed : aSeeds) {
    if (seed != settings_.ownEndpoint_) {
      Ask(seed, aNow);
    }
  }
}

bool FeedClient::IsReady(TimePoint aNow) const
{
  if (version_.Value() == 0) {
    return false;
  }
  return (HaveAllAnswered() && hasServers_) ||
         aNow - firstDocumentAt_ >= settings_.startTimeout_;
}

size_t FeedClient::LiveSources(TimePoint aNow) const
{
  const Duration limit = settings_.farWait_ + settings_.patience_;
  return static_cast<size_t>(
    std::count_if(sources_.begin(), sources_.end(), [&](const auto& aRow) {
      return aRow.second.hasAnswered_ && aNow - aRow.second.answeredAt_ < limit;
    }));
}

bool FeedClient::IsLive(const Source& aSource, TimePoint aNow) const
{
  return aSource.hasAnswered_ && !aSource.isLost_ &&
         aNow - aSource.answeredAt_ < settings_.farWait_ + settings_.patience_;
}

const FeedClient::Source* FeedClient::FindNearest(DocumentVersion aVersion,
                                                  TimePoint aNow) const
{
  const Source* nearest = nullptr;
  for (const auto& [endpoint, source] : sources_) {
    const bool isCandidate = IsLive(source, aNow) &&
                             source.version_ >= aVersion &&
                             &source != failedSource_;
    if (isCandidate &&
        (nearest == nullptr || source.distance_ < nearest->distance_)) {
      nearest = &source;
    }
  }
  return nearest;
}

void FeedClient::ChooseTextSource(TimePoint aNow)
{
  const bool isMissing = toldVersion_ > version_;
  const bool isLate =
    isMissing && aNow - missingSince_ >= settings_.textTimeout_;
  if (isLate) {
    // Only one is asked at a time: a document may be large, and they are many.
    failedSource_ = textSource_;
    missingSince_ = aNow;
    textSource_ = FindNearest(toldVersion_, aNow);
  } else if (!isMissing) {
    failedSource_ = nullptr;
    textSource_ = FindNearest(version_, aNow);
  }
}

bool FeedClient::WantsText(const Source& aSource, TimePoint aNow)
{
  // The first answer tells where the source is.
  if (settings_.isControl_ || !aSource.hasAnswered_ ||
      IsTooSoon(aSource, aNow)) {
    return false;
  }
  ChooseTextSource(aNow);
  return textSource_ == nullptr || textSource_ == &aSource;
}

bool FeedClient::HaveAllAnswered() const
{
  return std::all_of(sources_.begin(), sources_.end(), [](const auto& aRow) {
    return aRow.second.hasAnswered_;
  });
}

bool FeedClient::IsTooSoon(const Source& aSource, TimePoint aNow) const
{
  return aSource.distance_ != ZoneDistance::Same &&
         aNow - startedAt_ < settings_.settleTime_ && !HaveAllAnswered();
}

bool FeedClient::WantsServers(const Source& aSource, TimePoint aNow) const
{
  if (settings_.isControl_) {
    return true;
  }
  if (IsTooSoon(aSource, aNow)) {
    return false;
  }
  const bool isOverdue =
    aSource.lacksServersSince_ != TimePoint::max() &&
    aNow - aSource.lacksServersSince_ >= ServersTimeout(aSource);
  return aSource.hasAnswered_ &&
         (isOverdue || FindNearest(DocumentVersion(), aNow) == &aSource);
}

FeedRequest FeedClient::MakeRequest(const Source& aSource, TimePoint aNow)
{
  FeedRequest request;
  request.source_ = aSource.id_;
  request.cursor_ = aSource.cursor_;
  request.knownVersion_ = version_;
  request.knownControls_ = aSource.controlsNumber_;
  request.isControl_ = settings_.isControl_;
  request.wantsText_ = WantsText(aSource, aNow);
  request.wantsServers_ = WantsServers(aSource, aNow);
  request.wantsRenewals_ = request.wantsServers_ && !settings_.isControl_ &&
                           aNow >= aSource.renewalsAt_;
  const bool isNear = aSource.distance_ == ZoneDistance::Same;
  request.wait_ = isNear ? settings_.wait_ : settings_.farWait_;
  if (IsTooSoon(aSource, aNow)) {
    request.wait_ = settings_.settleTime_;
  }
  if (!aSource.hasAnswered_) {
    request.wait_ = milliseconds(0);
    return request;
  }
  if (toldVersion_ > version_ && !request.wantsText_) {
    // The nearest source is about to bring the document; look again soon.
    request.knownVersion_ = toldVersion_;
    request.wait_ = std::min(request.wait_, settings_.textTimeout_);
  }
  if (aSource.lacksServersSince_ != TimePoint::max() &&
      !request.wantsServers_) {
    request.wait_ = std::min(request.wait_, settings_.serversTimeout_);
  }
  return request;
}

void FeedClient::Ask(const std::string& aEndpoint, TimePoint aNow)
{
  const auto [row, isNew] = sources_.try_emplace(aEndpoint);
  row->second.namedAt_ = aNow;
  if (isNew) {
    asio::co_spawn(context_, Follow(aEndpoint), asio::detached);
  }
}

asio::awaitable<void> FeedClient::Follow(std::string aEndpoint)
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
    Frame question{ FrameKind::Feed, 0, EncodeFeedRequest(request) };
    // g++ 12 destroys temporaries within an awaited expression twice.
    auto call = frames_.Call(
      *endpoint, std::move(question), request.wait_ + settings_.patience_);
    const auto reply = co_await std::move(call);
    const TimePoint now = Now();
    absl::Status status = reply.status();
    if (reply.ok()) {
      auto news = DecodeFeedReply(reply->payload_);
      status = news.status();
      if (news.ok()) {
        Take(source, request, *news, now);
        continue;
      }
    }
    NoteLoss(aEndpoint, source, status, now);
    const TimePoint last = std::max(source.answeredAt_, source.namedAt_);
    if (now - last > settings_.forgetAfter_) {
      textSource_ = nullptr;
      failedSource_ = nullptr;
      sources_.erase(aEndpoint);
      co_return;
    }
    timer.expires_after(settings_.pause_);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void FeedClient::Take(Source& aSource,
                      const FeedRequest& aRequest,
                      const FeedReply& aReply,
                      TimePoint aNow)
{
  if (aSource.isLost_ && aSource.hasAnswered_) {
    LogLine(LogLevel::Info, "control_regained")
      .Add("document", aReply.version_)
      .Add("after_ms", ToMilliseconds(aNow - aSource.answeredAt_));
  }
  if (aSource.id_ != aReply.source_) {
    aSource.cursor_ = 0;
    aSource.wasLevel_ = false;
  }
  aSource.isLost_ = false;
  aSource.hasAnswered_ = true;
  aSource.answeredAt_ = aNow;
  aSource.id_ = aReply.source_;
  aSource.controlsNumber_ = aReply.controlsNumber_;
  if (aRequest.wantsRenewals_) {
    aSource.renewalsAt_ = aNow + settings_.renewalInterval_;
  }
  aSource.entries_ = aReply.entries_;
  aSource.hasAllEntries_ = aReply.hasAllEntries_;
  aSource.distance_ = settings_.zones_.DistanceTo(aReply.zone_);
  aSource.version_ = aReply.version_;
  TakeServers(aSource, aRequest, aReply, aNow);
  if (!settings_.isControl_) {
    TakeDocument(aReply, aNow);
  }
  for (const std::string& control : aReply.controls_) {
    if (control != settings_.ownEndpoint_) {
      Ask(control, aNow);
    }
  }
  TellEntries(aNow);
}

void FeedClient::TakeServers(Source& aSource,
                             const FeedRequest& aRequest,
                             const FeedReply& aReply,
                             TimePoint aNow)
{
  const uint64_t before = directory_.ChangeRevision();
  for (const FeedServer& server : aReply.servers_) {
    directory_.Apply(server.announcement_, aNow - server.age_);
  }
  for (const FeedRenewal& renewal : aReply.renewals_) {
    directory_.Renew(renewal.id_, renewal.sequence_, aNow - renewal.age_);
  }
  directory_.RemoveExpired(aNow);
  if (aRequest.wantsServers_) {
    hasServers_ = true;
    aSource.cursor_ = aReply.cursor_;
    aSource.wasLevel_ = true;
    aSource.lacksServersSince_ = TimePoint::max();
  } else if (aReply.digest_ == directory_.Digest()) {
    aSource.cursor_ = aReply.revision_;
    aSource.wasLevel_ = true;
    aSource.lacksServersSince_ = TimePoint::max();
  } else if (aReply.revision_ > aSource.cursor_) {
    aSource.lacksServersSince_ = std::min(aSource.lacksServersSince_, aNow);
  }
  if (directory_.ChangeRevision() != before) {
    listener_.OnFeedServers(directory_, aNow);
  }
}

void FeedClient::TakeDocument(const FeedReply& aReply, TimePoint aNow)
{
  if (aReply.version_ > toldVersion_) {
    if (toldVersion_ <= version_) {
      missingSince_ = aNow;
    }
    toldVersion_ = aReply.version_;
  }
  if (aReply.packedText_ == nullptr || aReply.version_ <= version_) {
    return;
  }
  const auto text =
    Decompress(*aReply.packedText_, settings_.maxDocumentBytes_);
  if (!text.ok()) {
    LogLine(LogLevel::Error, "document_unreadable")
      .Add("version", aReply.version_)
      .Add("error", text.status());
    return;
  }
  if (version_.Value() == 0) {
    firstDocumentAt_ = aNow;
  }
  version_ = aReply.version_;
  // The next newer one is missing since now, not since the one before it.
  missingSince_ = aNow;
  listener_.OnFeedDocument(version_, *text, aNow);
}

void FeedClient::TellEntries(TimePoint aNow)
{
  uint32_t entries = 0;
  bool isComplete = false;
  for (const auto& [endpoint, source] : sources_) {
    if (IsLive(source, aNow)) {
      entries = std::max(entries, source.entries_);
      isComplete = isComplete || source.hasAllEntries_;
    }
  }
  listener_.OnFeedEntries(entries, isComplete, aNow);
}

void FeedClient::NoteLoss(const std::string& aEndpoint,
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
