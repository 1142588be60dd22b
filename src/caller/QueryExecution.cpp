#include "caller/QueryExecution.h"

#include "core/Log.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Minimum delay before the hedge policy is evaluated again for a shard after
/// it refused a hedge.
constexpr milliseconds kMinHedgeRecheckDelay{ 5 };

std::string QuotedName(const std::string& aName)
{
  std::string out;
  AppendJsonString(out, aName);
  return out;
}

} // namespace

QueryExecution::QueryExecution(QueryWorker& aWorker,
                               QueryRequest aRequest,
                               std::function<void()> aOnChange)
  : worker_(aWorker)
  , policy_(aWorker.Policy())
  , request_(std::move(aRequest))
  , service_(aWorker.Service(*request_.service_))
  , onChange_(std::move(aOnChange))
  , nextAnswerDecisionAt_(request_.deadline_)
{
  auto text = std::make_shared<RequestContent>();
  text->requestId_ = request_.id_.Value();
  text->body_ = std::move(request_.body_);
  content_ = std::move(text);
}

QueryExecution::~QueryExecution() = default;

void QueryExecution::Start(TimePoint aNow)
{
  Batch batch;
  const std::shared_ptr<const FleetView> view = worker_.View();
  const ServiceSettings& service = *request_.service_;
  catalogues_.resize(service.catalogues_.size());
  for (uint32_t i = 0; i < catalogues_.size(); ++i) {
    catalogues_[i].name_ = service.catalogues_[i];
    const Layout* layout =
      view->FindChosen({ service.name_, catalogues_[i].name_ });
    PlanCatalogue(i, view, layout, aNow, batch);
  }
  LogPlan();
  Dispatch(std::move(batch));
  EvaluateAnswer(aNow);
}

void QueryExecution::PlanCatalogue(uint32_t aCatalogue,
                                   std::shared_ptr<const FleetView> aView,
                                   const Layout* aLayout,
                                   TimePoint aNow,
                                   Batch& aBatch)
{
  CatalogueProgress& catalogue = catalogues_[aCatalogue];
  catalogue.view_ = std::move(aView);
  catalogue.layout_ = aLayout;
  catalogue.shards_.clear();
  if (aLayout == nullptr) {
    ++shards_;
    ++givenUp_;
    return;
  }
  const uint32_t count = aLayout->key_.shardCount_;
  catalogue.hedge_ = service_->Hedge(catalogue.name_, aLayout->key_);
  catalogue.shards_.resize(count);
  shards_ += count;
  for (uint32_t i = 0; i < count; ++i) {
    const ShardPosition position{ aCatalogue, i };
    const ReplicaPick pick = Pick(position, true, aNow);
    if (!pick.isChosen_) {
      MarkMissing(ShardAt(position),
                  aLayout->shards_[i].empty() ? MissingReason::NotAnnounced
                  : pick.reason_ == ReplicaReason::AllDraining
                    ? MissingReason::Draining
                    : MissingReason::Failed);
      continue;
    }
    catalogue.hedge_->OnSent();
    service_->Retry().OnSent();
    AddAttempt(position, pick, aNow, aBatch);
    ShardProgress& shard = ShardAt(position);
    shard.hedgeAt_ = aNow + catalogue.hedge_->Delay(i);
    nextShardWake_ = std::min(nextShardWake_, shard.hedgeAt_);
  }
}

ReplicaPick QueryExecution::Pick(ShardPosition aPosition,
                                 bool aMayProbe,
                                 TimePoint aNow)
{
  const CatalogueProgress& catalogue = CatalogueAt(aPosition);
  return PickReplica(policy_,
                     *catalogue.view_,
                     catalogue.layout_->shards_[aPosition.shard_],
                     ShardAt(aPosition).tried_,
                     aMayProbe,
                     worker_.Random(),
                     aNow);
}

