#include "forward/GatherRequestHandler.h"

#include "forward/RecordMerge.h"

#include <algorithm>

namespace foxtail {

GatherRequestHandler::GatherRequestHandler(
  RequestHandlerContext& aContext,
  std::shared_ptr<const RouteTable> aTable,
  const Route& aRoute,
  const GatherTarget& aTarget,
  RouteStats& aStats,
  std::shared_ptr<const ForwardRequest> aRequest,
  CompletionCallback aOnComplete)
  : RequestHandler(aContext,
                   std::move(aTable),
                   aRoute,
                   aStats,
                   std::move(aRequest),
                   std::move(aOnComplete))
  , target_(aTarget)
  , attempts_(aTarget.shards_.size())
  , parts_(aTarget.shards_.size())
{
  for (size_t i = 0; i < attempts_.size(); ++i) {
    attempts_[i].service_ = aTarget.shards_[i];
  }
}

void GatherRequestHandler::Start(TimePoint aNow)
{
  const TimePoint latestSendAt = LatestSendAt(aNow);
  if (auto refusal = RefusalBefore(latestSendAt, aNow)) {
    Finish(*std::move(refusal), aNow);
    return;
  }
  isSuspect_ = Treatment(aNow).has_value();
  hasProbed_ = isSuspect_;
  bool hasSent = false;
  for (uint32_t i = 0; i < attempts_.size(); ++i) {
    if (isSuspect_ && hasSent) {
      heldShards_.push_back(i);
    } else if (TrySend(attempts_[i], i, latestSendAt, aNow)) {
      hasSent = true;
    } else {
      parts_[i].state_ = PartState::Missing;
      ++missing_;
    }
  }
  ScheduleTimer(aNow);
}

std::optional<ForwardAnswer> GatherRequestHandler::RefusalBefore(
  TimePoint aLatestSendAt,
  TimePoint aNow) const
{
  const auto shards = static_cast<uint32_t>(attempts_.size());
  const uint32_t required = RequiredShards(shards, target_.leastShare_);
  struct ShardSend
  {
    TimePoint at_;
    /// All servers of the shard refuse requests until then.
    bool isRefused_;
  };
  std::vector<ShardSend> earliest;
  for (const ServiceAttempts& attempts : attempts_) {
    if (const auto refusedUntil =
          context_.pools_.RefusedUntil(attempts.service_, regions_, aNow)) {
      earliest.push_back({ *refusedUntil, true });
    } else if (const auto at = context_.pools_.EarliestSendAt(
                 attempts.service_, regions_, aNow)) {
      earliest.push_back({ *at, false });
    }
  }
  if (earliest.size() < required) {
    return RefusalAnswer(
      std::to_string(earliest.size()) + " of " + std::to_string(shards) +
        " shards have a backend server" + std::string(OnNoServer()) +
        " that accepts requests, too few for an "
        "answer; try again, and check the announcements",
      std::nullopt,
      std::nullopt,
      aNow);
  }
  std::sort(earliest.begin(),
            earliest.end(),
            [](const ShardSend& aLeft, const ShardSend& aRight) {
              return aLeft.isRefused_ != aRight.isRefused_
                       ? aRight.isRefused_
                       : aLeft.at_ < aRight.at_;
            });
  const ShardSend& enough = earliest[required - 1];
  if (enough.isRefused_) {
    return RefusalAnswer("the backend servers of too many shards refuse "
                         "requests; come back after the time that is stated",
                         std::nullopt,
                         enough.at_,
                         aNow);
  }
  if (enough.at_ > aLatestSendAt) {
    return RefusalAnswer("too many shards limit the rate of requests; come "
                         "back after the time that is stated",
                         enough.at_,
                         std::nullopt,
                         aNow);
  }
  return std::nullopt;
}

void GatherRequestHandler::OnExchangeEnd(Exchange& aExchange, TimePoint aNow)
{
  const uint32_t shard = aExchange.serviceIndex_;
  if (IsDone() || !CompleteAttempt(attempts_[shard], aExchange, aNow) ||
      parts_[shard].state_ != PartState::Pending) {
    return;
  }
  // A server that has too many connections resets new ones.
  if (aExchange.IsUnanswered() &&
      aExchange.fault_ != ExchangeFault::ResetOnConnect) {
    firstUnansweredAt_ = std::min(firstUnansweredAt_, aNow);
    ++unanswered_;
  }
  const bool isPart = aExchange.outcome_ == ExchangeOutcome::Answered &&
                      aExchange.reply_.IsSuccess();
  if (isPart) {
    parts_[shard].signature_ = std::move(aExchange.reply_.signature_);
    parts_[shard].records_ = std::move(aExchange.reply_.body_);
    receivedBytes_ += parts_[shard].records_.size();
    SetPartState(shard, PartState::Included, aNow);
  } else if (attempts_[shard].outstanding_.empty()) {
    if (MayCrashServers()) {
      heldShards_.push_back(shard);
    } else {
      SendToShard(shard, aNow);
    }
  }
  DecideHeldShards(aNow);
  if (!IsDone()) {
    ScheduleTimer(aNow);
  }
}

void GatherRequestHandler::SendToShard(uint32_t aShard, TimePoint aNow)
{
  ServiceAttempts& attempts = attempts_[aShard];
  const bool isSent = attempts.sendCount_ == 0
                        ? TrySend(attempts, aShard, LatestSendAt(aNow), aNow)
                        : TryRetry(attempts, aShard, NeedsMoreParts(), aNow);
  if (isSent) {
    return;
  }
  if (TryReturnLater(attempts, aNow)) {
    EvaluateProgress(aNow);
  } else {
    SetPartState(aShard, PartState::Missing, aNow);
  }
}

void GatherRequestHandler::DecideHeldShards(TimePoint aNow)
{
  if (IsDone() || heldShards_.empty()) {
    return;
  }
  if (!MayCrashServers()) {
    for (const uint32_t shard : std::exchange(heldShards_, {})) {
      if (!IsDone()) {
        SendToShard(shard, aNow);
      }
    }
    return;
  }
  const bool isWaiting = std::any_of(
    attempts_.begin(), attempts_.end(), [](const ServiceAttempts& aAttempts) {
      return !aAttempts.outstanding_.empty() ||
             aAttempts.sendAt_ != TimePoint::max();
    });
  if (isWaiting) {
    return;
  }
  // The retries so far may have met servers that had crashed together with the
  // first ones, on connections whose ends had not arrived yet.
  const TimePoint probeAt =
    firstUnansweredAt_ + context_.settings_.crashTransitTime_;
  if (!hasProbed_ && aNow < probeAt) {
    probeAt_ = probeAt;
  } else if (!std::exchange(hasProbed_, true)) {
    const uint32_t shard = heldShards_.back();
    heldShards_.pop_back();
    SendToShard(shard, aNow);
    DecideHeldShards(aNow);
  } else {
    Finish(FailureAnswer(std::to_string(unanswered_) +
                           " backend servers ended the connection without a "
                           "reply and none replied",
                         false,
                         std::nullopt,
                         aNow),
           aNow);
  }
}

void GatherRequestHandler::SetPartState(uint32_t aShard,
                                        PartState aState,
                                        TimePoint aNow)
{
  parts_[aShard].state_ = aState;
  included_ += aState == PartState::Included ? 1 : 0;
  missing_ += aState == PartState::Missing ? 1 : 0;
  AbandonOutstanding(attempts_[aShard], aNow);
  EvaluateProgress(aNow);
}

void GatherRequestHandler::HandleTimer(TimePoint aNow)
{
  EvaluateProgress(aNow);
  if (IsDone()) {
    return;
  }
  if (aNow >= probeAt_) {
    probeAt_ = TimePoint::max();
    DecideHeldShards(aNow);
    if (IsDone()) {
      return;
    }
  }
  const bool isRequired = NeedsMoreParts();
  for (uint32_t i = 0; i < attempts_.size(); ++i) {
    PreconnectIfDue(attempts_[i], aNow);
    if (MayCrashServers() && !isSuspect_) {
      attempts_[i].hedgeAt_ = TimePoint::max();
    }
    HedgeIfDue(attempts_[i], i, isRequired, aNow);
    if (!SendIfDue(attempts_[i], i, aNow)) {
      SetPartState(i, PartState::Missing, aNow);
      if (IsDone()) {
        return;
      }
    }
  }
}

TimePoint GatherRequestHandler::NextTimerAt(TimePoint aNow) const
{
  TimePoint next =
    std::min(NextGatherEvaluation(Progress(aNow), aNow), probeAt_);
  for (const ServiceAttempts& attempts : attempts_) {
    next = std::min(
      { next, attempts.preconnectAt_, attempts.hedgeAt_, attempts.sendAt_ });
  }
  return next;
}

GatherProgress GatherRequestHandler::Progress(TimePoint aNow) const
{
  return { static_cast<uint32_t>(parts_.size()),
           included_,
           missing_,
           target_.leastShare_,
           ObjectiveAt(AnswerBytes(), aNow),
           responseDeadline_,
           static_cast<uint32_t>(
             std::count_if(attempts_.begin(),
                           attempts_.end(),
                           [](const ServiceAttempts& aAttempts) {
                             return aAttempts.IsReturning();
                           })) };
}

size_t GatherRequestHandler::AnswerBytes() const
{
  // Status line and header names; a signature with its separator.
  constexpr size_t kHeadBytes = 250;
  constexpr size_t kSignatureBytes = 34;
  // The route may ask for more records than there are.
  return kHeadBytes + kSignatureBytes * parts_.size() +
         std::min(kRecordBytes * target_.topRecords_, receivedBytes_);
}

bool GatherRequestHandler::NeedsMoreParts() const
{
  return included_ < RequiredShards(static_cast<uint32_t>(parts_.size()),
                                    target_.leastShare_);
}

void GatherRequestHandler::EvaluateProgress(TimePoint aNow)
{
  switch (EvaluateGather(Progress(aNow), aNow)) {
    case GatherVerdict::Wait:
      return;
    case GatherVerdict::AnswerWhole:
    case GatherVerdict::AnswerPartial:
      Finish(MergeParts(), aNow);
      return;
    case GatherVerdict::Fail:
      Finish(FailureAnswer(std::to_string(included_) + " of " +
                             std::to_string(parts_.size()) +
                             " shards answered, too few for an answer",
                           aNow >= responseDeadline_,
                           std::nullopt,
                           aNow),
             aNow);
      return;
  }
}

ForwardAnswer GatherRequestHandler::MergeParts() const
{
  constexpr unsigned kOk = 200;
  ForwardAnswer answer;
  answer.source_ = AnswerSource::Merged;
  answer.status_ = kOk;
  std::string signatures;
  std::vector<std::string_view> records;
  for (const Part& part : parts_) {
    if (part.state_ == PartState::Included) {
      signatures += (signatures.empty() ? "" : ", ") + part.signature_;
      records.push_back(part.records_);
    }
  }
  const HeaderNames& headerNames = context_.headerNames_;
  answer.headers_ = "Content-Type: application/octet-stream\r\n";
  answer.headers_ +=
    headerNames.requestId_ + ": " + Request().id_.Value() + "\r\n";
  answer.headers_ += headerNames.partSignatures_ + ": " + signatures + "\r\n";
  answer.headers_ += headerNames.missingShards_ + ": " +
                     std::to_string(parts_.size() - included_) + "\r\n";
  answer.body_ = MergeTopRecords(records, target_.topRecords_);
  return answer;
}

} // namespace foxtail
