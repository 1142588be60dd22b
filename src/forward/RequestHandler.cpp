#include "forward/RequestHandler.h"

#include "core/Log.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Number of samples below which defaults are used instead of quantiles.
constexpr uint32_t kMinSamples = 20;
/// Server time that is assumed until a route has kMinSamples samples.
constexpr milliseconds kDefaultServerTime{ 20 };
/// Limit on the attempts of one request for one service, whatever their
/// outcomes. It bounds the cost of refused attempts, which do not count towards
/// Route::maxAttempts_.
constexpr uint32_t kMaxSendsPerService = 4;

Duration Fraction(Duration aWhole, double aShare)
{
  return duration_cast<Duration>(std::chrono::duration<double>(aWhole) *
                                 aShare);
}

/// @return the approximate size of a request as it is sent to a backend server.
size_t RequestBytes(const ForwardRequest& aRequest)
{
  // Request line and the header lines that this system adds.
  constexpr size_t kAddedBytes = 110;
  return aRequest.method_.size() + aRequest.target_.size() +
         aRequest.headers_.size() + aRequest.body_.size() + kAddedBytes;
}

} // namespace

Duration RouteStats::TypicalServerTime() const
{
  constexpr double kMedian = 0.5;
  return serverTime_.Count() < kMinSamples ? Duration(kDefaultServerTime)
                                           : serverTime_.Quantile(kMedian);
}

ForwardAnswer MakeLocalAnswer(AnswerSource aSource,
                              unsigned aStatus,
                              std::string_view aReason,
                              std::optional<milliseconds> aRetryAfter)
{
  ForwardAnswer answer;
  answer.source_ = aSource;
  answer.status_ = aStatus;
  answer.headers_ = "Content-Type: application/json\r\n";
  if (aRetryAfter) {
    std::array<char, 48> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "Retry-After: %.3f\r\n",
                  std::chrono::duration<double>(*aRetryAfter).count());
    answer.headers_ += line.data();
  }
  answer.body_ = R"({"error":)";
  AppendJsonString(answer.body_, aReason);
  answer.body_ += "}\n";
  return answer;
}

RequestHandler::RequestHandler(RequestHandlerContext& aContext,
                               std::shared_ptr<const RouteTable> aTable,
                               const Route& aRoute,
                               RouteStats& aStats,
                               std::shared_ptr<const ForwardRequest> aRequest,
                               CompletionCallback aOnComplete)
  : context_(aContext)
  , table_(std::move(aTable))
  , route_(aRoute)
  , stats_(aStats)
  , request_(std::move(aRequest))
  , regions_(table_->RegionsFor(route_, request_->team_))
  , responseDeadline_(std::min(
      std::min(request_->deadline_, request_->startedAt_ + aRoute.timeout_) -
        request_->returnDelay_ - aContext.settings_.answerTiming_.margin_,
      aContext.answerBy_))
  , onComplete_(std::move(aOnComplete))
{
}

TimePoint RequestHandler::ObjectiveAt(size_t aAnswerBytes, TimePoint aNow) const
{
  AnswerTiming timing;
  timing.callerStartedAt_ = request_->callerStartedAt_;
  timing.startedAt_ = request_->startedAt_;
  timing.objective_ = route_.objective_;
  timing.returnDelay_ = request_->returnDelay_;
  timing.linkDelay_ = context_.link_.DelayOf(aAnswerBytes, aNow);
  timing.timerLateness_ = context_.timers_.UsualLateness();
  timing.timerCoalescing_ = TimerQueue::kCoalesceDelay;
  return LatestAnswerTime(context_.settings_.answerTiming_, timing);
}

void RequestHandler::OnTimer(TimePoint aNow)
{
  if (isDone_) {
    return;
  }
  timerAt_ = TimePoint::max();
  HandleTimer(aNow);
  if (!isDone_) {
    ScheduleTimer(aNow);
  }
}

void RequestHandler::ScheduleTimer(TimePoint aNow)
{
  const TimePoint next = NextTimerAt(aNow);
  if (next < timerAt_) {
    timerAt_ = next;
    context_.timers_.Add(next, weak_from_this());
  }
}

std::optional<PoolChoice> RequestHandler::ChooseServer(
  const ServiceAttempts& aAttempts,
  TimePoint aLatestSendAt,
  TimePoint aNow)
{
  return context_.pools_.Choose(
    aAttempts.service_,
    regions_,
    aAttempts.triedPools_,
    stats_.TypicalServerTime(),
    context_.budgetOf_(aAttempts.service_).UsedFraction(aNow),
    aLatestSendAt,
    aNow);
}

