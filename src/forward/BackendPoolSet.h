#ifndef FORWARD_BACKENDPOOLSET_H
#define FORWARD_BACKENDPOOLSET_H

#include "forward/ServerConnectionPool.h"
#include "team/RegionFilter.h"

#include <absl/container/inlined_vector.h>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace foxtail {

class Metrics;
class RouteTable;

/// Pool of the backend server selected for one attempt, with its predicted
/// latency.
struct PoolChoice
{
  std::shared_ptr<ServerConnectionPool> pool_;
  /// When the attempt may be sent under the server's rate limit.
  TimePoint sendAt_{};
  Duration predicted_{};
};

using PoolList = absl::InlinedVector<const ServerConnectionPool*, 4>;

/// Connection pools of all announced backend servers, grouped by service. Not
/// thread-safe.
class BackendPoolSet
{
public:
  BackendPoolSet(boost::asio::io_context& aContext,
                 const ForwardSettings& aSettings,
                 const HeaderNames& aHeaderNames,
                 Metrics& aMetrics,
                 uint64_t aSeed);

  /// Applies the servers of a directory: creates pools for new servers and
  /// retires the pools of servers that were removed, were restarted, or changed
  /// their address or service.
  void Update(const ServerDirectory& aDirectory, TimePoint aNow);

  /// Sets the zones whose servers accept no requests.
  void SetEvacuatedZones(std::set<ZoneName> aZones, TimePoint aNow);

  /// Applies a document: sets the limits on this instance's connections to each
  /// server, the rates that cold servers tolerate, and whether the document has
  /// teams.
  ///
  /// @param aInstances number of instances that share a server's connections,
  /// at least 1.
  void DistributeConnections(const RouteTable& aTable,
                             uint32_t aInstances,
                             TimePoint aNow);

  /// Sets the number of instances that share the servers' rate limits, at least
  /// 1.
  void SetInstances(uint32_t aInstances, TimePoint aNow);

  /// Chooses the server of a service with the lowest predicted latency for an
  /// attempt.
  ///
  /// @param aRegions regions of the servers that may receive the request.
  /// @param aTried pools that are excluded.
  /// @param aServerTime usual server time of the request.
  /// @param aBudgetUsed used share of the budget of extra attempts, 0 to 1.
  /// @param aLatestSendAt servers whose rate limit allows the attempt later
  /// than this are excluded.
  /// @return nothing when no other server of the service accepts requests in
  /// time.
  std::optional<PoolChoice> Choose(const ServiceName& aService,
                                   const RegionFilter& aRegions,
                                   const PoolList& aTried,
                                   Duration aServerTime,
                                   double aBudgetUsed,
                                   TimePoint aLatestSendAt,
                                   TimePoint aNow);

  /// @return the earliest time at which a server of the service in the allowed
  /// regions accepts a request under its rate limit, or nothing when no server
  /// accepts requests.
  std::optional<TimePoint> EarliestSendAt(const ServiceName& aService,
                                          const RegionFilter& aRegions,
                                          TimePoint aNow) const;

  /// @return the earliest end of the times that the servers of the service in
  /// the allowed regions have stated, if each of them that is in use accepts no
  /// requests at present.
  std::optional<TimePoint> RefusedUntil(const ServiceName& aService,
                                        const RegionFilter& aRegions,
                                        TimePoint aNow) const;

  /// @return whether any server of the service in the allowed regions accepts
  /// requests.
  bool HasAvailableServer(const ServiceName& aService,
                          const RegionFilter& aRegions) const;

  /// Takes servers that several instances found slow.
  void OnSharedSlowServers(const std::vector<SlowServer>& aServers);
  /// Sets the function that receives the servers that this instance finds slow.
  void OnSlowServer(SlowServerReporter::Callback aCallback)
  {
    shared_.slowServers_.SetCallback(std::move(aCallback));
  }

  /// Sets the function that receives the processes whose replies state that
  /// they are leaving.
  void OnServerLeaving(
    std::function<void(const BackendId&, uint64_t aStartedAtMs)> aCallback)
  {
    shared_.onLeaving_ = std::move(aCallback);
  }

  /// @return which requests are not sent as they crash backend servers.
  CrashMonitor& Crashes() { return shared_.crashes_; }

  void CheckTimeouts(TimePoint aNow);

  size_t Size() const { return byId_.size(); }
  /// @return the number of requests written so far to servers at a distance.
  uint64_t Sent(ZoneDistance aDistance) const
  {
    return static_cast<uint64_t>(
      shared_.metrics_.sent_[static_cast<size_t>(aDistance)]->Value());
  }

private:
  /// @return whether a server accepts requests and is in the allowed regions.
  bool IsUsable(const ServerConnectionPool& aPool,
                const RegionFilter& aRegions) const;
  /// @param aHasStarted whether the server appeared while this instance was in
  /// use.
  void Add(const ServerAnnouncement& aAnnouncement,
           bool aHasStarted,
           TimePoint aNow);
  /// @return the rate that cold servers of a service tolerate; 0 when any.
  double ColdRateOf(const ServiceName& aService) const;
  void Remove(const std::shared_ptr<ServerConnectionPool>& aPool,
              TimePoint aNow);

  boost::asio::io_context& context_;
  const ForwardSettings& settings_;
  const HeaderNames& headerNames_;
  ServerConnectionPoolContext shared_;
  RandomSource random_;
  std::unordered_map<BackendId, std::shared_ptr<ServerConnectionPool>> byId_;
  std::unordered_map<ServiceName,
                     std::vector<std::shared_ptr<ServerConnectionPool>>>
    byService_;
  /// Pools of removed servers, kept until their last exchange has finished.
  std::vector<std::shared_ptr<ServerConnectionPool>> retired_;
  std::unordered_map<ServiceName, uint32_t> maxConnectionsByService_;
  /// Rates that cold servers tolerate, where the document states one.
  std::unordered_map<ServiceName, double> coldRateByService_;
  /// Services whose document states a warm-up time.
  std::unordered_set<ServiceName> pacedServices_;
  std::set<ZoneName> evacuatedZones_;
  uint32_t instances_ = 1;
};

} // namespace foxtail

#endif // FORWARD_BACKENDPOOLSET_H