void QueryExecution::AddAttempt(ShardPosition aPosition,
                                const ReplicaPick& aPick,
                                TimePoint aNow,
                                Batch& aBatch)
{
  ShardProgress& shard = ShardAt(aPosition);
  auto attempt = std::make_unique<Attempt>();
  attempt->id_ = worker_.AttemptIds().Next();
  attempt->replica_ = CatalogueAt(aPosition).view_->replicas_[aPick.replica_];
  attempt->content_ = content_;
  attempt->deadline_ = request_.deadline_;
  attempt->isProbe_ = aPick.isProbe_;
  attempt->catalogueIndex_ = aPosition.catalogue_;
  attempt->shardIndex_ = aPosition.shard_;
  attempt->listener_ = shared_from_this();
  ++shard.attempts_;
  shard.tried_.push_back(aPick.replica_);
  shard.outstanding_.push_back(
    { attempt->id_, attempt->replica_->server_, aNow });
  aBatch.push_back(std::move(attempt));
}

void QueryExecution::Dispatch(Batch aBatch)
{
  for (size_t i = 0; i < aBatch.size(); ++i) {
    // A dispatched attempt may be written to its connection at any time.
    outcomeTracker_.OnWriteStarted();
  }
  worker_.Fleet().Dispatch(worker_.Index(), std::move(aBatch));
}

void QueryExecution::MarkMissing(ShardProgress& aShard, MissingReason aReason)
{
  aShard.state_ = ShardState::Missing;
  aShard.reason_ = aReason;
  aShard.hedgeAt_ = TimePoint::max();
  aShard.retryAt_ = TimePoint::max();
  ++givenUp_;
}

void QueryExecution::RecordAttemptOutcome(const Attempt& aAttempt)
{
  if (aAttempt.outcome_ == AttemptOutcome::Refused ||
      aAttempt.outcome_ == AttemptOutcome::NotSent) {
    outcomeTracker_.OnRefusedNotRun();
  } else if (aAttempt.outcome_ == AttemptOutcome::Replied) {
    outcomeTracker_.OnRun();
  }
}

void QueryExecution::OnAttemptEnd(std::unique_ptr<Attempt> aAttempt)
{
  RecordAttemptOutcome(*aAttempt);
  const ShardPosition position{ aAttempt->catalogueIndex_,
                                aAttempt->shardIndex_ };
  if (isFinished_ || position.shard_ >= CatalogueAt(position).shards_.size()) {
    return;
  }
  ShardProgress& shard = ShardAt(position);
  const auto found = std::find_if(shard.outstanding_.begin(),
                                  shard.outstanding_.end(),
                                  [&](const OutstandingAttempt& aOutstanding) {
                                    return aOutstanding.id_ == aAttempt->id_;
                                  });
  if (found == shard.outstanding_.end()) {
    // The attempt was cancelled, or belongs to an index version that the query
    // has replaced.
    return;
  }
  const OutstandingAttempt outstanding = *found;
  shard.outstanding_.erase(found);
  if (shard.state_ != ShardState::Pending) {
    return;
  }
  const TimePoint now = Now();
  if (aAttempt->outcome_ == AttemptOutcome::Replied) {
    OnReply(position, *aAttempt, outstanding);
  } else {
    OnAttemptFailed(position, *aAttempt, now);
  }
  EvaluateAnswer(now);
}

void QueryExecution::OnReply(ShardPosition aPosition,
                             Attempt& aAttempt,
                             const OutstandingAttempt& aOutstanding)
{
  ShardProgress& shard = ShardAt(aPosition);
  shard.state_ = ShardState::Answered;
  shard.reply_ = std::move(aAttempt.reply_);
  shard.hedgeAt_ = TimePoint::max();
  shard.retryAt_ = TimePoint::max();
  ++answered_;
  slowestShard_ = std::max(slowestShard_, aAttempt.endedAt_ - aAttempt.sentAt_);
  CatalogueAt(aPosition).hedge_->OnLatency(
    aPosition.shard_, aAttempt.endedAt_ - aOutstanding.dispatchedAt_);
  CancelOutstanding(aPosition,
                    FailureKind::HedgeLost,
                    aOutstanding.dispatchedAt_,
                    aAttempt.endedAt_);
}