TimePoint RequestHandler::LatestSendAt(TimePoint aNow) const
{
  constexpr double kMedian = 0.5;
  const Duration latency = stats_.attemptLatency_.Count() < kMinSamples
                             ? Duration(kDefaultServerTime)
                             : stats_.attemptLatency_.Quantile(kMedian);
  return std::max(aNow,
                  std::min(ObjectiveAt(0, aNow), responseDeadline_) - latency);
}

bool RequestHandler::TrySend(ServiceAttempts& aAttempts,
                             uint32_t aServiceIndex,
                             TimePoint aLatestSendAt,
                             TimePoint aNow)
{
  const auto choice = ChooseServer(aAttempts, aLatestSendAt, aNow);
  if (!choice) {
    if (aAttempts.sendCount_ == 0 &&
        context_.pools_.RefusedUntil(aAttempts.service_, regions_, aNow)) {
      aAttempts.lastFault_ = ExchangeFault::Refusing;
    } else if (context_.pools_.EarliestSendAt(
                 aAttempts.service_, regions_, aNow) > aLatestSendAt) {
      aAttempts.lastFault_ = ExchangeFault::RateLimited;
    }
    return false;
  }
  choice->pool_->TakePermit(aNow);
  if (choice->sendAt_ > aNow) {
    aAttempts.sendAt_ = choice->sendAt_;
    aAttempts.reservedPool_ = choice->pool_;
    return true;
  }
  SendTo(choice->pool_, aAttempts, aServiceIndex, aNow);
  return true;
}

void RequestHandler::SendTo(const std::shared_ptr<ServerConnectionPool>& aPool,
                            ServiceAttempts& aAttempts,
                            uint32_t aServiceIndex,
                            TimePoint aNow)
{
  auto exchange = std::make_shared<Exchange>();
  exchange->request_ = request_;
  exchange->deadline_ =
    std::min(request_->deadline_, request_->startedAt_ + route_.timeout_);
  exchange->maxUnsizedReplyBytes_ = stats_.replySize_.MaxBytes();
  exchange->expectedServerTime_ = stats_.TypicalServerTime();
  exchange->listener_ =
    std::static_pointer_cast<RequestHandler>(shared_from_this());
  exchange->serviceIndex_ = aServiceIndex;
  exchange->isExtraAttempt_ = aAttempts.sendCount_ > 0;
  ++aAttempts.sendCount_;
  if (aAttempts.sendCount_ == 1) {
    context_.budgetOf_(aAttempts.service_).OnRequest(aNow);
  }
  aAttempts.triedPools_.push_back(aPool.get());
  aAttempts.outstanding_.push_back({ exchange, aPool });
  const bool mayHedge = route_.effect_ == RouteEffect::Idempotent &&
                        aAttempts.outstanding_.size() == 1 &&
                        aAttempts.countedAttempts_ + 1 < route_.maxAttempts_;
  aAttempts.hedgeAt_ = TimePoint::max();
  aAttempts.preconnectAt_ = TimePoint::max();
  if (mayHedge) {
    const Duration typicalLatency =
      stats_.attemptLatency_.Count() < kMinSamples
        ? Fraction(route_.objective_, context_.settings_.maxHedgeDelayShare_)
        : stats_.attemptLatency_.Quantile(context_.settings_.hedgeQuantile_);
    const Duration maxDelay = std::max<Duration>(
      context_.settings_.minHedgeDelay_,
      Fraction(route_.objective_, context_.settings_.maxHedgeDelayShare_));
    const auto delay = std::clamp<Duration>(
      typicalLatency, context_.settings_.minHedgeDelay_, maxDelay);
    aAttempts.hedgeAt_ = aNow + delay;
    aAttempts.preconnectAt_ =
      aNow + Fraction(delay, context_.settings_.preconnectShare_);
  }
  context_.link_.OnWrite(RequestBytes(*request_), aNow);
  aPool->Send(std::move(exchange), aNow);
}

void RequestHandler::PreconnectIfDue(ServiceAttempts& aAttempts, TimePoint aNow)
{
  if (aAttempts.preconnectAt_ > aNow) {
    return;
  }
  aAttempts.preconnectAt_ = TimePoint::max();
  if (aAttempts.outstanding_.empty()) {
    return;
  }
  if (const auto next = ChooseServer(aAttempts, aNow, aNow)) {
    next->pool_->Preconnect(aNow);
  }
}

