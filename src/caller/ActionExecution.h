#ifndef CALLER_ACTIONEXECUTION_H
#define CALLER_ACTIONEXECUTION_H

#include "backend/Attempt.h"
#include "caller/QueryExecution.h"
#include "caller/QueryWorker.h"
#include "policy/Outcome.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

/// How an action ended.
struct ActionResult
{
  Outcome outcome_ = Outcome::NotRun;
  /// Why it was not run, or why its outcome is unknown.
  AttemptFault fault_ = AttemptFault::None;
  /// The backend server's body, with Outcome::Run.
  std::string reply_;
  CatalogueName catalogue_;
  LayoutKey layout_;
  ShardId shard_;
};

/// Runs one action at most once: a single attempt at one backend server of one
/// shard, and another one only after a proof that it was not run. Never hedged.
/// Called from one worker.
class ActionExecution final
  : public AttemptListener
  , public std::enable_shared_from_this<ActionExecution>
{
public:
  /// @param aKey chooses the shard, the same for the same key.
  /// @param aOnChange is called when IsDone() or NextWakeTime() has changed.
  ActionExecution(QueryWorker& aWorker,
                  QueryRequest aRequest,
                  std::string aKey,
                  std::function<void()> aOnChange);
  ~ActionExecution() override;

  void Start(TimePoint aNow);
  bool IsDone() const { return isDone_; }
  TimePoint NextWakeTime() const { return wakeAt_; }
  void OnTime(TimePoint aNow);
  void OnAttemptEnd(std::unique_ptr<Attempt> aAttempt) override;

  /// @return the result, after IsDone().
  ActionResult TakeResult() { return std::move(result_); }

private:
  void Send(TimePoint aNow);
  void OnNotRun(const Attempt& aAttempt, TimePoint aNow);
  void Finish(AttemptFault aFault);

  QueryWorker& worker_;
  QueryRequest request_;
  std::shared_ptr<ServicePolicies> service_;
  std::function<void()> onChange_;
  std::shared_ptr<const RequestContent> content_;
  std::shared_ptr<const FleetView> view_;
  const Layout* layout_ = nullptr;
  std::vector<uint32_t> tried_;
  uint32_t attempts_ = 0;
  /// The attempt that is under way, with its server; null when none is.
  std::shared_ptr<BackendServer> server_;
  AttemptId attemptId_;
  bool isCancelled_ = false;
  bool isRetryDue_ = false;
  bool isDone_ = false;
  TimePoint wakeAt_;
  OutcomeTracker outcomeTracker_;
  ActionResult result_;
};

} // namespace foxtail

#endif // CALLER_ACTIONEXECUTION_H
