#include "forward/BackendPoolSet.h"

#include "core/Log.h"
#include "core/Metrics.h"
#include "forward/RouteTable.h"
#include "instance/Endpoint.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Connections to a server whose service is not in the document.
constexpr uint32_t kUnknownServiceMaxConnections = 1;

} // namespace

BackendPoolSet::BackendPoolSet(boost::asio::io_context& aContext,
                               const ForwardSettings& aSettings,
                               const HeaderNames& aHeaderNames,
                               Metrics& aMetrics,
                               uint64_t aSeed)
  : context_(aContext)
  , settings_(aSettings)
  , headerNames_(aHeaderNames)
  , shared_{ ServerConnectionPoolMetrics(aMetrics),
             ReplyMemory(aSettings.replyMemory_),
             {},
             CrashMonitor(aMetrics),
             RandomSource(aSeed + 1) }
  , random_(aSeed)
{
}

void BackendPoolSet::Update(const ServerDirectory& aDirectory, TimePoint aNow)
{
  // The servers of the first directory are in use at other instances.
  const bool isInUse = !byId_.empty();
  std::vector<std::shared_ptr<ServerConnectionPool>> removed;
  for (const auto& [id, pool] : byId_) {
    const ServerRecord* row = aDirectory.Find(id);
    const bool isSameProcess =
      row != nullptr && row->announcement_.phase_ != ServerPhase::Gone &&
      row->announcement_.startedAtMs_ == pool->Announcement().startedAtMs_ &&
      row->announcement_.address_ == pool->Announcement().address_ &&
      row->announcement_.service_ == pool->Announcement().service_;
    if (!isSameProcess) {
      removed.push_back(pool);
    }
  }
  for (const auto& pool : removed) {
    Remove(pool, aNow);
  }
  for (const auto& [id, row] : aDirectory.Rows()) {
    if (row.announcement_.phase_ == ServerPhase::Gone) {
      continue;
    }
    const auto found = byId_.find(id);
    const bool isNew = found == byId_.end();
    const bool isChanged =
      isNew ||
      found->second->Announcement().sequence_ != row.announcement_.sequence_ ||
      found->second->Announcement().isLeaving_ != row.announcement_.isLeaving_;
    if (!isChanged) {
      continue;
    }
    ServerAnnouncement announcement = row.announcement_;
    announcement.warmupLeft_ = std::max(
      milliseconds(0), duration_cast<milliseconds>(row.WarmupEndsAt() - aNow));
    if (isNew) {
      Add(announcement, isInUse, aNow);
    } else {
      found->second->Update(announcement, aNow);
      found->second->SetEvacuated(evacuatedZones_.contains(announcement.zone_),
                                  aNow);
    }
  }
}

void BackendPoolSet::SetEvacuatedZones(std::set<ZoneName> aZones,
                                       TimePoint aNow)
{
  evacuatedZones_ = std::move(aZones);
  for (const auto& [id, pool] : byId_) {
    pool->SetEvacuated(evacuatedZones_.contains(pool->Announcement().zone_),
                       aNow);
  }
}

void BackendPoolSet::DistributeConnections(const RouteTable& aTable,
                                           uint32_t aInstances,
                                           TimePoint aNow)
{
  shared_.hasTeams_ = aTable.Teams() != nullptr;
  maxConnectionsByService_.clear();
  coldRateByService_.clear();
  pacedServices_.clear();
  for (const RoutedService& service : aTable.Document().services_) {
    const double maxConnections =
      settings_.serverConnections_.connectionShare_ * service.maxConnections_ /
      std::max<uint32_t>(aInstances, 1);
    maxConnectionsByService_[service.name_] =
      std::max<uint32_t>(1, static_cast<uint32_t>(maxConnections));
    if (service.warmupPerSecond_ > 0) {
      coldRateByService_[service.name_] = service.warmupPerSecond_;
    }
    if (service.warmup_ > milliseconds::zero()) {
      pacedServices_.insert(service.name_);
    }
  }
  for (const auto& [service, pools] : byService_) {
    const auto found = maxConnectionsByService_.find(service);
    for (const auto& pool : pools) {
      pool->SetMaxConnections(found == maxConnectionsByService_.end()
                                ? kUnknownServiceMaxConnections
                                : found->second);
      pool->SetColdRate(ColdRateOf(service), aNow);
      pool->SetPaced(pacedServices_.contains(service));
    }
  }
}

double BackendPoolSet::ColdRateOf(const ServiceName& aService) const
{
  const auto found = coldRateByService_.find(aService);
  return found == coldRateByService_.end() ? 0 : found->second;
}

void BackendPoolSet::SetInstances(uint32_t aInstances, TimePoint aNow)
{
  instances_ = aInstances;
  for (const auto& [id, pool] : byId_) {
    pool->SetInstances(instances_, aNow);
  }
}