std::optional<SuspectTreatment> RequestHandler::Treatment(TimePoint aNow) const
{
  const auto quarantine =
    context_.pools_.Crashes().Find(request_->fingerprint_, aNow);
  return quarantine ? std::optional(quarantine->treatment_) : std::nullopt;
}

double RequestHandler::BudgetReserve(bool aIsRequired) const
{
  return aIsRequired ? context_.settings_.requiredReserve_
                     : context_.settings_.optionalReserve_;
}

void RequestHandler::HedgeIfDue(ServiceAttempts& aAttempts,
                                uint32_t aServiceIndex,
                                bool aIsRequired,
                                TimePoint aNow)
{
  if (aAttempts.hedgeAt_ > aNow || aAttempts.outstanding_.empty()) {
    return;
  }
  aAttempts.hedgeAt_ = TimePoint::max();
  if (aAttempts.countedAttempts_ + aAttempts.outstanding_.size() >=
        route_.maxAttempts_ ||
      Treatment(aNow) == SuspectTreatment::Refuse) {
    return;
  }
  if (!context_.budgetOf_(aAttempts.service_)
         .TryTake(BudgetReserve(aIsRequired) + context_.settings_.hedgeReserve_,
                  aNow)) {
    return;
  }
  if (TrySend(aAttempts, aServiceIndex, aNow, aNow)) {
    ++hedges_;
  }
}

bool RequestHandler::TryRetry(ServiceAttempts& aAttempts,
                              uint32_t aServiceIndex,
                              bool aIsRequired,
                              TimePoint aNow)
{
  const bool isAllowed =
    aAttempts.mayHaveRunCount_ == 0 ||
    (route_.effect_ == RouteEffect::Idempotent &&
     aAttempts.countedAttempts_ + aAttempts.outstanding_.size() <
       route_.maxAttempts_);
  if (!isAllowed || aAttempts.sendCount_ >= kMaxSendsPerService ||
      aNow >= responseDeadline_ ||
      aAttempts.lastFault_ == ExchangeFault::PermitExpired ||
      Treatment(aNow) == SuspectTreatment::Refuse) {
    return false;
  }
  // An attempt that was not written, or whose new connection was reset at once,
  // put no load on a server, so its retry is not charged to the budget.
  const bool isUncharged =
    aAttempts.lastFault_ == ExchangeFault::ResetOnConnect ||
    aAttempts.lastFault_ == ExchangeFault::ConnectFailed ||
    aAttempts.lastFault_ == ExchangeFault::ConnectTimeout ||
    aAttempts.lastFault_ == ExchangeFault::QueueFull ||
    aAttempts.lastFault_ == ExchangeFault::ServerRemoved ||
    aAttempts.lastFault_ == ExchangeFault::Refusing;
  if (!isUncharged && !context_.budgetOf_(aAttempts.service_)
                         .TryTake(BudgetReserve(aIsRequired), aNow)) {
    return false;
  }
  if (!TrySend(aAttempts, aServiceIndex, LatestSendAt(aNow), aNow)) {
    return false;
  }
  ++retries_;
  return true;
}

bool RequestHandler::TryReturnLater(ServiceAttempts& aAttempts, TimePoint aNow)
{
  const bool wasRefused =
    aAttempts.lastFault_ == ExchangeFault::ResetOnConnect ||
    aAttempts.lastFault_ == ExchangeFault::ConnectFailed;
  if (!wasRefused || route_.effect_ != RouteEffect::Idempotent ||
      aAttempts.countedAttempts_ >= route_.maxAttempts_) {
    return false;
  }
  const auto delay = DelayBeforeReturn(context_.settings_.busyServersBackoff_,
                                       aAttempts.returns_,
                                       responseDeadline_ - aNow,
                                       stats_.TypicalServerTime());
  if (!delay) {
    return false;
  }
  ++aAttempts.returns_;
  aAttempts.sendAt_ = aNow + *delay;
  aAttempts.triedPools_.clear();
  // The limit on sends holds for each return.
  aAttempts.sendCount_ = 1;
  return true;
}

