#ifndef CALLER_QUERYEXECUTION_H
#define CALLER_QUERYEXECUTION_H

#include "backend/Attempt.h"
#include "caller/QueryAnswer.h"
#include "caller/QueryWorker.h"
#include "caller/ReplicaPicker.h"
#include "config/Document.h"
#include "policy/Outcome.h"

#include <absl/container/inlined_vector.h>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace foxtail {

/// A caller's request, with its deadlines and options checked against the
/// limits of its service.
struct QueryRequest
{
  std::shared_ptr<const Document> document_;
  /// Points into document_.
  const ServiceSettings* service_ = nullptr;
  RequestId id_;
  std::string body_;
  Patience patience_ = Patience::Complete;
  TimePoint startedAt_;
  TimePoint deadline_;
  /// Earliest time at which a request with Patience::Prompt gets a partial
  /// answer.
  TimePoint softDeadline_;
};

/// Executes one query: chooses one index version of each catalogue, sends an
/// attempt to a replica of each shard, hedges slow attempts and retries failed
/// ones within their budgets, restarts a catalogue when its chosen version is
/// no longer available, and collects results until the partial answer policy
/// decides to answer. Called from one worker.
class QueryExecution final
  : public AttemptListener
  , public std::enable_shared_from_this<QueryExecution>
{
public:
  /// @param aOnChange called when IsDone() or NextWakeTime() has changed.
  QueryExecution(QueryWorker& aWorker,
                 QueryRequest aRequest,
                 std::function<void()> aOnChange);
  ~QueryExecution() override;

  void Start(TimePoint aNow);
  bool IsDone() const { return verdict_ != AnswerVerdict::Wait; }

  /// @return the time at which OnTime() must be called next.
  TimePoint NextWakeTime() const
  {
    return std::min(nextAnswerDecisionAt_, nextShardWake_);
  }
  void OnTime(TimePoint aNow);

  void OnAttemptEnd(std::unique_ptr<Attempt> aAttempt) override;

  /// Cancels all outstanding attempts and returns the answer. Call once.
  QueryAnswer Finish(TimePoint aNow);

private:
  enum class ShardState
  {
    Pending,
    Answered,
    Missing,
  };

  struct OutstandingAttempt
  {
    AttemptId id_;
    std::shared_ptr<BackendServer> server_;
    TimePoint dispatchedAt_;
  };

  struct ShardProgress
  {
    ShardState state_ = ShardState::Pending;
    MissingReason reason_ = MissingReason::Failed;
    AttemptFault lastFault_ = AttemptFault::None;
    uint32_t attempts_ = 0;
    absl::InlinedVector<OutstandingAttempt, 2> outstanding_;
    /// Replicas that got an attempt, as indices into the catalogue's view.
    absl::InlinedVector<uint32_t, 4> tried_;
    TimePoint hedgeAt_ = TimePoint::max();
    TimePoint retryAt_ = TimePoint::max();
    std::string reply_;
  };

  struct CatalogueProgress
  {
    CatalogueName name_;
    std::shared_ptr<const FleetView> view_;
    /// Null when no backend server of the catalogue accepts work.
    const Layout* layout_ = nullptr;
    std::shared_ptr<HedgePolicy> hedge_;
    std::vector<ShardProgress> shards_;
  };

  /// Position of a shard in the query.
  struct ShardPosition
  {
    uint32_t catalogue_ = 0;
    uint32_t shard_ = 0;
  };

  using Batch = std::vector<std::unique_ptr<Attempt>>;

  CatalogueProgress& CatalogueAt(ShardPosition aPosition)
  {
    return catalogues_[aPosition.catalogue_];
  }
  ShardProgress& ShardAt(ShardPosition aPosition)
  {
    return catalogues_[aPosition.catalogue_].shards_[aPosition.shard_];
  }

  void PlanCatalogue(uint32_t aCatalogue,
                     std::shared_ptr<const FleetView> aView,
                     const Layout* aLayout,
                     TimePoint aNow,
                     Batch& aBatch);
  ReplicaPick Pick(ShardPosition aPosition, bool aMayProbe, TimePoint aNow);
  void AddAttempt(ShardPosition aPosition,
                  const ReplicaPick& aPick,
                  TimePoint aNow,
                  Batch& aBatch);
  void Dispatch(Batch aBatch);
  void OnReply(ShardPosition aPosition,
               Attempt& aAttempt,
               const OutstandingAttempt& aOutstanding);
  void OnAttemptFailed(ShardPosition aPosition,
                       const Attempt& aAttempt,
                       TimePoint aNow);
  void SendRetry(ShardPosition aPosition, TimePoint aNow);
  /// Sets the number of the query's shards and of its outstanding hedges.
  void CountHedges(HedgeInput& aInput) const;
  void EvaluateHedge(ShardPosition aPosition, TimePoint aNow);
  /// Marks a shard missing, or restarts its catalogue on another index version.
  void OnShardUnavailable(ShardPosition aPosition,
                          MissingReason aReason,
                          TimePoint aNow);
  bool Replan(uint32_t aCatalogue, TimePoint aNow);
  void MarkMissing(ShardProgress& aShard, MissingReason aReason);
  /// Cancels the outstanding attempts of a shard.
  ///
  /// @param aFailure failure that is recorded for the servers of the cancelled
  /// attempts; nothing to record neither a failure nor a latency.
  /// @param aDispatchedUntil attempts that were dispatched after this time had
  /// less time to reply than the one that replied, so neither a failure nor a
  /// latency is recorded for them.
  void CancelOutstanding(ShardPosition aPosition,
                         std::optional<FailureKind> aFailure,
                         TimePoint aDispatchedUntil,
                         TimePoint aNow);
  void CancelPendingShards(MissingReason aReason,
                           FailureKind aFailure,
                           TimePoint aNow);
  void RecordAttemptOutcome(const Attempt& aAttempt);
  /// Evaluates the partial answer policy: answer now or wait.
  void EvaluateAnswer(TimePoint aNow);
  void ScheduleWake(TimePoint aTime);
  void LogPlan() const;
  void LogExtraAttempt(std::string_view aEvent,
                       ShardPosition aPosition,
                       const Announcement& aChosen,
                       ReplicaReason aChoice,
                       std::string_view aReason) const;
  void LogPartialAnswer(const QueryAnswer& aAnswer) const;

  QueryWorker& worker_;
  const PolicySettings& policy_;
  QueryRequest request_;
  std::shared_ptr<ServicePolicies> service_;
  std::function<void()> onChange_;
  std::shared_ptr<const RequestContent> content_;
  std::vector<CatalogueProgress> catalogues_;
  /// Counts over all catalogues; a catalogue that no backend server announces
  /// counts as one shard.
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  uint32_t givenUp_ = 0;
  uint32_t replans_ = 0;
  AnswerVerdict verdict_ = AnswerVerdict::Wait;
  TimePoint nextAnswerDecisionAt_;
  TimePoint nextShardWake_ = TimePoint::max();
  bool isFinished_ = false;
  OutcomeTracker outcomeTracker_;
  Duration slowestShard_{};
};

} // namespace foxtail

#endif // CALLER_QUERYEXECUTION_H
