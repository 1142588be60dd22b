#include "forward/QuotaGate.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {
namespace {

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
/// Share of the route's objective for which a request waits for a permit.
constexpr int kWaitDivisor = 4;
/// Bounds the memory of waiting requests.
constexpr size_t kMaxWaiting = 1024;
/// Refusals are logged at most this often, as a team may send far more requests
/// than its quota.
constexpr int kMaxLinesPerSecond = 20;

} // namespace

/// A request that waits for a permit. Later it passes the caller's disconnect
/// on to its handler.
class QuotaGate::WaitingRequest final : public PendingRequest
{
public:
  explicit WaitingRequest(std::shared_ptr<size_t> aCount)
    : count_(std::move(aCount))
  {
    ++*count_;
  }
  ~WaitingRequest() override { EndWait(); }

  void OnCallerDisconnected(TimePoint aNow) override
  {
    EndWait();
    if (handler_ != nullptr) {
      handler_->OnCallerDisconnected(aNow);
    }
  }
  void LimitAnswerTime(TimePoint aAnswerBy, TimePoint aNow) override
  {
    answerBy_ = std::min(answerBy_, aAnswerBy);
    if (handler_ != nullptr) {
      handler_->LimitAnswerTime(aAnswerBy, aNow);
    }
  }
  void SetWait(std::shared_ptr<void> aWait) { wait_ = std::move(aWait); }
  void SetHandler(std::shared_ptr<PendingRequest> aHandler, TimePoint aNow)
  {
    handler_ = std::move(aHandler);
    if (handler_ != nullptr && answerBy_ != TimePoint::max()) {
      handler_->LimitAnswerTime(answerBy_, aNow);
    }
  }
  void EndWait()
  {
    wait_.reset();
    *count_ -= std::exchange(isCounted_, false) ? 1 : 0;
  }

private:
  /// Shared, as a connection may outlive the gate.
  std::shared_ptr<size_t> count_;
  bool isCounted_ = true;
  std::shared_ptr<void> wait_;
  std::shared_ptr<PendingRequest> handler_;
  TimePoint answerBy_ = TimePoint::max();
};

void QuotaGate::SetTeams(const RouteDocument& aDocument)
{
  version_ = aDocument.version_;
  limits_ = {};
  for (const AllowanceLimit& limit : QuotasOf(aDocument)) {
    limits_.emplace(limit.name_, limit);
  }
}

std::shared_ptr<PendingRequest> QuotaGate::Begin(
  ForwardRequest aRequest,
  const Route& aRoute,
  milliseconds aRetryAfter,
  RequestHandler::CompletionCallback aOnComplete,
  BeginCallback aBegin,
  TimePoint aNow)
{
  const PermitDecision decision = source_->Take(aRequest.team_, aNow);
  if (const auto* permit = std::get_if<Permit>(&decision)) {
    return BeginWith(
      *permit, std::move(aRequest), std::move(aOnComplete), aBegin, aNow);
  }
  if (const auto* refused = std::get_if<PermitRefused>(&decision)) {
    aOnComplete(Refuse(aRequest, refused->until_, aNow));
    return nullptr;
  }
  if (*waiting_ >= kMaxWaiting) {
    aOnComplete(RefuseUnanswered(aRequest, aRetryAfter, aNow));
    return nullptr;
  }
  const std::string team = aRequest.team_;
  const TimePoint until = std::min<TimePoint>(
    aNow + aRoute.objective_ / kWaitDivisor, aRequest.deadline_);
  auto waiting = std::make_shared<WaitingRequest>(waiting_);
  waiting->SetWait(source_->Wait(
    team,
    version_,
    until,
    [this,
     weak = std::weak_ptr<WaitingRequest>(waiting),
     request = std::move(aRequest),
     done = std::move(aOnComplete),
     begin = std::move(aBegin),
     aRetryAfter](PermitOutcome aOutcome, TimePoint aEndedAt) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      self->EndWait();
      if (const auto* permit = std::get_if<Permit>(&aOutcome)) {
        self->SetHandler(BeginWith(*permit, request, done, begin, aEndedAt),
                         aEndedAt);
      } else if (const auto* refused = std::get_if<PermitRefused>(&aOutcome)) {
        done(Refuse(request, refused->until_, aEndedAt));
      } else {
        done(RefuseUnanswered(request, aRetryAfter, aEndedAt));
      }
    }));
  return waiting;
}

std::shared_ptr<PendingRequest> QuotaGate::BeginWith(
  Permit aPermit,
  ForwardRequest aRequest,
  RequestHandler::CompletionCallback aOnComplete,
  const BeginCallback& aBegin,
  TimePoint aNow)
{
  aRequest.hasPermit_ = true;
  aRequest.sendBy_ = aPermit.sendBy_;
  std::string team = aRequest.team_;
  return aBegin(
    std::move(aRequest),
    [this, aPermit, team = std::move(team), done = std::move(aOnComplete)](
      ForwardAnswer aAnswer) {
      if (aAnswer.source_ == AnswerSource::NotRun) {
        source_->Return(team, aPermit, Now());
      }
      done(std::move(aAnswer));
    },
    aNow);
}

ForwardAnswer QuotaGate::Refuse(const ForwardRequest& aRequest,
                                TimePoint aUntil,
                                TimePoint aNow)
{
  const auto expectedIn = std::chrono::ceil<milliseconds>(
    std::max(aUntil, aNow + milliseconds(1)) - aNow);
  if (MayLog(aNow)) {
    const auto limit = limits_.find(aRequest.team_);
    LogLine line(LogLevel::Info, "request_refused_quota");
    line.Add("request", aRequest.id_)
      .Add("team", aRequest.team_)
      .Add("permit_expected_ms", expectedIn.count())
      .Add("lines_left_out", std::exchange(linesLeftOut_, 0));
    if (limit != limits_.end()) {
      line.Add("rate_per_s", limit->second.perSecond_)
        .Add("burst", limit->second.burst_);
    }
  }
  return MakeLocalAnswer(
    AnswerSource::NotRun,
    kTooManyRequests,
    "the team has used its quota; come back after the time that is stated",
    expectedIn);
}

ForwardAnswer QuotaGate::RefuseUnanswered(const ForwardRequest& aRequest,
                                          milliseconds aRetryAfter,
                                          TimePoint aNow)
{
  if (MayLog(aNow)) {
    LogLine(LogLevel::Warning, "request_refused_no_permit")
      .Add("request", aRequest.id_)
      .Add("team", aRequest.team_)
      .Add("lines_left_out", std::exchange(linesLeftOut_, 0));
  }
  return MakeLocalAnswer(
    AnswerSource::NotRun,
    kUnavailable,
    "no control instance answered whether the team's quota allows the request; "
    "try again",
    aRetryAfter);
}

bool QuotaGate::MayLog(TimePoint aNow)
{
  if (aNow - logSecond_ >= seconds(1)) {
    logSecond_ = aNow;
    linesInSecond_ = 0;
  }
  if (linesInSecond_ >= kMaxLinesPerSecond) {
    ++linesLeftOut_;
    return false;
  }
  ++linesInSecond_;
  return true;
}

std::vector<AllowanceLimit> QuotasOf(const RouteDocument& aDocument)
{
  std::vector<AllowanceLimit> limits;
  if (aDocument.teams_) {
    for (const Team& team : *aDocument.teams_) {
      if (team.requestsPerSecond_ > 0) {
        limits.push_back({ team.name_, team.requestsPerSecond_, team.burst_ });
      }
    }
  }
  return limits;
}

} // namespace foxtail
