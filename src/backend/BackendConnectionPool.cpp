#include "backend/BackendConnectionPool.h"

#include "backend/BackendServer.h"
#include "core/Log.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace foxtail {

namespace asio = boost::asio;

BackendConnectionPool::BackendConnectionPool(
  BackendServer& aServer,
  std::shared_ptr<const RoutedReplica> aReplica,
  OwnerContext& aOwner,
  uint32_t aInstances)
  : server_(aServer)
  , replica_(std::move(aReplica))
  , owner_(aOwner)
  , health_(aOwner.policy_,
            aServer.Signals(),
            replica_->announcement_.slots_,
            aInstances)
  , share_(aOwner.policy_.connectionShare_)
  , connectPause_(aOwner.settings_.reconnectPause_)
{
}

BackendConnectionPool::~BackendConnectionPool()
{
  for (auto& connection : connections_) {
    connection->Close();
  }
}

void BackendConnectionPool::Start(std::unique_ptr<Attempt> aAttempt,
                                  TimePoint aNow)
{
  const bool hasNoShare =
    isShareSet_ && MaxConnections() == 0 && connections_.empty();
  if (isRetired_ || hasNoShare) {
    ReturnNotSent(std::move(aAttempt), AttemptFault::ConnectFailed);
    return;
  }
  if (waiting_.size() >= owner_.settings_.maxWaiting_) {
    ReturnNotSent(std::move(aAttempt), AttemptFault::QueueFull);
    return;
  }
  if (aNow < nextConnectAt_ && connections_.empty()) {
    // The last connect failed and no connection will become idle.
    ReturnNotSent(std::move(aAttempt), AttemptFault::ConnectFailed);
    return;
  }
  if (aAttempt->isProbe_) {
    health_.OnProbeSent(aNow);
  }
  if (waiting_.empty() && !idle_.empty() && activeAttempts_ < health_.Limit()) {
    Send(std::move(aAttempt), aNow);
    UpdateFreeConnections();
    return;
  }
  waiting_.push_back(std::move(aAttempt));
  ProcessQueue(aNow);
}

void BackendConnectionPool::Send(std::unique_ptr<Attempt> aAttempt,
                                 TimePoint aNow)
{
  const auto connection = TakeIdle();
  ++activeAttempts_;
  aAttempt->inFlightAtSend_ = activeAttempts_;
  owner_.metrics_.requests_.Increment();
  connection->Send(std::move(aAttempt), aNow);
}

void BackendConnectionPool::ProcessQueue(TimePoint aNow)
{
  ReturnExpired(aNow);
  while (!waiting_.empty() && !idle_.empty() &&
         activeAttempts_ < health_.Limit()) {
    std::unique_ptr<Attempt> attempt = std::move(waiting_.front());
    waiting_.pop_front();
    Send(std::move(attempt), aNow);
  }
  const size_t allowed =
    health_.Limit() > activeAttempts_ ? health_.Limit() - activeAttempts_ : 0;
  const size_t wanted = std::min(allowed, waiting_.size());
  if (idle_.empty() && connectingCount_ < wanted) {
    OpenConnection(ConnectCause::RequestPath, aNow);
  }
  UpdateFreeConnections();
}

void BackendConnectionPool::UpdateFreeConnections()
{
  const size_t openable = MaxConnections() > connections_.size()
                            ? MaxConnections() - connections_.size()
                            : 0;
  server_.Signals().PublishFreeConnections(
    static_cast<uint32_t>(idle_.size() + openable));
}

std::shared_ptr<BackendConnection> BackendConnectionPool::TakeIdle()
{
  auto connection = std::move(idle_.back());
  idle_.pop_back();
  return connection;
}

void BackendConnectionPool::Cancel(AttemptId aId,
                                   std::optional<FailureKind> aFailure,
                                   TimePoint aNow)
{
  if (CancelWaiting(aId)) {
    return;
  }
  const auto found = std::find_if(
    connections_.begin(), connections_.end(), [&](const auto& aOpen) {
      const Attempt* attempt = aOpen->GetAttempt();
      return attempt != nullptr && attempt->id_ == aId;
    });
  if (found == connections_.end()) {
    return;
  }
  std::unique_ptr<Attempt> attempt = (*found)->Abandon(aNow);
  attempt->outcome_ = AttemptOutcome::Failed;
  attempt->fault_ = AttemptFault::Cancelled;
  attempt->endedAt_ = aNow;
  if (aFailure) {
    health_.OnFailure(
      *attempt->replica_, *aFailure, *owner_.view_.Get(), owner_.random_, aNow);
  }
  // The cancel is sent only on a connection that no queued attempt needs: it
  // must not delay a request.
  if (waiting_.empty() && !idle_.empty()) {
    owner_.metrics_.cancels_.Increment();
    TakeIdle()->SendCancel(aId, aNow);
    UpdateFreeConnections();
  }
  owner_.returnAttempt_(std::move(attempt));
}

