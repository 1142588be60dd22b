#include "caller/QueryRun.h"

#include "core/Log.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Shortest wait before a refused hedge is considered again.
constexpr milliseconds kHedgeAgain{ 5 };

std::string QuotedName(const std::string& aName)
{
  std::string out;
  AppendJsonString(out, aName);
  return out;
}

} // namespace

QueryRun::QueryRun(QueryWorker& aWorker,
                   QueryRequest aRequest,
                   std::function<void()> aOnWake)
  : worker_(aWorker)
  , policy_(aWorker.Policy())
  , request_(std::move(aRequest))
  , service_(aWorker.Service(*request_.service_))
  , onWake_(std::move(aOnWake))
  , answerAt_(request_.deadline_)
{
  auto text = std::make_shared<RequestContent>();
  text->requestId_ = request_.id_.Value();
  text->body_ = std::move(request_.body_);
  content_ = std::move(text);
}

QueryRun::~QueryRun() = default;

void QueryRun::Start(TimePoint aNow)
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
  Decide(aNow);
}

void QueryRun::PlanCatalogue(uint32_t aCatalogue,
                             std::shared_ptr<const FleetView> aView,
                             const Layout* aLayout,
                             TimePoint aNow,
                             Batch& aBatch)
{
  CatalogueRun& catalogue = catalogues_[aCatalogue];
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
    const Place place{ aCatalogue, i };
    const ReplicaPick pick = Pick(place, true, aNow);
    if (!pick.isChosen_) {
      SetMissing(ShardAt(place),
                 aLayout->shards_[i].empty() ? MissingReason::NotAnnounced
                 : pick.reason_ == ReplicaReason::AllDraining
                   ? MissingReason::Draining
                   : MissingReason::Failed);
      continue;
    }
    catalogue.hedge_->OnSent();
    service_->Retry().OnSent();
    AddAttempt(place, pick, aNow, aBatch);
    ShardRun& shard = ShardAt(place);
    shard.hedgeAt_ = aNow + catalogue.hedge_->Delay(i);
    nextShardWake_ = std::min(nextShardWake_, shard.hedgeAt_);
  }
}

ReplicaPick QueryRun::Pick(Place aPlace, bool aMayProbe, TimePoint aNow)
{
  const CatalogueRun& catalogue = CatalogueAt(aPlace);
  return PickReplica(policy_,
                     *catalogue.view_,
                     catalogue.layout_->shards_[aPlace.shard_],
                     ShardAt(aPlace).tried_,
                     aMayProbe,
                     worker_.Random(),
                     aNow);
}

void QueryRun::AddAttempt(Place aPlace,
                          const ReplicaPick& aPick,
                          TimePoint aNow,
                          Batch& aBatch)
{
  ShardRun& shard = ShardAt(aPlace);
  auto attempt = std::make_unique<Attempt>();
  attempt->id_ = worker_.AttemptIds().Next();
  attempt->replica_ = CatalogueAt(aPlace).view_->replicas_[aPick.replica_];
  attempt->content_ = content_;
  attempt->deadline_ = request_.deadline_;
  attempt->isProbe_ = aPick.isProbe_;
  attempt->catalogueIndex_ = aPlace.catalogue_;
  attempt->shardIndex_ = aPlace.shard_;
  attempt->listener_ = shared_from_this();
  ++shard.attempts_;
  shard.tried_.push_back(aPick.replica_);
  shard.open_.push_back({ attempt->id_, attempt->replica_->server_, aNow });
  aBatch.push_back(std::move(attempt));
}

void QueryRun::Dispatch(Batch aBatch)
{
  for (size_t i = 0; i < aBatch.size(); ++i) {
    // Once handed over, an attempt may be written at any moment.
    proof_.OnWriteStarted();
  }
  worker_.Fleet().Dispatch(worker_.Index(), std::move(aBatch));
}