void QueryExecution::OnAttemptFailed(ShardPosition aPosition,
                                     const Attempt& aAttempt,
                                     TimePoint aNow)
{
  ShardProgress& shard = ShardAt(aPosition);
  shard.lastFault_ = aAttempt.fault_;
  if (!shard.outstanding_.empty()) {
    return;
  }
  RetryInput input;
  input.failure_ = FailureKindOf(aAttempt);
  input.attempts_ = shard.attempts_;
  // A server that refused the attempt as overloaded may get the retry after the
  // delay.
  input.hasUntriedReplica_ = Pick(aPosition, false, aNow).isChosen_ ||
                             input.failure_ == FailureKind::RefusedOverloaded;
  input.timeLeft_ = request_.deadline_ - aNow;
  input.typicalLatency_ =
    CatalogueAt(aPosition).hedge_->MedianLatency(aPosition.shard_);
  const RetryDecision decision =
    service_->Retry().Decide(input, worker_.Random());
  if (decision.verdict_ != RetryVerdict::Retry) {
    LogExtraAttempt("retry_refused",
                    aPosition,
                    aAttempt.replica_->announcement_,
                    ReplicaReason::NoneLeft,
                    NameOf(decision.verdict_));
    OnShardUnavailable(aPosition, MissingReason::Failed, aNow);
    return;
  }
  if (decision.delay_ > Duration::zero()) {
    shard.retryAt_ = aNow + decision.delay_;
    shard.hedgeAt_ = TimePoint::max();
    ScheduleWake(shard.retryAt_);
    return;
  }
  SendRetry(aPosition, aNow);
}

void QueryExecution::SendRetry(ShardPosition aPosition, TimePoint aNow)
{
  ShardProgress& shard = ShardAt(aPosition);
  shard.retryAt_ = TimePoint::max();
  ReplicaPick pick = Pick(aPosition, false, aNow);
  if (!pick.isChosen_) {
    shard.tried_.clear();
    pick = Pick(aPosition, false, aNow);
  }
  if (!pick.isChosen_) {
    OnShardUnavailable(aPosition, MissingReason::Failed, aNow);
    return;
  }
  Batch batch;
  AddAttempt(aPosition, pick, aNow, batch);
  worker_.GetMetrics().retries_.Increment();
  shard.hedgeAt_ =
    aNow + CatalogueAt(aPosition).hedge_->Delay(aPosition.shard_);
  LogExtraAttempt("retry",
                  aPosition,
                  batch.front()->replica_->announcement_,
                  pick.reason_,
                  NameOf(shard.lastFault_));
  Dispatch(std::move(batch));
  ScheduleWake(shard.hedgeAt_);
}

void QueryExecution::CountHedges(HedgeInput& aInput) const
{
  aInput.queryShards_ = 0;
  aInput.queryHedges_ = 0;
  for (const CatalogueProgress& catalogue : catalogues_) {
    for (const ShardProgress& shard : catalogue.shards_) {
      ++aInput.queryShards_;
      aInput.queryHedges_ += shard.outstanding_.size() > 1 ? 1 : 0;
    }
  }
}

