#ifndef CALLER_QUERYRUN_H
#define CALLER_QUERYRUN_H

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

/// One request as its caller put it, within the bounds of its service.
struct QueryRequest
{
  std::shared_ptr<const Document> document_;
  /// A member of the document.
  const ServiceSettings* service_ = nullptr;
  RequestId id_;
  std::string body_;
  Patience patience_ = Patience::Complete;
  TimePoint startedAt_;
  TimePoint deadline_;
  /// When a prompt request is answered in part.
  TimePoint softDeadline_;
};

/// Runs one query: pins a snapshot, asks a replica of each shard, hedges slow
/// attempts and retries failed ones within their budgets, begins again when the
/// pinned version vanishes, and collects results until the policy says to
/// answer. Called from one worker.
class QueryRun final
  : public AttemptListener
  , public std::enable_shared_from_this<QueryRun>
{
public:
  /// @param aOnWake is called when IsDone() or NextWake() has changed.
  QueryRun(QueryWorker& aWorker,
           QueryRequest aRequest,
           std::function<void()> aOnWake);
  ~QueryRun() override;

  void Start(TimePoint aNow);
  bool IsDone() const { return verdict_ != AnswerVerdict::Wait; }

  /// @return when OnTime() is to be called next.
  TimePoint NextWake() const { return std::min(answerAt_, nextShardWake_); }
  void OnTime(TimePoint aNow);

  void OnAttemptEnd(std::unique_ptr<Attempt> aAttempt) override;

  /// Gives up what is left and makes the answer. Call once.
  QueryAnswer Finish(TimePoint aNow);

private:
  enum class ShardState
  {
    Pending,
    Answered,
    Missing,
  };

  struct OpenAttempt
  {
    AttemptId id_;
    std::shared_ptr<BackendServer> server_;
    TimePoint dispatchedAt_;
  };

  struct ShardRun
  {
    ShardState state_ = ShardState::Pending;
    MissingReason reason_ = MissingReason::Failed;
    AttemptFault lastFault_ = AttemptFault::None;
    uint32_t attempts_ = 0;
    absl::InlinedVector<OpenAttempt, 2> open_;
    /// Indices into the catalogue's view.
    absl::InlinedVector<uint32_t, 4> tried_;
    TimePoint hedgeAt_ = TimePoint::max();
    TimePoint retryAt_ = TimePoint::max();
    std::string reply_;
  };

  struct CatalogueRun
  {
    CatalogueName name_;
    std::shared_ptr<const FleetView> view_;
    /// Null when no server of the catalogue takes work.
    const Layout* layout_ = nullptr;
    std::shared_ptr<HedgePolicy> hedge_;
    std::vector<ShardRun> shards_;
  };

  /// Names one shard of the query.
  struct Place
  {
    uint32_t catalogue_ = 0;
    uint32_t shard_ = 0;
  };

  using Batch = std::vector<std::unique_ptr<Attempt>>;

  CatalogueRun& CatalogueAt(Place aPlace)
  {
    return catalogues_[aPlace.catalogue_];
  }
  ShardRun& ShardAt(Place aPlace)
  {
    return catalogues_[aPlace.catalogue_].shards_[aPlace.shard_];
  }

  void PlanCatalogue(uint32_t aCatalogue,
                     std::shared_ptr<const FleetView> aView,
                     const Layout* aLayout,
                     TimePoint aNow,
                     Batch& aBatch);
  ReplicaPick Pick(Place aPlace, bool aMayProbe, TimePoint aNow);
  void AddAttempt(Place aPlace,
                  const ReplicaPick& aPick,
                  TimePoint aNow,
                  Batch& aBatch);
  void Dispatch(Batch aBatch);
  void OnReply(Place aPlace, Attempt& aAttempt, const OpenAttempt& aOpen);
  void OnFault(Place aPlace, const Attempt& aAttempt, TimePoint aNow);
  void SendRetry(Place aPlace, TimePoint aNow);
  /// Fills in the query's shards and its hedges in flight.
  void CountHedges(HedgeInput& aInput) const;
  void ConsiderHedge(Place aPlace, TimePoint aNow);
  /// Gives a shard up, or begins its catalogue again on another version.
  void OnShardLost(Place aPlace, MissingReason aReason, TimePoint aNow);
  bool Replan(uint32_t aCatalogue, TimePoint aNow);
  void SetMissing(ShardRun& aShard, MissingReason aReason);
  /// Cancels a shard's open attempts.
  ///
  /// @param aSince attempts that were dispatched later show nothing.
  void CancelOpen(Place aPlace,
                  std::optional<FailureKind> aEvidence,
                  TimePoint aSince,
                  TimePoint aNow);
  void SettleAll(MissingReason aReason, FailureKind aEvidence, TimePoint aNow);
  void NoteProof(const Attempt& aAttempt);
  /// Asks the policy whether to answer now.
  void Decide(TimePoint aNow);
  void WakeBy(TimePoint aTime);
  void LogPlan() const;
  void LogExtra(std::string_view aEvent,
                Place aPlace,
                const Announcement& aChosen,
                ReplicaReason aChoice,
                std::string_view aReason) const;
  void LogPartial(const QueryAnswer& aAnswer) const;

  QueryWorker& worker_;
  const PolicySettings& policy_;
  QueryRequest request_;
  std::shared_ptr<ServicePolicies> service_;
  std::function<void()> onWake_;
  std::shared_ptr<const RequestContent> content_;
  std::vector<CatalogueRun> catalogues_;
  /// Counts over all catalogues; a catalogue that nobody announces is one.
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  uint32_t givenUp_ = 0;
  uint32_t replans_ = 0;
  AnswerVerdict verdict_ = AnswerVerdict::Wait;
  TimePoint answerAt_;
  TimePoint nextShardWake_ = TimePoint::max();
  bool isFinished_ = false;
  OutcomeTracker proof_;
  Duration slowestShard_{};
};

} // namespace foxtail

#endif // CALLER_QUERYRUN_H