void QueryRun::SetMissing(ShardRun& aShard, MissingReason aReason)
{
  aShard.state_ = ShardState::Missing;
  aShard.reason_ = aReason;
  aShard.hedgeAt_ = TimePoint::max();
  aShard.retryAt_ = TimePoint::max();
  ++givenUp_;
}

void QueryRun::NoteProof(const Attempt& aAttempt)
{
  if (aAttempt.outcome_ == AttemptOutcome::Refused ||
      aAttempt.outcome_ == AttemptOutcome::NotSent) {
    proof_.OnRefusedNotRun();
  } else if (aAttempt.outcome_ == AttemptOutcome::Replied) {
    proof_.OnRun();
  }
}

void QueryRun::OnAttemptEnd(std::unique_ptr<Attempt> aAttempt)
{
  NoteProof(*aAttempt);
  const Place place{ aAttempt->catalogueIndex_, aAttempt->shardIndex_ };
  if (isFinished_ || place.shard_ >= CatalogueAt(place).shards_.size()) {
    return;
  }
  ShardRun& shard = ShardAt(place);
  const auto found = std::find_if(
    shard.open_.begin(), shard.open_.end(), [&](const OpenAttempt& aOpen) {
      return aOpen.id_ == aAttempt->id_;
    });
  if (found == shard.open_.end()) {
    // Made for a version that the query no longer asks, or given up.
    return;
  }
  const OpenAttempt open = *found;
  shard.open_.erase(found);
  if (shard.state_ != ShardState::Pending) {
    return;
  }
  const TimePoint now = Now();
  if (aAttempt->outcome_ == AttemptOutcome::Replied) {
    OnReply(place, *aAttempt, open);
  } else {
    OnFault(place, *aAttempt, now);
  }
  Decide(now);
}

void QueryRun::OnReply(Place aPlace,
                       Attempt& aAttempt,
                       const OpenAttempt& aOpen)
{
  ShardRun& shard = ShardAt(aPlace);
  shard.state_ = ShardState::Answered;
  shard.reply_ = std::move(aAttempt.reply_);
  shard.hedgeAt_ = TimePoint::max();
  shard.retryAt_ = TimePoint::max();
  ++answered_;
  slowestShard_ = std::max(slowestShard_, aAttempt.endedAt_ - aAttempt.sentAt_);
  CatalogueAt(aPlace).hedge_->OnLatency(
    aPlace.shard_, aAttempt.endedAt_ - aOpen.dispatchedAt_);
  CancelOpen(
    aPlace, FailureKind::HedgeLost, aOpen.dispatchedAt_, aAttempt.endedAt_);
}

void QueryRun::OnFault(Place aPlace, const Attempt& aAttempt, TimePoint aNow)
{
  ShardRun& shard = ShardAt(aPlace);
  shard.lastFault_ = aAttempt.fault_;
  if (!shard.open_.empty()) {
    return;
  }
  RetryInput input;
  input.failure_ = FailureKindOf(aAttempt);
  input.attempts_ = shard.attempts_;
  // A server that was only overloaded may be asked again after the wait.
  input.hasUntriedReplica_ = Pick(aPlace, false, aNow).isChosen_ ||
                             input.failure_ == FailureKind::RefusedOverloaded;
  input.timeLeft_ = request_.deadline_ - aNow;
  input.typicalLatency_ =
    CatalogueAt(aPlace).hedge_->MedianLatency(aPlace.shard_);
  const RetryDecision decision =
    service_->Retry().Decide(input, worker_.Random());
  if (decision.verdict_ != RetryVerdict::Retry) {
    LogExtra("retry_refused",
             aPlace,
             aAttempt.replica_->announcement_,
             ReplicaReason::NoneLeft,
             NameOf(decision.verdict_));
    OnShardLost(aPlace, MissingReason::Failed, aNow);
    return;
  }
  if (decision.delay_ > Duration::zero()) {
    shard.retryAt_ = aNow + decision.delay_;
    shard.hedgeAt_ = TimePoint::max();
    WakeBy(shard.retryAt_);
    return;
  }
  SendRetry(aPlace, aNow);
}

