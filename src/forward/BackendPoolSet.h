#ifndef FORWARD_BACKENDPOOLSET_H
#define FORWARD_BACKENDPOOLSET_H

#include "forward/ServerConnectionPool.h"

#include <absl/container/inlined_vector.h>
#include <span>
#include <unordered_map>

namespace foxtail {

class Metrics;
class RouteTable;

/// A choice of a backend server for one attempt.
struct PoolChoice
{
  std::shared_ptr<ServerConnectionPool> pool_;
  Duration predicted_{};
};

using PoolList = absl::InlinedVector<const ServerConnectionPool*, 4>;

/// The pools of all announced backend servers, by service. One thread's.
class BackendPoolSet
{
public:
  BackendPoolSet(boost::asio::io_context& aContext,
                 const ForwardSettings& aSettings,
                 const HeaderNames& aHeaderNames,
                 Metrics& aMetrics,
                 uint64_t aSeed);

  /// Takes the servers of a directory: new ones get a pool, the pools of those
  /// that are gone or began again are retired.
  void Update(const ServerDirectory& aDirectory, TimePoint aNow);

  /// Sets how many connections to each server this instance may have.
  ///
  /// @param aInstances that share them, at least 1.
  void DistributeConnections(const RouteTable& aTable, uint32_t aInstances);

  /// Chooses a server of a service for an attempt.
  ///
  /// @param aTried pools that are not chosen again.
  /// @param aServerTime usual time of the work at a free server.
  /// @param aBudgetUsed used part of the budget of second attempts, 0 to 1.
  std::optional<PoolChoice> Choose(const ServiceName& aService,
                                   const PoolList& aTried,
                                   Duration aServerTime,
                                   double aBudgetUsed,
                                   TimePoint aNow);

  /// @return whether some server of the service may take work.
  bool HasAvailableServer(const ServiceName& aService) const;

  void CheckTimeouts(TimePoint aNow);

  size_t Size() const { return byId_.size(); }
  /// @return requests written so far to servers at a distance.
  uint64_t Sent(ZoneDistance aDistance) const
  {
    return static_cast<uint64_t>(
      metrics_.sent_[static_cast<size_t>(aDistance)]->Value());
  }

private:
  void Add(const ServerAnnouncement& aAnnouncement, TimePoint aNow);
  void Remove(const std::shared_ptr<ServerConnectionPool>& aPool,
              TimePoint aNow);

  boost::asio::io_context& context_;
  const ForwardSettings& settings_;
  const HeaderNames& headerNames_;
  ServerConnectionPoolMetrics metrics_;
  RandomSource random_;
  std::unordered_map<BackendId, std::shared_ptr<ServerConnectionPool>> byId_;
  std::unordered_map<ServiceName,
                     std::vector<std::shared_ptr<ServerConnectionPool>>>
    byService_;
  /// Pools of servers that left, until their last exchange has ended.
  std::vector<std::shared_ptr<ServerConnectionPool>> retired_;
  std::unordered_map<ServiceName, uint32_t> maxConnectionsByService_;
};

} // namespace foxtail

#endif // FORWARD_BACKENDPOOLSET_H