std::optional<PoolChoice> BackendPoolSet::Choose(const ServiceName& aService,
                                                 const RegionFilter& aRegions,
                                                 const PoolList& aTried,
                                                 Duration aServerTime,
                                                 double aBudgetUsed,
                                                 TimePoint aLatestSendAt,
                                                 TimePoint aNow)
{
  const auto found = byService_.find(aService);
  if (found == byService_.end()) {
    return std::nullopt;
  }
  absl::InlinedVector<ReplicaCandidate, 12> states;
  absl::InlinedVector<const std::shared_ptr<ServerConnectionPool>*, 12> pools;
  for (const auto& pool : found->second) {
    if (IsUsable(*pool, aRegions) && !pool->IsRefusing(aNow) &&
        pool->NextPermitAt(aNow) <= aLatestSendAt &&
        std::find(aTried.begin(), aTried.end(), pool.get()) == aTried.end()) {
      states.push_back(pool->State(aNow));
      pools.push_back(&pool);
    }
  }
  // Servers whose share leaves this request to others are left out, unless that
  // leaves none.
  size_t considered = 0;
  for (size_t i = 0; i < pools.size(); ++i) {
    const double share = (*pools[i])->PaceShare(aNow);
    if (share >= 1 || random_.NextDouble() < share) {
      std::swap(states[considered], states[i]);
      std::swap(pools[considered], pools[i]);
      ++considered;
    }
  }
  if (considered > 0) {
    states.resize(considered);
    pools.resize(considered);
  }
  const auto choice =
    ChooseByLatency(settings_.rank_, states, aServerTime, aBudgetUsed, random_);
  if (!choice) {
    return std::nullopt;
  }
  const auto& pool = *pools[choice->index_];
  return PoolChoice{ pool, pool->NextPermitAt(aNow), choice->predicted_ };
}

std::optional<TimePoint> BackendPoolSet::EarliestSendAt(
  const ServiceName& aService,
  const RegionFilter& aRegions,
  TimePoint aNow) const
{
  std::optional<TimePoint> earliest;
  const auto found = byService_.find(aService);
  if (found == byService_.end()) {
    return earliest;
  }
  for (const auto& pool : found->second) {
    if (IsUsable(*pool, aRegions)) {
      const TimePoint sendAt = pool->NextPermitAt(aNow);
      earliest = std::min(earliest.value_or(sendAt), sendAt);
    }
  }
  return earliest;
}

std::optional<TimePoint> BackendPoolSet::RefusedUntil(
  const ServiceName& aService,
  const RegionFilter& aRegions,
  TimePoint aNow) const
{
  std::optional<TimePoint> earliest;
  const auto found = byService_.find(aService);
  if (found == byService_.end()) {
    return earliest;
  }
  for (const auto& pool : found->second) {
    if (!IsUsable(*pool, aRegions)) {
      continue;
    }
    if (!pool->IsRefusing(aNow)) {
      return std::nullopt;
    }
    earliest =
      std::min(earliest.value_or(TimePoint::max()), pool->RefusedUntil());
  }
  return earliest;
}

bool BackendPoolSet::HasAvailableServer(const ServiceName& aService,
                                        const RegionFilter& aRegions) const
{
  const auto found = byService_.find(aService);
  return found != byService_.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const auto& aPool) {
             return IsUsable(*aPool, aRegions);
           });
}

bool BackendPoolSet::IsUsable(const ServerConnectionPool& aPool,
                              const RegionFilter& aRegions) const
{
  return aPool.AcceptsRequests() &&
         (aRegions.AllowsAll() || aRegions.Allows(settings_.zones_.RegionOf(
                                    aPool.Announcement().zone_)));
}

void BackendPoolSet::OnSharedSlowServers(
  const std::vector<SlowServer>& aServers)
{
  for (const SlowServer& server : aServers) {
    if (const auto found = byId_.find(server.server_); found != byId_.end()) {
      found->second->OnSharedSlowness(server.ratio_, server.sentAt_);
    }
  }
}

void BackendPoolSet::CheckTimeouts(TimePoint aNow)
{
  for (const auto& [id, pool] : byId_) {
    pool->CheckTimeouts(aNow);
  }
  for (const auto& pool : retired_) {
    pool->CheckTimeouts(aNow);
  }
  std::erase_if(retired_, [](const auto& aPool) { return aPool->IsEmpty(); });
}

void BackendPoolSet::Add(const ServerAnnouncement& aAnnouncement,
                         bool aHasStarted,
                         TimePoint aNow)
{
  const auto endpoint = ToEndpoint(aAnnouncement.address_);
  if (!endpoint) {
    LogLine(LogLevel::Warning, "server_address_unreadable")
      .Add("server", aAnnouncement.id_)
      .Add("address", aAnnouncement.address_);
    return;
  }
  auto pool = std::make_shared<ServerConnectionPool>(
    context_,
    settings_.serverConnections_,
    headerNames_,
    shared_,
    settings_.coldServers_,
    settings_.pace_,
    aAnnouncement,
    *endpoint,
    settings_.zones_.DistanceTo(aAnnouncement.zone_),
    aNow);
  const auto maxConnections =
    maxConnectionsByService_.find(aAnnouncement.service_);
  pool->SetMaxConnections(maxConnections == maxConnectionsByService_.end()
                            ? kUnknownServiceMaxConnections
                            : maxConnections->second);
  pool->SetInstances(instances_, aNow);
  pool->SetColdRate(ColdRateOf(aAnnouncement.service_), aNow);
  pool->SetPaced(pacedServices_.contains(aAnnouncement.service_));
  pool->SetEvacuated(evacuatedZones_.contains(aAnnouncement.zone_), aNow);
  if (aHasStarted) {
    pool->BeginPace(aNow);
  }
  byService_[aAnnouncement.service_].push_back(pool);
  byId_[aAnnouncement.id_] = std::move(pool);
}

void BackendPoolSet::Remove(const std::shared_ptr<ServerConnectionPool>& aPool,
                            TimePoint aNow)
{
  const ServerAnnouncement& announcement = aPool->Announcement();
  std::erase(byService_[announcement.service_], aPool);
  if (byService_[announcement.service_].empty()) {
    byService_.erase(announcement.service_);
  }
  aPool->Retire(aNow);
  if (!aPool->IsEmpty()) {
    retired_.push_back(aPool);
  }
  byId_.erase(announcement.id_);
}

} // namespace foxtail