void QueryRun::SendRetry(Place aPlace, TimePoint aNow)
{
  ShardRun& shard = ShardAt(aPlace);
  shard.retryAt_ = TimePoint::max();
  ReplicaPick pick = Pick(aPlace, false, aNow);
  if (!pick.isChosen_) {
    shard.tried_.clear();
    pick = Pick(aPlace, false, aNow);
  }
  if (!pick.isChosen_) {
    OnShardLost(aPlace, MissingReason::Failed, aNow);
    return;
  }
  Batch batch;
  AddAttempt(aPlace, pick, aNow, batch);
  worker_.GetMetrics().retries_.Increment();
  shard.hedgeAt_ = aNow + CatalogueAt(aPlace).hedge_->Delay(aPlace.shard_);
  LogExtra("retry",
           aPlace,
           batch.front()->replica_->announcement_,
           pick.reason_,
           NameOf(shard.lastFault_));
  Dispatch(std::move(batch));
  WakeBy(shard.hedgeAt_);
}

void QueryRun::CountHedges(HedgeInput& aInput) const
{
  aInput.queryShards_ = 0;
  aInput.queryHedges_ = 0;
  for (const CatalogueRun& catalogue : catalogues_) {
    for (const ShardRun& shard : catalogue.shards_) {
      ++aInput.queryShards_;
      aInput.queryHedges_ += shard.open_.size() > 1 ? 1 : 0;
    }
  }
}

void QueryRun::ConsiderHedge(Place aPlace, TimePoint aNow)
{
  ShardRun& shard = ShardAt(aPlace);
  HedgePolicy& hedge = *CatalogueAt(aPlace).hedge_;
  const ReplicaPick pick = Pick(aPlace, false, aNow);
  HedgeInput input;
  input.isOverloaded_ = worker_.Gate().IsOverloaded(request_.service_->name_) ||
                        pick.reason_ == ReplicaReason::AllAtLimit;
  input.hasUntriedReplica_ = pick.isChosen_;
  input.inFlight_ = static_cast<uint32_t>(shard.open_.size());
  input.timeLeft_ = request_.deadline_ - aNow;
  CountHedges(input);
  const HedgeVerdict verdict = hedge.Decide(aPlace.shard_, input);
  if (verdict != HedgeVerdict::Send) {
    const bool mayChange = verdict == HedgeVerdict::Overloaded ||
                           verdict == HedgeVerdict::NoBudget ||
                           verdict == HedgeVerdict::QueryLimit ||
                           verdict == HedgeVerdict::NoOtherReplica;
    shard.hedgeAt_ =
      mayChange
        ? aNow + std::max<Duration>(kHedgeAgain, hedge.Delay(aPlace.shard_))
        : TimePoint::max();
    return;
  }
  shard.hedgeAt_ = TimePoint::max();
  Batch batch;
  AddAttempt(aPlace, pick, aNow, batch);
  worker_.GetMetrics().hedges_.Increment();
  LogExtra("hedge",
           aPlace,
           batch.front()->replica_->announcement_,
           pick.reason_,
           "slow");
  Dispatch(std::move(batch));
}

void QueryRun::OnShardLost(Place aPlace, MissingReason aReason, TimePoint aNow)
{
  SetMissing(ShardAt(aPlace), aReason);
  Replan(aPlace.catalogue_, aNow);
}

