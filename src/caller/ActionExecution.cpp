#include "caller/ActionExecution.h"

#include "caller/ReplicaPicker.h"
#include "core/Log.h"

#include <xxhash.h>

namespace foxtail {
namespace {

/// Time after the deadline in which a reply to the cancelled attempt may still
/// show that the action was not run.
constexpr milliseconds kNotRunReplyTimeout{ 50 };

} // namespace

ActionExecution::ActionExecution(QueryWorker& aWorker,
                                 QueryRequest aRequest,
                                 std::string aKey,
                                 std::function<void()> aOnChange)
  : worker_(aWorker)
  , request_(std::move(aRequest))
  , service_(aWorker.Service(*request_.service_))
  , onChange_(std::move(aOnChange))
  , wakeAt_(request_.deadline_)
{
  auto text = std::make_shared<RequestContent>();
  text->requestId_ = request_.id_.Value();
  text->body_ = std::move(request_.body_);
  text->idempotencyKey_ = std::move(aKey);
  content_ = std::move(text);
}

ActionExecution::~ActionExecution() = default;

void ActionExecution::Start(TimePoint aNow)
{
  const ServiceSettings& service = *request_.service_;
  result_.catalogue_ = service.catalogues_.front();
  view_ = worker_.View();
  layout_ = view_->FindChosen({ service.name_, result_.catalogue_ });
  if (layout_ == nullptr) {
    Finish(AttemptFault::ConnectFailed);
    return;
  }
  const std::string& key = content_->idempotencyKey_.empty()
                             ? content_->requestId_
                             : content_->idempotencyKey_;
  const uint64_t hash = XXH3_64bits(key.data(), key.size());
  result_.layout_ = layout_->key_;
  result_.shard_ =
    ShardId(static_cast<uint32_t>(hash % layout_->key_.shardCount_));
  Send(aNow);
}

void ActionExecution::Send(TimePoint aNow)
{
  const ReplicaPick pick = PickReplica(worker_.Policy(),
                                       *view_,
                                       layout_->shards_[result_.shard_.Value()],
                                       tried_,
                                       false,
                                       worker_.Random(),
                                       aNow);
  if (!pick.isChosen_) {
    Finish(pick.reason_ == ReplicaReason::AllDraining
             ? AttemptFault::Draining
             : AttemptFault::ConnectFailed);
    return;
  }
  auto attempt = std::make_unique<Attempt>();
  attempt->id_ = worker_.AttemptIds().Next();
  attempt->replica_ = view_->replicas_[pick.replica_];
  attempt->content_ = content_;
  attempt->deadline_ = request_.deadline_;
  attempt->listener_ = shared_from_this();
  tried_.push_back(pick.replica_);
  ++attempts_;
  attemptId_ = attempt->id_;
  server_ = attempt->replica_->server_;
  LogLine(LogLevel::Info, attempts_ == 1 ? "action_planned" : "retry")
    .Add("request", request_.id_)
    .Add("service", request_.service_->name_)
    .Add("index_version", layout_->key_.version_)
    .Add("shard", result_.shard_)
    .Add("chosen", server_->Id())
    .Add("choice", NameOf(pick.reason_));
  outcomeTracker_.OnWriteStarted();
  std::vector<std::unique_ptr<Attempt>> batch;
  batch.push_back(std::move(attempt));
  worker_.Fleet().Dispatch(worker_.Index(), std::move(batch));
}

void ActionExecution::OnAttemptEnd(std::unique_ptr<Attempt> aAttempt)
{
  server_ = nullptr;
  if (isDone_) {
    return;
  }
  switch (aAttempt->outcome_) {
    case AttemptOutcome::Replied:
      outcomeTracker_.OnRun();
      result_.reply_ = std::move(aAttempt->reply_);
      Finish(AttemptFault::None);
      break;
    case AttemptOutcome::Failed:
      Finish(aAttempt->fault_);
      break;
    case AttemptOutcome::Refused:
    case AttemptOutcome::NotSent:
      outcomeTracker_.OnRefusedNotRun();
      OnNotRun(*aAttempt, Now());
      break;
  }
}

void ActionExecution::OnNotRun(const Attempt& aAttempt, TimePoint aNow)
{
  result_.fault_ = aAttempt.fault_;
  RetryInput input;
  input.failure_ = FailureKindOf(aAttempt);
  input.isAction_ = true;
  input.attempts_ = attempts_;
  input.hasUntriedReplica_ =
    PickReplica(worker_.Policy(),
                *view_,
                layout_->shards_[result_.shard_.Value()],
                tried_,
                false,
                worker_.Random(),
                aNow)
      .isChosen_;
  input.timeLeft_ = request_.deadline_ - aNow;
  const RetryDecision decision =
    service_->Retry().Decide(input, worker_.Random());
  if (isCancelled_ || decision.verdict_ != RetryVerdict::Retry) {
    Finish(aAttempt.fault_);
    return;
  }
  worker_.GetMetrics().retries_.Increment();
  isRetryDue_ = true;
  wakeAt_ = aNow + decision.delay_;
  onChange_();
}

void ActionExecution::OnTime(TimePoint aNow)
{
  if (isDone_ || aNow < wakeAt_) {
    return;
  }
  if (isRetryDue_ && aNow < request_.deadline_) {
    isRetryDue_ = false;
    wakeAt_ = request_.deadline_;
    Send(aNow);
    return;
  }
  if (server_ == nullptr || isCancelled_) {
    Finish(AttemptFault::Deadline);
    return;
  }
  isCancelled_ = true;
  wakeAt_ = aNow + kNotRunReplyTimeout;
  const std::shared_ptr<BackendServer> server = server_;
  worker_.Fleet().Cancel(
    worker_.Index(), server, attemptId_, FailureKind::Timeout);
}

void ActionExecution::Finish(AttemptFault aFault)
{
  isDone_ = true;
  result_.fault_ = aFault;
  result_.outcome_ = outcomeTracker_.Get();
  service_->OnRequestDone(Now() - request_.startedAt_);
  onChange_();
}

} // namespace foxtail
