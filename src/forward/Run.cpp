#include "forward/Run.h"

#include "core/Log.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Samples before a quantile is trusted.
constexpr uint32_t kMinSamples = 20;
/// What is assumed of a route's work before that.
constexpr milliseconds kAssumedWork{ 20 };
/// Sends of one request for one service, whatever their ends: a bound on what
/// refusals may cost.
constexpr uint32_t kMaxSends = 4;

Duration Fraction(Duration aWhole, double aShare)
{
  return duration_cast<Duration>(std::chrono::duration<double>(aWhole) *
                                 aShare);
}

} // namespace

Duration RouteStats::Work() const
{
  constexpr double kMedian = 0.5;
  return work_.Count() < kMinSamples ? Duration(kAssumedWork)
                                     : work_.Quantile(kMedian);
}

ForwardAnswer OwnAnswer(AnswerSource aSource,
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

Run::Run(RunContext& aContext,
         std::shared_ptr<const RouteTable> aTable,
         const Route& aRoute,
         RouteStats& aStats,
         std::shared_ptr<const ForwardRequest> aRequest,
         Done aDone)
  : context_(aContext)
  , table_(std::move(aTable))
  , route_(aRoute)
  , stats_(aStats)
  , request_(std::move(aRequest))
  , finalAt_(
      std::min(request_->deadline_, request_->startedAt_ + aRoute.timeout_) -
      request_->wayBack_ - aContext.settings_.answerMargin_)
  , done_(std::move(aDone))
{
}

void Run::OnTime(TimePoint aNow)
{
  if (isDone_) {
    return;
  }
  wakeAt_ = TimePoint::max();
  OnWake(aNow);
  if (!isDone_) {
    ScheduleWake(aNow);
  }
}

void Run::ScheduleWake(TimePoint aNow)
{
  const TimePoint next = NextWake(aNow);
  if (next < wakeAt_) {
    wakeAt_ = next;
    context_.timers_.Add(next, weak_from_this());
  }
}

std::optional<PoolChoice> Run::ChooseServer(const Attempts& aAttempts,
                                            TimePoint aNow)
{
  return context_.pools_.Choose(
    aAttempts.service_,
    aAttempts.tried_,
    stats_.Work(),
    context_.budgetOf_(aAttempts.service_).UsedFraction(aNow),
    aNow);
}

bool Run::TrySend(Attempts& aAttempts, uint32_t aIndex, TimePoint aNow)
{
  auto choice = ChooseServer(aAttempts, aNow);
  if (!choice) {
    return false;
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->request_ = request_;
  exchange->deadline_ =
    std::min(request_->deadline_, request_->startedAt_ + route_.timeout_);
  exchange->expectedWork_ = stats_.Work();
  exchange->listener_ = std::static_pointer_cast<Run>(shared_from_this());
  exchange->shard_ = aIndex;
  exchange->isExtra_ = aAttempts.sends_ > 0;
  ++aAttempts.sends_;
  if (aAttempts.sends_ == 1) {
    context_.budgetOf_(aAttempts.service_).OnRequest(aNow);
  }
  aAttempts.tried_.push_back(choice->pool_.get());
  aAttempts.open_.push_back({ exchange, choice->pool_ });
  const bool mayHedge = route_.effect_ == RouteEffect::Idempotent &&
                        aAttempts.open_.size() == 1 &&
                        aAttempts.spent_ + 1 < route_.maxAttempts_;
  aAttempts.hedgeAt_ = TimePoint::max();
  aAttempts.prepareAt_ = TimePoint::max();
  if (mayHedge) {
    const Duration usual =
      stats_.attempts_.Count() < kMinSamples
        ? Fraction(route_.objective_, context_.settings_.maxHedgeShare_)
        : stats_.attempts_.Quantile(context_.settings_.hedgeQuantile_);
    const Duration longest = std::max<Duration>(
      context_.settings_.minHedgeDelay_,
      Fraction(route_.objective_, context_.settings_.maxHedgeShare_));
    const auto delay =
      std::clamp<Duration>(usual, context_.settings_.minHedgeDelay_, longest);
    aAttempts.hedgeAt_ = aNow + delay;
    aAttempts.prepareAt_ =
      aNow + Fraction(delay, context_.settings_.prepareShare_);
  }
  choice->pool_->Send(std::move(exchange), aNow);
  return true;
}

void Run::ConsiderPreparing(Attempts& aAttempts, TimePoint aNow)
{
  if (aAttempts.prepareAt_ > aNow) {
    return;
  }
  aAttempts.prepareAt_ = TimePoint::max();
  if (aAttempts.open_.empty()) {
    return;
  }
  if (const auto next = ChooseServer(aAttempts, aNow)) {
    next->pool_->Prepare(aNow);
  }
}

double Run::ReserveOf(bool aIsNeeded) const
{
  return aIsNeeded ? context_.settings_.neededReserve_
                   : context_.settings_.usefulReserve_;
}

void Run::ConsiderHedge(Attempts& aAttempts,
                        uint32_t aIndex,
                        bool aIsNeeded,
                        TimePoint aNow)
{
  if (aAttempts.hedgeAt_ > aNow || aAttempts.open_.empty()) {
    return;
  }
  aAttempts.hedgeAt_ = TimePoint::max();
  if (aAttempts.spent_ + aAttempts.open_.size() >= route_.maxAttempts_) {
    return;
  }
  if (!context_.budgetOf_(aAttempts.service_)
         .TryTake(ReserveOf(aIsNeeded) + context_.settings_.hedgeReserve_,
                  aNow)) {
    return;
  }
  if (TrySend(aAttempts, aIndex, aNow)) {
    ++hedges_;
  }
}

bool Run::TryAgain(Attempts& aAttempts,
                   uint32_t aIndex,
                   bool aIsNeeded,
                   TimePoint aNow)
{
  const bool isAllowed =
    aAttempts.mayHaveRun_ == 0 ||
    (route_.effect_ == RouteEffect::Idempotent &&
     aAttempts.spent_ + aAttempts.open_.size() < route_.maxAttempts_);
  if (!isAllowed || aAttempts.sends_ >= kMaxSends || aNow >= finalAt_) {
    return false;
  }
  // What was never written has not arrived, and costs nothing of the budget.
  const bool isFree = aAttempts.lastFault_ == ExchangeFault::TurnedAway ||
                      aAttempts.lastFault_ == ExchangeFault::ConnectFailed ||
                      aAttempts.lastFault_ == ExchangeFault::ConnectTimeout ||
                      aAttempts.lastFault_ == ExchangeFault::NoRoom ||
                      aAttempts.lastFault_ == ExchangeFault::Retired;
  if (!isFree && !context_.budgetOf_(aAttempts.service_)
                    .TryTake(ReserveOf(aIsNeeded), aNow)) {
    return false;
  }
  if (!TrySend(aAttempts, aIndex, aNow)) {
    return false;
  }
  ++retries_;
  return true;
}

bool Run::TakeEnd(Attempts& aAttempts, Exchange& aExchange, TimePoint aNow)
{
  const auto found = std::find_if(aAttempts.open_.begin(),
                                  aAttempts.open_.end(),
                                  [&](const OpenExchange& aRow) {
                                    return aRow.exchange_.get() == &aExchange;
                                  });
  if (found == aAttempts.open_.end()) {
    return false;
  }
  const auto pool = found->pool_;
  aAttempts.open_.erase(found);
  aAttempts.lastFault_ = aExchange.fault_;
  if (aExchange.end_ == ExchangeEnd::Answered ||
      aExchange.end_ == ExchangeEnd::Failed) {
    ++aAttempts.mayHaveRun_;
    // A server that has too many connections does not read what is sent on a
    // new one: sure enough to spend no attempt on it, but no proof.
    aAttempts.spent_ += aExchange.fault_ == ExchangeFault::TurnedAway ? 0 : 1;
  }
  if (aExchange.end_ == ExchangeEnd::Answered && aExchange.reply_.IsSuccess()) {
    const Duration took = aNow - aExchange.sentAt_;
    stats_.work_.Add(
      std::max(Duration::zero(), took - pool->State(aNow).roundTrip_));
    if (!aExchange.isExtra_) {
      stats_.attempts_.Add(aNow - aExchange.startedAt_);
    }
  }
  return true;
}

void Run::AbandonOpen(Attempts& aAttempts, TimePoint aNow)
{
  for (const OpenExchange& open : aAttempts.open_) {
    if (open.exchange_->IsSent()) {
      ++aAttempts.mayHaveRun_;
    }
    open.pool_->Abandon(
      open.exchange_, aNow + context_.settings_.abandonGrace_, aNow);
  }
  aAttempts.open_.clear();
  aAttempts.hedgeAt_ = TimePoint::max();
  aAttempts.prepareAt_ = TimePoint::max();
}

void Run::OnCallerGone(TimePoint aNow)
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  for (Attempts& attempts : AllAttempts()) {
    AbandonOpen(attempts, aNow);
  }
  LogLine(LogLevel::Info, "caller_left")
    .Add("request", request_->id_)
    .Add("route", route_.name_)
    .Add("after_ms", ToMilliseconds(aNow - request_->startedAt_));
}

bool Run::MayHaveRun()
{
  for (const Attempts& attempts : AllAttempts()) {
    const bool isOpen = std::any_of(
      attempts.open_.begin(),
      attempts.open_.end(),
      [](const OpenExchange& aRow) { return aRow.exchange_->IsSent(); });
    if (isOpen || attempts.mayHaveRun_ > 0) {
      return true;
    }
  }
  return false;
}

ForwardAnswer Run::GiveUp(std::string_view aReason, bool aIsTimeOver)
{
  constexpr unsigned kBadGateway = 502;
  constexpr unsigned kUnavailable = 503;
  constexpr unsigned kTimeout = 504;
  if (!MayHaveRun()) {
    return OwnAnswer(AnswerSource::NotRun,
                     kUnavailable,
                     aReason,
                     context_.settings_.retryAfter_);
  }
  return OwnAnswer(
    AnswerSource::Unknown, aIsTimeOver ? kTimeout : kBadGateway, aReason);
}

void Run::Finish(ForwardAnswer aAnswer, TimePoint aNow)
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  LogEnd(aAnswer, aNow);
  for (Attempts& attempts : AllAttempts()) {
    AbandonOpen(attempts, aNow);
  }
  // The caller's connection may let go of this run.
  const auto keep = shared_from_this();
  done_(std::move(aAnswer));
}