bool QueryRun::Replan(uint32_t aCatalogue, TimePoint aNow)
{
  CatalogueRun& catalogue = catalogues_[aCatalogue];
  const std::shared_ptr<const FleetView> view = worker_.View();
  const Layout* other = view->FindReplacement(
    { request_.service_->name_, catalogue.name_ }, catalogue.layout_->key_);
  const auto count = [&](ShardState aState) {
    return static_cast<uint32_t>(std::count_if(
      catalogue.shards_.begin(),
      catalogue.shards_.end(),
      [&](const ShardRun& aShard) { return aShard.state_ == aState; }));
  };
  const uint32_t answered = count(ShardState::Answered);
  const uint32_t lost = count(ShardState::Missing);
  ReplanInput input;
  input.shards_ = static_cast<uint32_t>(catalogue.shards_.size());
  input.answered_ = answered;
  input.lostShards_ = lost;
  if (other != nullptr) {
    input.otherShards_ = other->key_.shardCount_;
    input.otherCovered_ = other->CoveredShards(view->table_->Replicas());
  }
  input.replans_ = replans_;
  input.timeLeft_ = request_.deadline_ - aNow;
  input.expectedLatency_ = service_->TypicalQuery();
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
    .Add("chosen", other->key_.version_)
    .Add("lost_shards", lost)
    .Add("reason", "pinned_version_lost");
  // Nothing of the old version is kept: an answer has one version only.
  for (uint32_t i = 0; i < catalogue.shards_.size(); ++i) {
    CancelOpen({ aCatalogue, i }, std::nullopt, aNow, aNow);
  }
  shards_ -= input.shards_;
  answered_ -= answered;
  givenUp_ -= lost;
  Batch batch;
  PlanCatalogue(aCatalogue, view, other, aNow, batch);
  Dispatch(std::move(batch));
  WakeBy(nextShardWake_);
  return true;
}

void QueryRun::CancelOpen(Place aPlace,
                          std::optional<FailureKind> aEvidence,
                          TimePoint aSince,
                          TimePoint aNow)
{
  ShardRun& shard = ShardAt(aPlace);
  const auto open = std::move(shard.open_);
  shard.open_.clear();
  for (const OpenAttempt& attempt : open) {
    const bool isOlder = attempt.dispatchedAt_ <= aSince;
    if (isOlder && aEvidence) {
      CatalogueAt(aPlace).hedge_->OnLatency(aPlace.shard_,
                                            aNow - attempt.dispatchedAt_);
    }
    worker_.Fleet().Cancel(worker_.Index(),
                           attempt.server_,
                           attempt.id_,
                           isOlder ? aEvidence : std::nullopt);
  }
}

void QueryRun::OnTime(TimePoint aNow)
{
  if (aNow >= nextShardWake_) {
    nextShardWake_ = TimePoint::max();
    for (uint32_t i = 0; i < catalogues_.size(); ++i) {
      // A replan on the way may change the number of shards.
      for (uint32_t j = 0; j < catalogues_[i].shards_.size(); ++j) {
        const Place place{ i, j };
        if (aNow >= ShardAt(place).retryAt_) {
          SendRetry(place, aNow);
        } else if (aNow >= ShardAt(place).hedgeAt_) {
          ConsiderHedge(place, aNow);
        }
      }
    }
    for (const CatalogueRun& catalogue : catalogues_) {
      for (const ShardRun& shard : catalogue.shards_) {
        nextShardWake_ =
          std::min({ nextShardWake_, shard.hedgeAt_, shard.retryAt_ });
      }
    }
  }
  Decide(aNow);
}

void QueryRun::WakeBy(TimePoint aTime)
{
  nextShardWake_ = std::min(nextShardWake_, aTime);
  onWake_();
}

void QueryRun::Decide(TimePoint aNow)
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
    answerAt_ = decision.nextDecisionAt_;
    return;
  }
  onWake_();
}

void QueryRun::SettleAll(MissingReason aReason,
                         FailureKind aEvidence,
                         TimePoint aNow)
{
  for (uint32_t i = 0; i < catalogues_.size(); ++i) {
    for (uint32_t j = 0; j < catalogues_[i].shards_.size(); ++j) {
      const Place place{ i, j };
      if (ShardAt(place).state_ == ShardState::Pending) {
        SetMissing(ShardAt(place), aReason);
        CancelOpen(place, aEvidence, aNow, aNow);
      }
    }
  }
}

