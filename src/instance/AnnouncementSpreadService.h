#ifndef INSTANCE_ANNOUNCEMENTSPREADSERVICE_H
#define INSTANCE_ANNOUNCEMENTSPREADSERVICE_H

#include "core/Metrics.h"
#include "instance/AnnouncementSpreadState.h"
#include "instance/FrameTransport.h"

#include <memory>
#include <span>

namespace foxtail {

/// Takes what other instances say of backend servers. Called on the service's
/// worker.
class AnnouncementSink
{
public:
  virtual ~AnnouncementSink() = default;
  /// News of servers.
  virtual void OnChanged(std::span<const Announcement> aAnnouncements) = 0;
  /// Servers whose lease holds by the word of its holders.
  virtual void OnRenewed(std::span<const Announcement> aAnnouncements) = 0;
  /// Servers whose lease ran out.
  virtual void OnWithdrawn(std::span<const Withdrawal> aWithdrawals) = 0;
};

/// Runs AnnouncementSpreadState over a FrameTransport. Thread safe; the state
/// itself is used on worker 0 of the pool only.
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
  /// Registers the frames' handler; call before FrameTransport::Start().
  void Attach();
  /// @param aEndpoint endpoint of frames of this instance.
  void Start(std::string aEndpoint);
  void Stop();

  /// Takes the instances that are alive.
  void SetView(std::shared_ptr<const MembershipView> aView);
  /// Passes on an announcement that a backend server sent to this instance.
  void OnServerAnnouncement(const Announcement& aAnnouncement);

  /// Exports the servers known and the leases held here.
  void Export(Metrics& aMetrics) const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace foxtail

#endif // INSTANCE_ANNOUNCEMENTSPREADSERVICE_H
