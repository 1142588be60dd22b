#ifndef BACKEND_BACKENDFLEET_H
#define BACKEND_BACKENDFLEET_H

#include "backend/Attempt.h"
#include "backend/BackendMetrics.h"
#include "backend/BackendServer.h"
#include "backend/BackendSettings.h"
#include "backend/FleetView.h"
#include "backend/Mailbox.h"
#include "core/Metrics.h"
#include "core/RcuCell.h"
#include "core/WorkerPool.h"
#include "policy/PolicySettings.h"
#include "policy/SnapshotChooser.h"
#include "policy/ZoneMap.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace foxtail {

/// Manages the announced backend servers and this instance's connections to
/// them. Each server is owned by one worker of the pool; attempts are passed to
/// that worker and returned with their results.
///
/// Update(), SetZones(), Refresh() and OnAnnouncementReceived() are called from
/// one thread; Dispatch() and Cancel() from workers of the pool; the rest is
/// thread safe. The pool must be stopped before the fleet is destroyed.
class BackendFleet
{
public:
  /// @param aInstance this instance's name among those that share the servers.
  BackendFleet(InstanceId aInstance,
               BackendSettings aSettings,
               PolicySettings aPolicy,
               WorkerPool& aWorkers,
               Metrics& aMetrics);
  ~BackendFleet();
  BackendFleet(const BackendFleet&) = delete;
  BackendFleet& operator=(const BackendFleet&) = delete;

  /// Starts the workers' timers. Call before the pool starts.
  void Start(TimePoint aNow);

  /// Applies a new routing table: opens connections to new servers, retires
  /// servers that left, chooses the snapshots and publishes the view.
  void Update(std::shared_ptr<const RoutingTable> aTable, TimePoint aNow);

  /// Sets the distances of the availability zones from this instance's own.
  void SetZones(ZoneMap aZones, TimePoint aNow);

  /// Chooses the snapshots again, as the choice depends on time and on the
  /// state of the servers. Call every 100 ms.
  void Refresh(TimePoint aNow);

  /// Called for each announcement received from a server, renewals included.
  void OnAnnouncementReceived(const BackendId& aServer, TimePoint aNow);

  /// Sets the live entry instances that share each server's connections, this
  /// one included. Until the first call this instance counts as the only one.
  /// The share of a lost instance stays unused for lost_hold_ms: the instance
  /// may be partitioned from its peers and still hold its connections. Called
  /// from one thread.
  void SetInstances(std::vector<InstanceId> aInstances);

  const RcuCell<FleetView>& View() const { return view_; }
  const PolicySettings& Policy() const { return policy_; }

  /// Sends attempts. Each is returned to its listener exactly once, never from
  /// within this call.
  ///
  /// @param aOrigin the calling worker's index.
  void Dispatch(size_t aOrigin,
                std::vector<std::unique_ptr<Attempt>> aAttempts);

  /// Abandons an attempt that was dispatched; it is still returned to its
  /// listener.
  ///
  /// @param aOrigin the calling worker's index.
  /// @param aFailure failure to count against the server if the attempt was
  /// sent; none when the cancel is not evidence of a failure.
  void Cancel(size_t aOrigin,
              const std::shared_ptr<BackendServer>& aServer,
              AttemptId aId,
              std::optional<FailureKind> aFailure);

private:
  struct Worker;

  /// The instances that share the servers' connections.
  struct SharingInstances
  {
    std::vector<InstanceId> instances_;
    /// Minimum of Count() until heldUntil_, lost instances included.
    uint32_t heldCount_ = 0;
    TimePoint heldUntil_{};

    uint32_t Count(TimePoint aNow) const
    {
      const auto live = static_cast<uint32_t>(instances_.size());
      return aNow < heldUntil_ ? std::max(live, heldCount_) : live;
    }
  };

  /// State of a server that is kept between updates.
  struct ServerRecord
  {
    std::shared_ptr<BackendServer> server_;
    std::shared_ptr<const RoutedReplica> replica_;
  };

  std::shared_ptr<const RoutedReplica> UpdateReplica(const Replica& aReplica);
  std::shared_ptr<BackendServer> MakeServer(const Announcement& aAnnouncement);
  /// Notifies the owning worker of a new or changed server.
  void PostToOwner(std::shared_ptr<const RoutedReplica> aReplica);
  void RetireServer(std::shared_ptr<BackendServer> aServer);
  void ChooseSnapshots(FleetView& aView, TimePoint aNow);
  /// @return for each replica 1 if it is ejected or draining or has no usable
  /// address, else 0; its lease may last for seconds more.
  std::vector<uint8_t> FindUnreachable(const FleetView& aView,
                                       TimePoint aNow) const;
  bool TakesWork(const RoutedReplica& aReplica, TimePoint aNow) const;
  void LogChoices(const FleetView& aView) const;
  BackendConnectionPool& GetOrCreateConnections(
    const std::shared_ptr<const RoutedReplica>& aReplica);
  void StartOnOwner(std::unique_ptr<Attempt> aAttempt);
  void CancelOnOwner(const CancelMessage& aMessage);
  void ReturnToOrigin(size_t aOwner, std::unique_ptr<Attempt> aAttempt);
  void Wake(size_t aWorker);
  void ProcessMessages(size_t aWorker);
  void ArmTick(size_t aWorker);
  void Tick(size_t aWorker, TimePoint aNow);
  void UpdateShares(Worker& aWorker, TimePoint aNow);

  const InstanceId instance_;
  const BackendSettings settings_;
  const PolicySettings policy_;
  WorkerPool& workers_;
  BackendMetrics metrics_;
  SnapshotChooser snapshots_;
  /// Result of FindUnreachable() for the last choice of snapshots.
  std::vector<uint8_t> unreachable_;
  RcuCell<FleetView> view_;
  RcuCell<SharingInstances> sharing_;
  ZoneMap zones_;
  std::map<BackendId, ServerRecord> records_;
  std::vector<std::unique_ptr<Worker>> perWorker_;
  TimePoint startedAt_{};
};

} // namespace foxtail

#endif // BACKEND_BACKENDFLEET_H
