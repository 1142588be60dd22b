#include "status/AnnouncementReceiver.h"

#include "core/Log.h"

namespace foxtail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kLeaseCheckInterval{ 100 };
/// Delay that lets one table cover several changes.
constexpr milliseconds kPublishDelay{ 5 };

prometheus::Counter& VerdictCounter(Metrics& aMetrics,
                                    AnnouncementVerdict aVerdict)
{
  return aMetrics.Counter("foxtail_announcements_total",
                          "Announcements heard, by verdict.",
                          { { "verdict", std::string(NameOf(aVerdict)) } });
}

} // namespace

AnnouncementReceiver::AnnouncementReceiver(
  AnnouncementRegistrySettings aSettings,
  asio::io_context& aContext,
  Metrics& aMetrics,
  RoutingListener& aRouting)
  : registry_(aSettings)
  , context_(aContext)
  , leaseTimer_(aContext)
  , publishTimer_(aContext)
  , routing_(aRouting)
  , changed_(VerdictCounter(aMetrics, AnnouncementVerdict::Changed))
  , renewed_(VerdictCounter(aMetrics, AnnouncementVerdict::Renewed))
  , stale_(VerdictCounter(aMetrics, AnnouncementVerdict::Stale))
  , expired_(aMetrics.Counter("foxtail_announcements_expired_total",
                              "Backend servers removed after their lease."))
  , servers_(aMetrics.Gauge("foxtail_backend_servers",
                            "Backend servers with a lease."))
{
}

void AnnouncementReceiver::Start()
{
  ArmTimer();
}

AnnouncementCounts AnnouncementReceiver::ApplyFromServer(
  std::span<const Announcement> aAnnouncements,
  TimePoint aNow)
{
  return Apply(aAnnouncements, aNow, listener_);
}

AnnouncementCounts AnnouncementReceiver::ApplyFromPeer(
  std::span<const Announcement> aAnnouncements,
  TimePoint aNow)
{
  return Apply(aAnnouncements, aNow, nullptr);
}

void AnnouncementReceiver::RenewFromPeer(
  std::span<const Announcement> aAnnouncements,
  TimePoint aNow)
{
  for (const Announcement& announcement : aAnnouncements) {
    const AnnouncementVerdict verdict =
      registry_.RenewFromPeer(announcement, aNow);
    if (verdict == AnnouncementVerdict::Stale) {
      continue;
    }
    if (verdict == AnnouncementVerdict::Changed) {
      changed_.Increment();
      LogChange(announcement);
      SchedulePublish();
    }
    routing_.OnAnnouncementReceived(announcement.server_, aNow);
  }
}

void AnnouncementReceiver::WithdrawFromPeer(const BackendId& aServer,
                                            Incarnation aIncarnation,
                                            uint64_t aSequence,
                                            TimePoint aNow)
{
  if (registry_.Withdraw(aServer, aIncarnation, aSequence, aNow)) {
    expired_.Increment();
    SchedulePublish();
  }
}

AnnouncementCounts AnnouncementReceiver::Apply(
  std::span<const Announcement> aAnnouncements,
  TimePoint aNow,
  AnnouncementListener* aListener)
{
  AnnouncementCounts counts;
  for (const Announcement& announcement : aAnnouncements) {
    const AnnouncementVerdict verdict = registry_.Apply(announcement, aNow);
    switch (verdict) {
      case AnnouncementVerdict::Changed:
        changed_.Increment();
        LogChange(announcement);
        SchedulePublish();
        break;
      case AnnouncementVerdict::Renewed:
        renewed_.Increment();
        break;
      case AnnouncementVerdict::Stale:
        stale_.Increment();
        ++counts.stale_;
        continue;
    }
    ++counts.accepted_;
    routing_.OnAnnouncementReceived(announcement.server_, aNow);
    if (aListener != nullptr) {
      aListener->OnAnnouncement(announcement, verdict);
    }
  }
  return counts;
}

void AnnouncementReceiver::LogChange(const Announcement& aAnnouncement) const
{
  LogLine(LogLevel::Info, "backend_announced")
    .Add("server", aAnnouncement.server_)
    .Add("service", aAnnouncement.service_)
    .Add("catalogue", aAnnouncement.catalogue_)
    .Add("index_version", aAnnouncement.version_)
    .Add("shard", aAnnouncement.shard_)
    .Add("shards", aAnnouncement.shardCount_)
    .Add("zone", aAnnouncement.zone_)
    .Add("state", NameOf(aAnnouncement.state_));
}

void AnnouncementReceiver::SchedulePublish()
{
  if (isPublishScheduled_) {
    return;
  }
  isPublishScheduled_ = true;
  publishTimer_.expires_after(kPublishDelay);
  publishTimer_.async_wait([this](const boost::system::error_code& aError) {
    isPublishScheduled_ = false;
    if (!aError) {
      servers_.Set(static_cast<double>(registry_.Size()));
      routing_.OnRoutingTable(registry_.MakeTable(), Now());
    }
  });
}

void AnnouncementReceiver::ArmTimer()
{
  leaseTimer_.expires_after(kLeaseCheckInterval);
  leaseTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const auto expired = registry_.Expire(Now());
    for (const BackendId& server : expired) {
      expired_.Increment();
      LogLine(LogLevel::Warning, "backend_expired")
        .Add("server", server)
        .Add("reason", "lease_over");
    }
    if (!expired.empty()) {
      SchedulePublish();
    }
    routing_.OnTick(Now());
    ArmTimer();
  });
}

} // namespace foxtail
