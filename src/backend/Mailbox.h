#ifndef BACKEND_MAILBOX_H
#define BACKEND_MAILBOX_H

#include "backend/Attempt.h"
#include "policy/RetryPolicy.h"

#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

namespace foxtail {

/// Requests that the server's owning worker sends an attempt.
struct StartMessage
{
  std::unique_ptr<Attempt> attempt_;
};

/// Requests that the server's owning worker abandons an attempt.
struct CancelMessage
{
  std::shared_ptr<BackendServer> server_;
  AttemptId id_;
  std::optional<FailureKind> failure_;
};

/// Returns an attempt to the worker that created it.
struct ReturnMessage
{
  std::unique_ptr<Attempt> attempt_;
};

using WorkerMessage = std::variant<StartMessage, CancelMessage, ReturnMessage>;

/// Messages to one worker. Senders wake the worker only when the box was empty,
/// so that under load many messages cost one wake. Thread safe; the lock is
/// held for a few moves only.
class Mailbox
{
public:
  /// @return whether the box was empty, so that the worker must be woken.
  bool Put(WorkerMessage aMessage)
  {
    const std::lock_guard lock(mutex_);
    messages_.push_back(std::move(aMessage));
    return messages_.size() == 1;
  }

  bool PutAll(std::vector<WorkerMessage>& aMessages)
  {
    const std::lock_guard lock(mutex_);
    const bool wasEmpty = messages_.empty();
    for (WorkerMessage& message : aMessages) {
      messages_.push_back(std::move(message));
    }
    return wasEmpty;
  }

  /// Moves all messages into @p aTarget, which must be empty.
  void TakeAll(std::vector<WorkerMessage>& aTarget)
  {
    const std::lock_guard lock(mutex_);
    aTarget.swap(messages_);
  }

private:
  std::mutex mutex_;
  std::vector<WorkerMessage> messages_;
};

} // namespace foxtail

#endif // BACKEND_MAILBOX_H