bool BackendConnectionPool::CancelWaiting(AttemptId aId)
{
  const auto found =
    std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& aWaiting) {
      return aWaiting->id_ == aId;
    });
  if (found == waiting_.end()) {
    return false;
  }
  std::unique_ptr<Attempt> attempt = std::move(*found);
  waiting_.erase(found);
  ReturnNotSent(std::move(attempt), AttemptFault::Cancelled);
  return true;
}

void BackendConnectionPool::ReturnNotSent(std::unique_ptr<Attempt> aAttempt,
                                          AttemptFault aFault)
{
  aAttempt->outcome_ = AttemptOutcome::NotSent;
  aAttempt->fault_ = aFault;
  server_.Signals().OnReleased();
  asio::post(owner_.context_,
             [&owner = owner_, attempt = std::move(aAttempt)]() mutable {
               owner.returnAttempt_(std::move(attempt));
             });
}

void BackendConnectionPool::UpdateShare(const ConnectionShareInput& aInput,
                                        TimePoint aSince,
                                        TimePoint aNow)
{
  if (!isShareSet_) {
    // A server may be new while this instance is not. No other instance then
    // holds connections that it would have to close first, so the share counts
    // from aSince.
    isShareSet_ = true;
    share_.Update(aInput, aSince);
  }
  share_.Update(aInput, aNow);
  server_.Signals().PublishShare(MaxConnections());
  TrimIdle();
}

void BackendConnectionPool::Configure(uint32_t aSlots, uint32_t aInstances)
{
  health_.Configure(aSlots, aInstances);
}

void BackendConnectionPool::TrimIdle()
{
  while (connections_.size() > MaxConnections() && !idle_.empty()) {
    const auto connection = TakeIdle();
    connection->Close();
    RemoveConnection(*connection);
  }
}

void BackendConnectionPool::Tick(TimePoint aNow)
{
  // Iterates over a copy, as a connection that closes is removed from the list.
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->CloseIfOverdue(aNow);
  }
  if (!isRetired_ && connections_.size() < MaxConnections() &&
      aNow >= nextConnectAt_ && owner_.warmConnectsLeft_ > 0) {
    // One connection per tick, so that a larger share does not delay requests.
    --owner_.warmConnectsLeft_;
    OpenConnection(ConnectCause::Warm, aNow);
  }
  ProcessQueue(aNow);
}

void BackendConnectionPool::OpenConnection(ConnectCause aCause, TimePoint aNow)
{
  if (connections_.size() >= MaxConnections() || aNow < nextConnectAt_) {
    return;
  }
  BackendMetrics& metrics = owner_.metrics_;
  auto& counter = aCause == ConnectCause::Warm ? metrics.warmConnects_
                                               : metrics.requestPathConnects_;
  counter.Increment();
  metrics.openConnections_.Increment();
  ++connectingCount_;
  connections_.push_back(
    std::make_shared<BackendConnection>(owner_.context_,
                                        server_.Endpoint(),
                                        owner_.settings_,
                                        owner_.replyMemory_,
                                        *this));
  connections_.back()->Connect(aNow);
}

void BackendConnectionPool::OnConnected(BackendConnection& aConnection)
{
  --connectingCount_;
  Release(aConnection);
  ProcessQueue(Now());
}

void BackendConnectionPool::Release(BackendConnection& aConnection)
{
  if (aConnection.GetState() == ConnectionState::Closed) {
    RemoveConnection(aConnection);
  } else if (isRetired_ || connections_.size() > MaxConnections()) {
    aConnection.Close();
    RemoveConnection(aConnection);
  } else {
    idle_.push_back(aConnection.shared_from_this());
  }
}

void BackendConnectionPool::ReturnExpired(TimePoint aNow)
{
  while (!waiting_.empty() && waiting_.front()->deadline_ <= aNow) {
    std::unique_ptr<Attempt> attempt = std::move(waiting_.front());
    waiting_.pop_front();
    ReturnNotSent(std::move(attempt), AttemptFault::Deadline);
  }
}

void BackendConnectionPool::OnAttemptDone(BackendConnection& aConnection,
                                          std::unique_ptr<Attempt> aAttempt)
{
  const TimePoint now = Now();
  BackendSignals& signals = server_.Signals();
  --activeAttempts_;
  signals.OnReleased();
  aAttempt->endedAt_ = now;
  if (aAttempt->load_) {
    signals.OnLoad(*aAttempt->load_, now);
  }
  if (aAttempt->fault_ == AttemptFault::Draining) {
    signals.OnDrainingMark(now);
  }
  if (aConnection.HasCompletedExchange()) {
    connectPause_ = owner_.settings_.reconnectPause_;
    closesWithoutReply_ = 0;
  } else if (aAttempt->fault_ == AttemptFault::ConnectionClosed) {
    OnClosedWithoutReply(now);
  }
  if (aAttempt->outcome_ == AttemptOutcome::Failed) {
    LogDiscarded(*aAttempt);
  }
  health_.OnAttemptEnd(*aAttempt, *owner_.view_.Get(), owner_.random_, now);
  Release(aConnection);
  ProcessQueue(now);
  owner_.returnAttempt_(std::move(aAttempt));
}