void Run::LogEnd(const ForwardAnswer& aAnswer, TimePoint aNow)
{
  const Duration took = aNow - request_->startedAt_;
  const bool isOwn = aAnswer.source_ == AnswerSource::NotRun ||
                     aAnswer.source_ == AnswerSource::Unknown;
  const bool isPlain = !isOwn && hedges_ == 0 && retries_ == 0 &&
                       took <= route_.objective_ && aAnswer.status_ < 400;
  if (isPlain) {
    return;
  }
  LogLine line(isOwn ? LogLevel::Warning : LogLevel::Info, "request_ended");
  line.Add("request", request_->id_)
    .Add("route", route_.name_)
    .Add("document", table_->Version())
    .Add("source", NameOf(aAnswer.source_))
    .Add("status", aAnswer.status_)
    .Add("took_ms", ToMilliseconds(took))
    .Add("hedges", hedges_)
    .Add("retries", retries_);
  std::string faults;
  std::string waiting;
  for (const Attempts& attempts : AllAttempts()) {
    if (attempts.lastFault_ != ExchangeFault::None) {
      faults += (faults.empty() ? "" : ",") + attempts.service_.Value() + ":" +
                std::string(NameOf(attempts.lastFault_));
    }
    for (const OpenExchange& open : attempts.open_) {
      const auto age =
        duration_cast<milliseconds>(aNow - open.exchange_->startedAt_);
      waiting += (waiting.empty() ? "" : ",") +
                 open.pool_->Announcement().id_.Value() + ":" +
                 std::to_string(age.count());
    }
  }
  if (!faults.empty()) {
    line.Add("faults", faults);
  }
  if (!waiting.empty()) {
    line.Add("unanswered_ms", waiting);
  }
  if (isOwn) {
    line.Add("reason", aAnswer.body_);
  }
}

} // namespace foxtail