bool RequestHandler::SendIfDue(ServiceAttempts& aAttempts,
                               uint32_t aServiceIndex,
                               TimePoint aNow)
{
  if (aAttempts.sendAt_ > aNow) {
    return true;
  }
  aAttempts.sendAt_ = TimePoint::max();
  const auto reserved = std::exchange(aAttempts.reservedPool_, nullptr);
  if (reserved != nullptr && reserved->AcceptsRequests() &&
      !reserved->IsRefusing(aNow)) {
    SendTo(reserved, aAttempts, aServiceIndex, aNow);
    return true;
  }
  return TrySend(aAttempts, aServiceIndex, LatestSendAt(aNow), aNow);
}

bool RequestHandler::CompleteAttempt(ServiceAttempts& aAttempts,
                                     Exchange& aExchange,
                                     TimePoint aNow)
{
  const auto found =
    std::find_if(aAttempts.outstanding_.begin(),
                 aAttempts.outstanding_.end(),
                 [&](const OutstandingAttempt& aAttempt) {
                   return aAttempt.exchange_.get() == &aExchange;
                 });
  if (found == aAttempts.outstanding_.end()) {
    return false;
  }
  const auto pool = found->pool_;
  aAttempts.outstanding_.erase(found);
  aAttempts.lastFault_ = aExchange.fault_;
  if (aExchange.outcome_ == ExchangeOutcome::Answered ||
      aExchange.outcome_ == ExchangeOutcome::Failed) {
    ++aAttempts.mayHaveRunCount_;
    // A server with too many connections resets a new one without reading from
    // it. That is certain enough not to count the attempt towards the limit,
    // but no proof that the request was not run.
    aAttempts.countedAttempts_ +=
      aExchange.fault_ == ExchangeFault::ResetOnConnect ? 0 : 1;
  }
  if (aExchange.outcome_ == ExchangeOutcome::Answered &&
      aExchange.reply_.IsSuccess()) {
    stats_.replySize_.OnReply(aExchange.reply_.body_.size());
    const Duration took = aNow - aExchange.sentAt_;
    stats_.serverTime_.Add(
      std::max(Duration::zero(), took - pool->State(aNow).roundTrip_));
    if (!aExchange.isExtraAttempt_) {
      stats_.attemptLatency_.Add(aNow - aExchange.startedAt_);
    }
  }
  return true;
}

void RequestHandler::AbandonOutstanding(ServiceAttempts& aAttempts,
                                        TimePoint aNow)
{
  for (const OutstandingAttempt& attempt : aAttempts.outstanding_) {
    if (attempt.exchange_->IsSent()) {
      ++aAttempts.mayHaveRunCount_;
    }
    attempt.pool_->Abandon(
      attempt.exchange_, aNow + context_.settings_.abandonGrace_, aNow);
  }
  aAttempts.outstanding_.clear();
  aAttempts.hedgeAt_ = TimePoint::max();
  aAttempts.preconnectAt_ = TimePoint::max();
  aAttempts.sendAt_ = TimePoint::max();
  aAttempts.reservedPool_ = nullptr;
}

void RequestHandler::OnCallerDisconnected(TimePoint aNow)
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  for (ServiceAttempts& attempts : AllAttempts()) {
    AbandonOutstanding(attempts, aNow);
  }
  LogLine(LogLevel::Info, "caller_left")
    .Add("request", request_->id_)
    .Add("route", route_.name_)
    .Add("after_ms", ToMilliseconds(aNow - request_->startedAt_));
}

void RequestHandler::LimitAnswerTime(TimePoint aAnswerBy, TimePoint aNow)
{
  responseDeadline_ = std::min(responseDeadline_, aAnswerBy);
  if (!isDone_) {
    ScheduleTimer(aNow);
  }
}

bool RequestHandler::MayHaveRun()
{
  for (const ServiceAttempts& attempts : AllAttempts()) {
    const bool hasSentAttempt =
      std::any_of(attempts.outstanding_.begin(),
                  attempts.outstanding_.end(),
                  [](const OutstandingAttempt& aAttempt) {
                    return aAttempt.exchange_->IsSent();
                  });
    if (hasSentAttempt || attempts.mayHaveRunCount_ > 0) {
      return true;
    }
  }
  return false;
}

