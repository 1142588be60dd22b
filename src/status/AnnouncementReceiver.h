#ifndef STATUS_ANNOUNCEMENTRECEIVER_H
#define STATUS_ANNOUNCEMENTRECEIVER_H

#include "core/Metrics.h"
#include "policy/AnnouncementRegistry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <span>

namespace foxtail {

/// Receives each accepted announcement that a backend server sent to this
/// instance, to forward it to other instances.
class AnnouncementListener
{
public:
  virtual ~AnnouncementListener() = default;
  virtual void OnAnnouncement(const Announcement& aAnnouncement,
                              AnnouncementVerdict aVerdict) = 0;
};

/// Receives routing tables and announcement events, on the receiver's thread.
class RoutingListener
{
public:
  virtual ~RoutingListener() = default;
  /// Called when the table has changed.
  virtual void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable,
                              TimePoint aNow) = 0;
  /// Called for each announcement or renewal accepted; the table may be
  /// unchanged.
  virtual void OnAnnouncementReceived(const BackendId& aServer,
                                      TimePoint aNow) = 0;
  /// Called every 100 ms.
  virtual void OnTick(TimePoint aNow) = 0;
};

/// Counts of one batch of announcements.
struct AnnouncementCounts
{
  size_t accepted_ = 0;
  size_t stale_ = 0;
};

/// Owns the announcement registry, expires leases and publishes a routing
/// table after changes. Every method is called from the thread of its context,
/// except Start().
class AnnouncementReceiver
{
public:
  AnnouncementReceiver(AnnouncementRegistrySettings aSettings,
                       boost::asio::io_context& aContext,
                       Metrics& aMetrics,
                       RoutingListener& aRouting);

  /// Starts the lease timer. Call before the context runs.
  void Start();

  /// @param aListener may be null; it must outlive the receiver.
  void SetListener(AnnouncementListener* aListener) { listener_ = aListener; }

  /// Applies announcements that a backend server sent to this instance.
  AnnouncementCounts ApplyFromServer(
    std::span<const Announcement> aAnnouncements,
    TimePoint aNow);

  /// Applies announcements forwarded by another instance, without notifying the
  /// listener.
  AnnouncementCounts ApplyFromPeer(std::span<const Announcement> aAnnouncements,
                                   TimePoint aNow);

  /// Renews leases that other instances hold and report as live.
  void RenewFromPeer(std::span<const Announcement> aAnnouncements,
                     TimePoint aNow);

  /// Removes a server whose lease expired at the instances that hold it, unless
  /// a later announcement was received.
  void WithdrawFromPeer(const BackendId& aServer,
                        Incarnation aIncarnation,
                        uint64_t aSequence,
                        TimePoint aNow);

  boost::asio::io_context& Context() { return context_; }

private:
  AnnouncementCounts Apply(std::span<const Announcement> aAnnouncements,
                           TimePoint aNow,
                           AnnouncementListener* aListener);
  void LogChange(const Announcement& aAnnouncement) const;
  void ArmTimer();
  void SchedulePublish();

  AnnouncementRegistry registry_;
  boost::asio::io_context& context_;
  boost::asio::steady_timer leaseTimer_;
  boost::asio::steady_timer publishTimer_;
  bool isPublishScheduled_ = false;
  RoutingListener& routing_;
  AnnouncementListener* listener_ = nullptr;
  prometheus::Counter& changed_;
  prometheus::Counter& renewed_;
  prometheus::Counter& stale_;
  prometheus::Counter& expired_;
  prometheus::Gauge& servers_;
};

} // namespace foxtail

#endif // STATUS_ANNOUNCEMENTRECEIVER_H
