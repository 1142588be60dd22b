#ifndef INSTANCE_ANNOUNCEMENTSPREADSERVICE_H
#define INSTANCE_ANNOUNCEMENTSPREADSERVICE_H

#include "core/Metrics.h"
#include "instance/AnnouncementSpreadState.h"
#include "instance/FrameTransport.h"

#include <memory>
#include <span>

namespace foxtail {

/// Receives updates of backend servers from other instances. Called on the
/// service's worker.
class AnnouncementSink
{
public:
  virtual ~AnnouncementSink() = default;
  /// New servers, and servers whose announced content has changed.
  virtual void OnChanged(std::span<const Announcement> aAnnouncements) = 0;
  /// Servers whose lease their owners still hold; called at intervals.
  virtual void OnRenewed(std::span<const Announcement> aAnnouncements) = 0;
  /// Servers whose lease has expired, or that have deregistered.
  virtual void OnWithdrawn(std::span<const Withdrawal> aWithdrawals) = 0;
};

/// Runs an AnnouncementSpreadState over a FrameTransport. Thread safe; the
/// state is used on worker 0 of the pool only.
class AnnouncementSpreadService
{
public:
  AnnouncementSpreadService(AnnouncementSpreadSettings aSettings,
                            InstanceId aSelf,
                            ZoneName aZone,
                            FrameTransport& aTransport,
                            WorkerPool& aWorkers);
  ~AnnouncementSpreadService();
  AnnouncementSpreadService(const AnnouncementSpreadService&) = delete;
  AnnouncementSpreadService& operator=(const AnnouncementSpreadService&) =
    delete;

  /// @param aSink may be null; it must outlive the worker. Call before Start().
  void SetSink(AnnouncementSink* aSink);
  /// Registers the handler of AnnouncementSpread frames. Call before
  /// FrameTransport::Start().
  void Attach();
  /// @param aEndpoint frame endpoint of this instance.
  void Start(std::string aEndpoint);
  void Stop();

  /// Sets the instances that are alive.
  void SetView(std::shared_ptr<const MembershipView> aView);
  /// Disseminates an announcement that a backend server sent to this instance.
  void OnServerAnnouncement(const Announcement& aAnnouncement);

  /// Exports the number of servers known and of leases held by this instance.
  void Export(Metrics& aMetrics) const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_ANNOUNCEMENTSPREADSERVICE_H