ForwardAnswer RequestHandler::FailureAnswer(
  std::string_view aReason,
  bool aIsTimedOut,
  std::optional<TimePoint> aRefusedUntil,
  TimePoint aNow)
{
  constexpr unsigned kBadGateway = 502;
  constexpr unsigned kTimeout = 504;
  if (!MayHaveRun()) {
    return RefusalAnswer(aReason, std::nullopt, aRefusedUntil, aNow);
  }
  return MakeLocalAnswer(
    AnswerSource::Unknown, aIsTimedOut ? kTimeout : kBadGateway, aReason);
}

ForwardAnswer RequestHandler::RefusalAnswer(
  std::string_view aReason,
  std::optional<TimePoint> aEarliestSendAt,
  std::optional<TimePoint> aRefusedUntil,
  TimePoint aNow) const
{
  constexpr unsigned kUnavailable = 503;
  const ForwardSettings& settings = context_.settings_;
  const auto wait =
    std::chrono::ceil<milliseconds>(aEarliestSendAt.value_or(aNow) - aNow);
  const auto byRateLimit = std::clamp(
    wait,
    settings.retryAfter_,
    std::max(settings.retryAfter_, settings.maxRateLimitRetryAfter_));
  const auto byRefusal =
    std::chrono::ceil<milliseconds>(aRefusedUntil.value_or(aNow) - aNow);
  return MakeLocalAnswer(AnswerSource::NotRun,
                         kUnavailable,
                         aReason,
                         std::max(byRateLimit, byRefusal));
}

std::string_view RequestHandler::OnNoServer() const
{
  if (regions_.AllowsAll()) {
    return {};
  }
  if (context_.regionRefusals_ != nullptr) {
    context_.regionRefusals_->Increment();
  }
  return " in the regions that the route and the team allow";
}

void RequestHandler::Finish(ForwardAnswer aAnswer, TimePoint aNow)
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  const size_t answerBytes = aAnswer.headers_.size() + aAnswer.body_.size();
  LogCompletion(aAnswer, ObjectiveAt(answerBytes, aNow) - aNow, aNow);
  context_.link_.OnWrite(answerBytes, aNow);
  for (ServiceAttempts& attempts : AllAttempts()) {
    AbandonOutstanding(attempts, aNow);
  }
  // The callback may release the caller connection's reference to this handler.
  const auto self = shared_from_this();
  onComplete_(std::move(aAnswer));
}

void RequestHandler::LogCompletion(const ForwardAnswer& aAnswer,
                                   Duration aTimeLeft,
                                   TimePoint aNow)
{
  const Duration took = aNow - request_->startedAt_;
  const bool isLocal = aAnswer.source_ == AnswerSource::NotRun ||
                       aAnswer.source_ == AnswerSource::Unknown;
  const bool isUnremarkable = !isLocal && hedges_ == 0 && retries_ == 0 &&
                              aTimeLeft >= Duration::zero() &&
                              aAnswer.status_ < 400;
  if (isUnremarkable) {
    return;
  }
  LogLine line(isLocal ? LogLevel::Warning : LogLevel::Info, "request_ended");
  line.Add("request", request_->id_)
    .Add("fingerprint", ToHex(request_->fingerprint_))
    .Add("route", route_.name_)
    .Add("document", table_->Version())
    .Add("source", NameOf(aAnswer.source_))
    .Add("status", aAnswer.status_)
    .Add("took_ms", ToMilliseconds(took))
    .Add("left_ms", ToMilliseconds(aTimeLeft))
    .Add("hedges", hedges_)
    .Add("retries", retries_);
  if (!request_->team_.empty()) {
    line.Add("team", request_->team_);
  }
  std::string faults;
  std::string outstanding;
  for (const ServiceAttempts& attempts : AllAttempts()) {
    if (attempts.lastFault_ != ExchangeFault::None) {
      faults += (faults.empty() ? "" : ",") + attempts.service_.Value() + ":" +
                std::string(NameOf(attempts.lastFault_));
    }
    for (const OutstandingAttempt& attempt : attempts.outstanding_) {
      const auto age =
        duration_cast<milliseconds>(aNow - attempt.exchange_->startedAt_);
      outstanding += (outstanding.empty() ? "" : ",") +
                     attempt.pool_->Announcement().id_.Value() + ":" +
                     std::to_string(age.count());
    }
  }
  if (!faults.empty()) {
    line.Add("faults", faults);
  }
  if (!outstanding.empty()) {
    line.Add("unanswered_ms", outstanding);
  }
  if (isLocal) {
    line.Add("reason", aAnswer.body_);
  }
}

} // namespace foxtail