QueryAnswer QueryRun::Finish(TimePoint aNow)
{
  if (verdict_ == AnswerVerdict::SoftDeadline) {
    SettleAll(MissingReason::SoftDeadline, FailureKind::HedgeLost, aNow);
  } else {
    SettleAll(MissingReason::Deadline, FailureKind::Timeout, aNow);
  }
  isFinished_ = true;
  service_->OnQueryDone(aNow - request_.startedAt_);
  QueryAnswer answer;
  answer.request_ = request_.id_;
  answer.slowestShard_ = slowestShard_;
  answer.results_.reserve(answered_);
  Coverage& coverage = answer.coverage_;
  for (CatalogueRun& catalogue : catalogues_) {
    if (catalogue.layout_ == nullptr) {
      ++coverage.asked_;
      coverage.missing_.push_back({ catalogue.name_,
                                    std::nullopt,
                                    MissingReason::CatalogueNotAnnounced,
                                    AttemptFault::None });
      continue;
    }
    const auto part = static_cast<uint32_t>(answer.snapshot_.size());
    answer.snapshot_.push_back({ catalogue.name_, catalogue.layout_->key_ });
    for (uint32_t i = 0; i < catalogue.shards_.size(); ++i) {
      ShardRun& shard = catalogue.shards_[i];
      ++coverage.asked_;
      if (shard.state_ == ShardState::Answered) {
        ++coverage.answered_;
        answer.results_.push_back(
          { part, ShardId(i), std::move(shard.reply_) });
      } else {
        coverage.missing_.push_back(
          { catalogue.name_, ShardId(i), shard.reason_, shard.lastFault_ });
      }
    }
  }
  answer.outcome_ = answer.results_.empty() ? proof_.Get() : Outcome::Run;
  LogPartial(answer);
  return answer;
}

void QueryRun::LogPlan() const
{
  if (!IsLogged(LogLevel::Info)) {
    return;
  }
  std::string snapshot = "{";
  std::string chosen = "[";
  uint32_t shards = 0;
  for (const CatalogueRun& catalogue : catalogues_) {
    snapshot += snapshot.size() > 1 ? "," : "";
    AppendJsonString(snapshot, catalogue.name_.Value());
    snapshot += ':';
    snapshot += catalogue.layout_ == nullptr
                  ? "null"
                  : std::to_string(catalogue.layout_->key_.version_.Value());
    shards += static_cast<uint32_t>(catalogue.shards_.size());
    for (const ShardRun& shard : catalogue.shards_) {
      chosen += chosen.size() > 1 ? "," : "";
      if (shard.open_.empty()) {
        chosen += "null";
      } else {
        AppendJsonString(chosen, shard.open_.front().server_->Id().Value());
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

void QueryRun::LogExtra(std::string_view aEvent,
                        Place aPlace,
                        const Announcement& aChosen,
                        ReplicaReason aChoice,
                        std::string_view aReason) const
{
  LogLine(LogLevel::Info, aEvent)
    .Add("request", request_.id_)
    .Add("service", request_.service_->name_)
    .Add("catalogue", aChosen.catalogue_)
    .Add("shard", aPlace.shard_)
    .Add("index_version", aChosen.version_)
    .Add("chosen", aChosen.server_)
    .Add("choice", NameOf(aChoice))
    .Add("reason", aReason);
}

void QueryRun::LogPartial(const QueryAnswer& aAnswer) const
{
  if (aAnswer.coverage_.IsComplete()) {
    return;
  }
  worker_.GetMetrics().partialAnswers_.Increment();
  std::string missing = "[";
  for (const MissingShard& shard : aAnswer.coverage_.missing_) {
    missing += missing.size() > 1 ? "," : "";
    const std::string place =
      shard.shard_ ? std::to_string(shard.shard_->Value()) : "*";
    missing += QuotedName(shard.catalogue_.Value() + "/" + place + " " +
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