void QueryExecution::EvaluateHedge(ShardPosition aPosition, TimePoint aNow)
{
  ShardProgress& shard = ShardAt(aPosition);
  HedgePolicy& hedge = *CatalogueAt(aPosition).hedge_;
  const ReplicaPick pick = Pick(aPosition, false, aNow);
  HedgeInput input;
  input.isOverloaded_ =
    worker_.Admission().IsOverloaded(request_.service_->name_) ||
    pick.reason_ == ReplicaReason::AllAtLimit;
  input.hasUntriedReplica_ = pick.isChosen_;
  input.inFlight_ = static_cast<uint32_t>(shard.outstanding_.size());
  input.timeLeft_ = request_.deadline_ - aNow;
  CountHedges(input);
  const HedgeVerdict verdict = hedge.Decide(aPosition.shard_, input);
  if (verdict != HedgeVerdict::Send) {
    const bool mayChange = verdict == HedgeVerdict::Overloaded ||
                           verdict == HedgeVerdict::NoBudget ||
                           verdict == HedgeVerdict::QueryLimit ||
                           verdict == HedgeVerdict::NoOtherReplica;
    shard.hedgeAt_ =
      mayChange ? aNow + std::max<Duration>(kMinHedgeRecheckDelay,
                                            hedge.Delay(aPosition.shard_))
                : TimePoint::max();
    return;
  }
  shard.hedgeAt_ = TimePoint::max();
  Batch batch;
  AddAttempt(aPosition, pick, aNow, batch);
  worker_.GetMetrics().hedges_.Increment();
  LogExtraAttempt("hedge",
                  aPosition,
                  batch.front()->replica_->announcement_,
                  pick.reason_,
                  "slow");
  Dispatch(std::move(batch));
}

void QueryExecution::OnShardUnavailable(ShardPosition aPosition,
                                        MissingReason aReason,
                                        TimePoint aNow)
{
  MarkMissing(ShardAt(aPosition), aReason);
  Replan(aPosition.catalogue_, aNow);
}

bool QueryExecution::Replan(uint32_t aCatalogue, TimePoint aNow)
{
  CatalogueProgress& catalogue = catalogues_[aCatalogue];
  const std::shared_ptr<const FleetView> view = worker_.View();
  const Layout* replacement = view->FindReplacement(
    { request_.service_->name_, catalogue.name_ }, catalogue.layout_->key_);
  const auto count = [&](ShardState aState) {
    return static_cast<uint32_t>(std::count_if(
      catalogue.shards_.begin(),
      catalogue.shards_.end(),
      [&](const ShardProgress& aShard) { return aShard.state_ == aState; }));
  };
  const uint32_t answered = count(ShardState::Answered);
  const uint32_t lost = count(ShardState::Missing);
  ReplanInput input;
  input.shards_ = static_cast<uint32_t>(catalogue.shards_.size());
  input.answered_ = answered;
  input.lostShards_ = lost;
  if (replacement != nullptr) {
    input.otherShards_ = replacement->key_.shardCount_;
    input.otherCovered_ = replacement->CoveredShards(view->table_->Replicas());
  }
  input.replans_ = replans_;
  input.timeLeft_ = request_.deadline_ - aNow;
  input.expectedLatency_ = service_->AverageDuration();
  if (DecideReplan(policy_.replan_, input) != ReplanVerdict::Restart) {
    return false;
  }
  ++replans_;
  worker_.GetMetrics().replans_.Increment();
  LogLine(LogLevel::Info, "replan")
    .Add("request", request_.id_)
    .Add("service", request_.service_->name_)
    .Add("catalogue", catalogue.name_)
    .Add("rejected", catalogue.layout_->key_.version_)
    .Add("chosen", replacement->key_.version_)
    .Add("lost_shards", lost)
    .Add("reason", "pinned_version_lost");
  // All results of the old version are dropped: an answer contains results of
  // one version of a catalogue only.
  for (uint32_t i = 0; i < catalogue.shards_.size(); ++i) {
    CancelOutstanding({ aCatalogue, i }, std::nullopt, aNow, aNow);
  }
  shards_ -= input.shards_;
  answered_ -= answered;
  givenUp_ -= lost;
  Batch batch;
  PlanCatalogue(aCatalogue, view, replacement, aNow, batch);
  Dispatch(std::move(batch));
  ScheduleWake(nextShardWake_);
  return true;
}