void BackendConnectionPool::LogDiscarded(const Attempt& aAttempt) const
{
  owner_.metrics_.OnDiscarded(aAttempt.fault_);
  LogLine(LogLevel::Warning, "reply_discarded")
    .Add("request", aAttempt.content_->requestId_)
    .Add("attempt", aAttempt.id_)
    .Add("server", server_.Id())
    .Add("service", aAttempt.replica_->announcement_.service_)
    .Add("shard", aAttempt.replica_->shardText_)
    .Add("index_version", aAttempt.replica_->versionText_)
    .Add("reason", NameOf(aAttempt.fault_));
}

void BackendConnectionPool::OnDrained(BackendConnection& aConnection,
                                      ConnectionState aPreviousState)
{
  if (aPreviousState == ConnectionState::Draining) {
    --activeAttempts_;
    server_.Signals().OnReleased();
    owner_.metrics_.lateReplies_.Increment();
  }
  Release(aConnection);
  ProcessQueue(Now());
}

void BackendConnectionPool::OnClosed(BackendConnection& aConnection,
                                     ConnectionState aPreviousState,
                                     AttemptFault aFault)
{
  if (aPreviousState == ConnectionState::Connecting) {
    OnConnectFailed(aConnection, aFault);
    return;
  }
  if (aPreviousState == ConnectionState::Draining) {
    --activeAttempts_;
    server_.Signals().OnReleased();
  }
  const TimePoint now = Now();
  if (!aConnection.HasCompletedExchange()) {
    OnClosedWithoutReply(now);
  }
  RemoveConnection(aConnection);
  ProcessQueue(now);
}

void BackendConnectionPool::OnClosedWithoutReply(TimePoint aNow)
{
  // A server at its connection limit accepts and closes at once; to reconnect
  // without a pause would flood it with connects. A single such close may have
  // another cause and is ignored.
  if (++closesWithoutReply_ == 1 || aNow < nextConnectAt_) {
    return;
  }
  const bool hasOtherServingConnection = std::any_of(
    connections_.begin(), connections_.end(), [](const auto& aOpen) {
      return aOpen->HasCompletedExchange();
    });
  if (hasOtherServingConnection) {
    share_.OnRefused(aNow);
  }
  PauseConnecting(aNow);
}

void BackendConnectionPool::PauseConnecting(TimePoint aNow)
{
  LogLine(LogLevel::Warning, "backend_connect_failed")
    .Add("server", server_.Id())
    .Add("open", connections_.size())
    .Add("pause_ms", connectPause_.count());
  nextConnectAt_ = aNow + connectPause_;
  connectPause_ =
    std::min(connectPause_ * 2, owner_.settings_.maxReconnectPause_);
}

void BackendConnectionPool::OnConnectFailed(BackendConnection& aConnection,
                                            AttemptFault aFault)
{
  --connectingCount_;
  const TimePoint now = Now();
  owner_.metrics_.failedConnects_.Increment();
  RemoveConnection(aConnection);
  if (now < nextConnectAt_) {
    // A connect that started at the same time has set the pause.
    return;
  }
  PauseConnecting(now);
  if (connections_.size() > connectingCount_) {
    // Other connections are open, so the server is up and refuses more.
    share_.OnRefused(now);
  } else {
    health_.OnFailure(*replica_,
                      FailureKind::ConnectFailed,
                      *owner_.view_.Get(),
                      owner_.random_,
                      now);
    FailWaiting(aFault);
  }
  UpdateFreeConnections();
}

void BackendConnectionPool::FailWaiting(AttemptFault aFault)
{
  while (!waiting_.empty()) {
    std::unique_ptr<Attempt> attempt = std::move(waiting_.front());
    waiting_.pop_front();
    ReturnNotSent(std::move(attempt), aFault);
  }
}

void BackendConnectionPool::RemoveConnection(BackendConnection& aConnection)
{
  const auto isSame = [&](const auto& aOther) {
    return aOther.get() == &aConnection;
  };
  std::erase_if(idle_, isSame);
  if (std::erase_if(connections_, isSame) > 0) {
    owner_.metrics_.openConnections_.Decrement();
  }
}

bool BackendConnectionPool::TryRelease()
{
  if (!connections_.empty()) {
    return false;
  }
  replica_.reset();
  return true;
}

void BackendConnectionPool::Retire()
{
  isRetired_ = true;
  FailWaiting(AttemptFault::ConnectFailed);
  while (!idle_.empty()) {
    const auto connection = TakeIdle();
    connection->Close();
    RemoveConnection(*connection);
  }
  UpdateFreeConnections();
}

} // namespace foxtail
