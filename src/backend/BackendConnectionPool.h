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

/// What the owner of a server gives its connections. One worker's.
struct OwnerContext
{
  boost::asio::io_context& context_;
  const BackendSettings& settings_;
  const PolicySettings& policy_;
  BackendMetrics& metrics_;
  RcuReader<FleetView> view_;
  RandomSource random_;
  /// Takes an attempt that has its result.
  std::function<void(std::unique_ptr<Attempt>)> returnAttempt_;
  /// Warm connections that may still be opened before the next tick.
  uint32_t warmConnectsLeft_ = 0;
};

/// This instance's connections to one backend server: keeps them warm up to
/// its share of the server's limit, never above, keeps the attempts in flight
/// within the limit that was learned, and queues the rest. Called from the
/// owning worker only.
class BackendConnectionPool final : public BackendConnectionListener
{
public:
  /// @param aReplica of the server, as first announced.
  BackendConnectionPool(BackendServer& aServer,
                        std::shared_ptr<const RoutedReplica> aReplica,
                        OwnerContext& aOwner,
                        uint32_t aInstances);
  ~BackendConnectionPool() override;
  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  /// Sends the attempt, or queues it until it may be sent. Its result is never
  /// returned from within this call.
  void Start(std::unique_ptr<Attempt> aAttempt, TimePoint aNow);

  /// Gives an attempt up, wherever it is; it is returned without a reply.
  ///
  /// @param aFailure what that shows of the server; nothing when it shows
  /// nothing.
  void Cancel(AttemptId aId,
              std::optional<FailureKind> aFailure,
              TimePoint aNow);

  /// Takes over the share of the connections; a smaller one holds at once.
  ///
  /// @param aSince when this instance became one of those that share.
  void UpdateShare(const ConnectionShareInput& aInput,
                   TimePoint aSince,
                   TimePoint aNow);

  /// Takes over changed slots.
  void Configure(uint32_t aSlots, uint32_t aInstances);

  /// Ends what has lasted too long and opens missing connections.
  void Tick(TimePoint aNow);

  /// The server is gone: ends idle connections, returns waiting attempts, and
  /// lets the rest finish.
  void Retire();
  /// Lets go of a retired server that has nothing left in flight.
  ///
  /// @return whether that is so.
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

  /// @return the largest number of connections now.
  uint32_t MaxConnections() const
  {
    return std::min(share_.Current(), owner_.settings_.maxConnections_);
  }
  /// Sends waiting attempts while connections and the limit allow, and opens
  /// connections for the rest.
  void ProcessQueue(TimePoint aNow);
  void Send(std::unique_ptr<Attempt> aAttempt, TimePoint aNow);
  void OpenConnection(ConnectCause aCause, TimePoint aNow);
  /// Puts a connection that has ended its exchange among the idle ones, or
  /// forgets it when it is closed or too many are open.
  void Release(BackendConnection& aConnection);
  void RemoveConnection(BackendConnection& aConnection);
  std::shared_ptr<BackendConnection> TakeIdle();
  void TrimIdle();
  void OnConnectFailed(BackendConnection& aConnection, AttemptFault aFault);
  /// A connection was closed by the server before it served anything.
  void OnClosedWithoutReply(TimePoint aNow);
  void PauseConnecting(TimePoint aNow);
  bool CancelWaiting(AttemptId aId);
  void FailWaiting(AttemptFault aFault);
  void ReturnExpired(TimePoint aNow);
  void ReturnNotSent(std::unique_ptr<Attempt> aAttempt, AttemptFault aFault);
  void LogDiscarded(const Attempt& aAttempt) const;
  void UpdateFreeConnections();

  BackendServer& server_;
  /// Keeps the server alive until it is retired and empty.
  std::shared_ptr<const RoutedReplica> replica_;
  OwnerContext& owner_;
  ServerHealth health_;
  ConnectionShare share_;
  bool isShareSet_ = false;
  /// Connections closed unserved since one served.
  uint32_t closesWithoutReply_ = 0;
  bool isRetired_ = false;
  std::vector<std::shared_ptr<BackendConnection>> connections_;
  std::vector<std::shared_ptr<BackendConnection>> idle_;
  std::deque<std::unique_ptr<Attempt>> waiting_;
  size_t connectingCount_ = 0;
  /// Attempts on the wire, given-up ones included.
  uint32_t activeAttempts_ = 0;
  TimePoint nextConnectAt_{};
  milliseconds connectPause_;
};

} // namespace foxtail

#endif // BACKEND_BACKENDCONNECTIONPOOL_H