void QueryExecution::CancelOutstanding(ShardPosition aPosition,
                                       std::optional<FailureKind> aFailure,
                                       TimePoint aDispatchedUntil,
                                       TimePoint aNow)
{
  ShardProgress& shard = ShardAt(aPosition);
  const auto outstanding = std::move(shard.outstanding_);
  shard.outstanding_.clear();
  for (const OutstandingAttempt& attempt : outstanding) {
    const bool isOlder = attempt.dispatchedAt_ <= aDispatchedUntil;
    if (isOlder && aFailure) {
      CatalogueAt(aPosition).hedge_->OnLatency(aPosition.shard_,
                                               aNow - attempt.dispatchedAt_);
    }
    worker_.Fleet().Cancel(worker_.Index(),
                           attempt.server_,
                           attempt.id_,
                           isOlder ? aFailure : std::nullopt);
  }
}

void QueryExecution::OnTime(TimePoint aNow)
{
  if (aNow >= nextShardWake_) {
    nextShardWake_ = TimePoint::max();
    for (uint32_t i = 0; i < catalogues_.size(); ++i) {
      // SendRetry() may replan the catalogue and so change its number of
      // shards.
      for (uint32_t j = 0; j < catalogues_[i].shards_.size(); ++j) {
        const ShardPosition position{ i, j };
        if (aNow >= ShardAt(position).retryAt_) {
          SendRetry(position, aNow);
        } else if (aNow >= ShardAt(position).hedgeAt_) {
          EvaluateHedge(position, aNow);
        }
      }
    }
    for (const CatalogueProgress& catalogue : catalogues_) {
      for (const ShardProgress& shard : catalogue.shards_) {
        nextShardWake_ =
          std::min({ nextShardWake_, shard.hedgeAt_, shard.retryAt_ });
      }
    }
  }
  EvaluateAnswer(aNow);
}

void QueryExecution::ScheduleWake(TimePoint aTime)
{
  nextShardWake_ = std::min(nextShardWake_, aTime);
  onChange_();
}

void QueryExecution::EvaluateAnswer(TimePoint aNow)
{
  if (IsDone()) {
    return;
  }
  PartialAnswerInput input;
  input.isPrompt_ = request_.patience_ == Patience::Prompt;
  input.startedAt_ = request_.startedAt_;
  input.softDeadline_ = request_.softDeadline_;
  input.deadline_ = request_.deadline_;
  input.minCoveragePercent_ = request_.service_->minCoveragePercent_;
  input.shards_ = shards_;
  input.answered_ = answered_;
  input.givenUp_ = givenUp_;
  const AnswerDecision decision =
    DecideAnswer(policy_.partialAnswer_, input, aNow);
  verdict_ = decision.verdict_;
  if (!IsDone()) {
    nextAnswerDecisionAt_ = decision.nextDecisionAt_;
    return;
  }
  onChange_();
}

void QueryExecution::CancelPendingShards(MissingReason aReason,
                                         FailureKind aFailure,
                                         TimePoint aNow)
{
  for (uint32_t i = 0; i < catalogues_.size(); ++i) {
    for (uint32_t j = 0; j < catalogues_[i].shards_.size(); ++j) {
      const ShardPosition position{ i, j };
      if (ShardAt(position).state_ == ShardState::Pending) {
        MarkMissing(ShardAt(position), aReason);
        CancelOutstanding(position, aFailure, aNow, aNow);
      }
    }
  }
}

