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

/// Result of an action.
struct ActionResult
{
  Outcome outcome_ = Outcome::NotRun;
  /// Why the action was not run, or why its outcome is unknown.
  AttemptFault fault_ = AttemptFault::None;
  /// Body of the backend server's reply; set with Outcome::Run only.
  std::string reply_;
  CatalogueName catalogue_;
  LayoutKey layout_;
  ShardId shard_;
};

/// Executes one action at most once: sends a single attempt to a replica of one
/// shard, and another attempt only after the previous one is shown not to have
/// been run. Actions are never hedged. Called from one worker.
class ActionExecution final
  : public AttemptListener
  , public std::enable_shared_from_this<ActionExecution>
{
public:
  /// @param aKey idempotency key of the caller, empty for none. Its hash
  /// chooses the shard, so that equal keys are sent to the same shard; without
  /// a key the hash of the request id does.
  /// @param aOnChange called when IsDone() or NextWakeTime() has changed.
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

  /// @return the result; valid once, after IsDone() has become true.
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
  /// Server and id of the outstanding attempt; the server is null when none is
  /// outstanding.
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
