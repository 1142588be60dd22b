#ifndef BACKEND_BACKENDCONNECTIONPOOL_H
#define BACKEND_BACKENDCONNECTIONPOOL_H

#include "backend/BackendConnection.h"
#include "backend/BackendMetrics.h"
#include "backend/BackendSettings.h"
#include "backend/FleetView.h"
#include "backend/ServerHealth.h"
#include "core/RcuCell.h"
#include "policy/ConnectionShare.h"
#include "policy/PolicySettings.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace foxtail {

class BackendServer;

/// What a worker provides to the connections of its servers; one per worker.
struct OwnerContext
{
  boost::asio::io_context& context_;
  const BackendSettings& settings_;
  const PolicySettings& policy_;
  BackendMetrics& metrics_;
  RcuReader<FleetView> view_;
  RandomSource random_;
  /// Returns an attempt with its result to the worker that created it.
  std::function<void(std::unique_ptr<Attempt>)> returnAttempt_;
  /// Memory of the incomplete replies of all servers of the worker. Shared with
  /// the connections, which pending operations may keep beyond the worker.
  std::shared_ptr<ReplyMemory> replyMemory_;
  /// Warm connections that may still be opened before the next tick.
  uint32_t warmConnectsLeft_ = 0;
};

/// This instance's connections to one backend server. Opens connections ahead
/// of requests up to the instance's share of the server's connection limit,
/// keeps the attempts in flight within the estimated limit and queues the rest.
/// Called from the owning worker only.
class BackendConnectionPool final : public BackendConnectionListener
{
public:
  /// @param aReplica the server's replica as first announced.
  /// @param aInstances number of instances that share the server.
  BackendConnectionPool(BackendServer& aServer,
                        std::shared_ptr<const RoutedReplica> aReplica,
                        OwnerContext& aOwner,
                        uint32_t aInstances);
  ~BackendConnectionPool() override;
  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  /// Sends the attempt or queues it. The result is never returned from within
  /// this call.
  void Start(std::unique_ptr<Attempt> aAttempt, TimePoint aNow);

  /// Abandons a queued or outstanding attempt; it is returned without a reply.
  ///
  /// @param aFailure failure to count against the server if the attempt was
  /// sent; none when the cancel is not evidence of a failure.
  void Cancel(AttemptId aId,
              std::optional<FailureKind> aFailure,
              TimePoint aNow);

  /// Updates the share of the connections; a smaller share applies at once.
  ///
  /// @param aSince when this instance started to share the servers.
  void UpdateShare(const ConnectionShareInput& aInput,
                   TimePoint aSince,
                   TimePoint aNow);

  /// Updates the in-flight limiter after the number of slots has changed.
  void Configure(uint32_t aSlots, uint32_t aInstances);

  /// Closes connections that exceeded a timeout, opens a missing connection and
  /// processes the queue.
  void Tick(TimePoint aNow);

  /// Closes idle connections and returns queued attempts of a server that left;
  /// outstanding attempts may finish.
  void Retire();
  /// Releases a retired server once its last connection is closed.
  ///
  /// @return whether the server was released.
  bool TryRelease();

  size_t OpenCount() const { return connections_.size(); }

  void OnConnected(BackendConnection& aConnection) override;
  void OnAttemptDone(BackendConnection& aConnection,
                     std::unique_ptr<Attempt> aAttempt) override;
  void OnDrained(BackendConnection& aConnection,
                 ConnectionState aPreviousState) override;
  void OnClosed(BackendConnection& aConnection,
                ConnectionState aPreviousState,
                AttemptFault aFault) override;

private:
  enum class ConnectCause
  {
    Warm,
    RequestPath,
  };

  /// @return the maximum number of connections at present.
  uint32_t MaxConnections() const
  {
    return std::min(share_.Current(), owner_.settings_.maxConnections_);
  }
  /// Sends queued attempts while idle connections and the limit allow, and
  /// opens a connection if more attempts may be sent.
  void ProcessQueue(TimePoint aNow);
  void Send(std::unique_ptr<Attempt> aAttempt, TimePoint aNow);
  void OpenConnection(ConnectCause aCause, TimePoint aNow);
  /// Adds a connection that has ended its exchange to the idle ones, or removes
  /// it when it is closed, the server is retired or too many are open.
  void Release(BackendConnection& aConnection);
  void RemoveConnection(BackendConnection& aConnection);
  std::shared_ptr<BackendConnection> TakeIdle();
  void TrimIdle();
  void OnConnectFailed(BackendConnection& aConnection, AttemptFault aFault);
  /// Called when the server closed a connection before its first reply.
  void OnClosedWithoutReply(TimePoint aNow);
  void PauseConnecting(TimePoint aNow);
  bool CancelWaiting(AttemptId aId);
  void FailWaiting(AttemptFault aFault);
  void ReturnExpired(TimePoint aNow);
  void ReturnNotSent(std::unique_ptr<Attempt> aAttempt, AttemptFault aFault);
  void LogDiscarded(const Attempt& aAttempt) const;
  void UpdateFreeConnections();

  BackendServer& server_;
  /// Keeps the server alive until it is retired and has no connections left.
  std::shared_ptr<const RoutedReplica> replica_;
  OwnerContext& owner_;
  ServerHealth health_;
  ConnectionShare share_;
  bool isShareSet_ = false;
  /// Connections closed before their first reply since the last reply.
  uint32_t closesWithoutReply_ = 0;
  bool isRetired_ = false;
  std::vector<std::shared_ptr<BackendConnection>> connections_;
  std::vector<std::shared_ptr<BackendConnection>> idle_;
  std::deque<std::unique_ptr<Attempt>> waiting_;
  size_t connectingCount_ = 0;
  /// Attempts sent whose reply is not read, abandoned ones included.
  uint32_t activeAttempts_ = 0;
  TimePoint nextConnectAt_{};
  milliseconds connectPause_;
};

} // namespace foxtail

#endif // BACKEND_BACKENDCONNECTIONPOOL_H