QueryAnswer QueryExecution::Finish(TimePoint aNow)
{
  if (verdict_ == AnswerVerdict::SoftDeadline) {
    CancelPendingShards(
      MissingReason::SoftDeadline, FailureKind::HedgeLost, aNow);
  } else {
    CancelPendingShards(MissingReason::Deadline, FailureKind::Timeout, aNow);
  }
  isFinished_ = true;
  service_->OnRequestDone(aNow - request_.startedAt_);
  QueryAnswer answer;
  answer.request_ = request_.id_;
  answer.slowestShard_ = slowestShard_;
  answer.results_.reserve(answered_);
  Coverage& coverage = answer.coverage_;
  for (CatalogueProgress& catalogue : catalogues_) {
    if (catalogue.layout_ == nullptr) {
      ++coverage.asked_;
      coverage.missing_.push_back({ catalogue.name_,
                                    std::nullopt,
                                    MissingReason::CatalogueNotAnnounced,
                                    AttemptFault::None });
      continue;
    }
    const auto snapshotIndex = static_cast<uint32_t>(answer.snapshot_.size());
    answer.snapshot_.push_back({ catalogue.name_, catalogue.layout_->key_ });
    for (uint32_t i = 0; i < catalogue.shards_.size(); ++i) {
      ShardProgress& shard = catalogue.shards_[i];
      ++coverage.asked_;
      if (shard.state_ == ShardState::Answered) {
        ++coverage.answered_;
        answer.results_.push_back(
          { snapshotIndex, ShardId(i), std::move(shard.reply_) });
      } else {
        coverage.missing_.push_back(
          { catalogue.name_, ShardId(i), shard.reason_, shard.lastFault_ });
      }
    }
  }
  answer.outcome_ =
    answer.results_.empty() ? outcomeTracker_.Get() : Outcome::Run;
  LogPartialAnswer(answer);
  return answer;
}

void QueryExecution::LogPlan() const
{
  if (!IsLogged(LogLevel::Info)) {
    return;
  }
  std::string snapshot = "{";
  std::string chosen = "[";
  uint32_t shards = 0;
  for (const CatalogueProgress& catalogue : catalogues_) {
    snapshot += snapshot.size() > 1 ? "," : "";
    AppendJsonString(snapshot, catalogue.name_.Value());
    snapshot += ':';
    snapshot += catalogue.layout_ == nullptr
                  ? "null"
                  : std::to_string(catalogue.layout_->key_.version_.Value());
    shards += static_cast<uint32_t>(catalogue.shards_.size());
    for (const ShardProgress& shard : catalogue.shards_) {
      chosen += chosen.size() > 1 ? "," : "";
      if (shard.outstanding_.empty()) {
        chosen += "null";
      } else {
        AppendJsonString(chosen,
                         shard.outstanding_.front().server_->Id().Value());
      }
    }
  }
  snapshot += '}';
  chosen += ']';
  LogLine(LogLevel::Info, "query_planned")
    .Add("request", request_.id_)
    .Add("service", request_.service_->name_)
    .AddRaw("index_version", snapshot)
    .Add("shards", shards)
    .AddRaw("chosen", chosen);
}

void QueryExecution::LogExtraAttempt(std::string_view aEvent,
                                     ShardPosition aPosition,
                                     const Announcement& aChosen,
                                     ReplicaReason aChoice,
                                     std::string_view aReason) const
{
  LogLine(LogLevel::Info, aEvent)
    .Add("request", request_.id_)
    .Add("service", request_.service_->name_)
    .Add("catalogue", aChosen.catalogue_)
    .Add("shard", aPosition.shard_)
    .Add("index_version", aChosen.version_)
    .Add("chosen", aChosen.server_)
    .Add("choice", NameOf(aChoice))
    .Add("reason", aReason);
}

void QueryExecution::LogPartialAnswer(const QueryAnswer& aAnswer) const
{
  if (aAnswer.coverage_.IsComplete()) {
    return;
  }
  worker_.GetMetrics().partialAnswers_.Increment();
  std::string missing = "[";
  for (const MissingShard& shard : aAnswer.coverage_.missing_) {
    missing += missing.size() > 1 ? "," : "";
    const std::string shardText =
      shard.shard_ ? std::to_string(shard.shard_->Value()) : "*";
    missing += QuotedName(shard.catalogue_.Value() + "/" + shardText + " " +
                          std::string(NameOf(shard.reason_)));
  }
  missing += ']';
  LogLine(LogLevel::Info, "partial_answer")
    .Add("request", request_.id_)
    .Add("service", request_.service_->name_)
    .Add("verdict", NameOf(verdict_))
    .Add("asked", aAnswer.coverage_.asked_)
    .Add("answered", aAnswer.coverage_.answered_)
    .AddRaw("missing", missing);
}

} // namespace foxtail
