#ifndef FORWARD_SERVERCONNECTIONPOOL_H
#define FORWARD_SERVERCONNECTIONPOOL_H

#include "core/RandomSource.h"
#include "forward/CrashMonitor.h"
#include "forward/ServerConnection.h"
#include "policy/ColdServerLimit.h"
#include "policy/CrashDetector.h"
#include "policy/LatencyPredictor.h"
#include "policy/RateLimitShare.h"
#include "policy/ServerDirectory.h"
#include "policy/ServerPace.h"
#include "policy/ServerRefusal.h"
#include "policy/SlowServerReporter.h"
#include "policy/SlownessEstimator.h"
#include "policy/ZoneMap.h"

#include <deque>
#include <functional>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <set>

namespace foxtail {

class Metrics;

/// Counters that all pools of an instance share.
struct ServerConnectionPoolMetrics
{
  explicit ServerConnectionPoolMetrics(Metrics& aMetrics);

  prometheus::Counter& connects_;
  prometheus::Counter& connectFailures_;
  prometheus::Counter& closedAbandoned_;
  /// Requests written, indexed by the server's ZoneDistance.
  std::array<prometheus::Counter*, EnumTable<ZoneDistance>::kRows.size()> sent_;
  prometheus::Gauge& rateLimitedServers_;
  prometheus::Counter& sentToRateLimited_;
  /// Requests that waited for a permit.
  prometheus::Counter& permitWaits_;
  /// Processes whose reply stated that they are leaving.
  prometheus::Counter& leavingServers_;
  /// Refusals that state a time for which the server accepts no requests.
  prometheus::Counter& refusals_;
  /// Ramps of servers that have started, turned cold or recovered.
  prometheus::Counter& ramps_;
};

/// State that all pools of an instance share.
struct ServerConnectionPoolContext
{
  ServerConnectionPoolMetrics metrics_;
  ReplyMemory replyMemory_;
  SlowServerReporter slowServers_;
  CrashMonitor crashes_;
  RandomSource random_;
  /// Whether the document in force has teams.
  bool hasTeams_ = false;
  /// Receives each process whose reply to this instance states that it is
  /// leaving.
  std::function<void(const BackendId&, uint64_t aStartedAtMs)> onLeaving_{};
};

/// This instance's connections to one backend server, and the statistics that
/// their use provides for ranking it: round trip, slowness, failures and load.
/// Not thread-safe.
class ServerConnectionPool final
  : public ServerConnectionListener
  , public std::enable_shared_from_this<ServerConnectionPool>
{
public:
  ServerConnectionPool(boost::asio::io_context& aContext,
                       const ServerConnectionSettings& aSettings,
                       const HeaderNames& aHeaderNames,
                       ServerConnectionPoolContext& aShared,
                       const ColdServerLimitSettings& aColdServers,
                       const ServerPaceSettings& aPace,
                       const ServerAnnouncement& aAnnouncement,
                       boost::asio::ip::tcp::endpoint aEndpoint,
                       ZoneDistance aDistance,
                       TimePoint aNow);
  ~ServerConnectionPool() override;
  ServerConnectionPool(const ServerConnectionPool&) = delete;
  ServerConnectionPool& operator=(const ServerConnectionPool&) = delete;

  /// Applies a later announcement of the same server process.
  void Update(const ServerAnnouncement& aAnnouncement, TimePoint aNow);
  /// @param aMaxConnections maximum connections of this instance to the server,
  /// at least 1.
  void SetMaxConnections(uint32_t aMaxConnections)
  {
    maxConnections_ = aMaxConnections;
  }

  /// @param aIsEvacuated whether the server's zone is evacuated.
  void SetEvacuated(bool aIsEvacuated, TimePoint aNow);

  /// @param aInstances instances that share the server's rate limit and its
  /// pace while it is cold, at least 1.
  void SetInstances(uint32_t aInstances, TimePoint aNow)
  {
    rateShare_.SetInstances(aInstances, aNow);
    coldLimit_.SetInstances(aInstances, aNow);
  }
  /// @param aPerSecond requests per second that the server tolerates from all
  /// instances while it is cold; 0 for no limit.
  void SetColdRate(double aPerSecond, TimePoint aNow)
  {
    coldLimit_.SetRate(aPerSecond, aNow);
  }

  /// @return the earliest time at which a request may be sent under the
  /// server's rate limit, its pace while it is cold, and its refusals.
  TimePoint NextPermitAt(TimePoint aNow) const
  {
    return refusal_.NextSendAt(
      std::max(rateShare_.NextPermitAt(aNow), coldLimit_.NextPermitAt(aNow)));
  }
  /// @return whether the time for which the server accepts no requests lasts.
  bool IsRefusing(TimePoint aNow) const { return refusal_.IsRefusing(aNow); }
  /// @return the end of that time.
  TimePoint RefusedUntil() const { return refusal_.Until(); }
  /// Counts a request towards the server's rate limit. Called once before each
  /// Send(), at NextPermitAt() or earlier to reserve it.
  void TakePermit(TimePoint aNow);

  /// Starts the ramp of a server that has started while this instance was in
  /// use.
  void BeginPace(TimePoint aNow);
  /// Sets whether the pace of this server is found from its replies after it
  /// has started, turned cold or recovered.
  void SetPaced(bool aIsPaced) { isPaced_ = aIsPaced; }
  /// @return the share of requests, 0 to 1, for which the server is considered.
  double PaceShare(TimePoint aNow) const { return pace_.Share(aNow); }

  /// Opens a connection for an expected request, unless an idle one or a
  /// pending connect would serve it.
  void Preconnect(TimePoint aNow);
  /// Sends the exchange, or queues it until a connection is idle. The
  /// exchange's listener is notified of the outcome later, never from within
  /// this call.
  void Send(std::shared_ptr<Exchange> aExchange, TimePoint aNow);
  /// Abandons an exchange, whose listener is not notified any more. A queued
  /// exchange is removed. The connection of one that has been sent is closed at
  /// @p aCloseAt, unless its reply arrives first.
  void Abandon(const std::shared_ptr<Exchange>& aExchange,
               TimePoint aCloseAt,
               TimePoint aNow);

  /// Stops the use of a server that was removed: queued exchanges fail, idle
  /// connections are closed, and no connection is opened any more. Outstanding
  /// exchanges may finish.
  void Retire(TimePoint aNow);
  bool IsEmpty() const { return connections_.empty() && waiting_.empty(); }

  /// Takes the slowness that several instances have observed.
  void OnSharedSlowness(double aRatio, TimePoint aSentAt)
  {
    slowness_.OnShared(aRatio, aSentAt);
  }

  /// Closes connections whose connect, idle time or abandoned exchange has
  /// reached its time limit.
  void CheckTimeouts(TimePoint aNow);

  /// @return the statistics by which a replica is chosen.
  ReplicaCandidate State(TimePoint aNow) const;
  bool AcceptsRequests() const
  {
    return !isRetired_ && !isLeaving_ && !isEvacuated_ &&
           announcement_.phase_ == ServerPhase::Ready;
  }
  const ServerAnnouncement& Announcement() const { return announcement_; }

  void OnConnectionOpen(ServerConnection& aConnection, TimePoint aNow) override;
  void OnExchangeDone(ServerConnection& aConnection,
                      std::shared_ptr<Exchange> aExchange,
                      TimePoint aNow) override;
  void OnConnectionClosed(ServerConnection& aConnection,
                          ExchangeFault aFault,
                          TimePoint aNow) override;

private:
  /// @return whether a request that is sent now would wait for a new
  /// connection.
  bool NeedsConnect() const
  {
    return idleConnections_.empty() && connecting_ <= waiting_.size();
  }
  void DispatchWaiting(TimePoint aNow);
  void OpenConnection(TimePoint aNow);
  void RemoveConnection(const ServerConnection& aConnection);
  void FailOneWaiting(ExchangeFault aFault, TimePoint aNow);
  void FailAllWaiting(ExchangeFault aFault, TimePoint aNow);
  /// Applies what a reply of the server itself states of its process.
  void RecordNotices(const ServerNotices& aNotices,
                     const Exchange& aExchange,
                     TimePoint aNow);
  void RecordLeaving(const Exchange& aExchange, TimePoint aNow);
  void RecordWarmup(milliseconds aLeft, TimePoint aNow);
  /// Applies the later end of the announced and the stated warm-up.
  void UpdateColdUntil(TimePoint aNow);
  void RecordRefusal(Duration aFor, const Exchange& aExchange, TimePoint aNow);
  void RecordOutcome(const Exchange& aExchange, TimePoint aNow);
  void RecordLatency(const Exchange& aExchange, TimePoint aNow);
  void RecordConnectFailure(TimePoint aNow);
  /// Opens a connection when only that shows whether the server crashed.
  void CheckForCrash(TimePoint aNow);
  void RecordCrash(TimePoint aNow);
  /// Applies the rate limit that a reply to @p aExchange states, or its end.
  void RecordRateLimit(const StatedRateLimit& aLimit,
                       const Exchange& aExchange,
                       TimePoint aNow);
  void SetRateLimit(std::optional<double> aPerSecond, TimePoint aNow);
  /// Logs the limit and the requests sent since the line before.
  void LogRateLimit(TimePoint aNow);
  static void NotifyListener(const std::shared_ptr<Exchange>& aExchange,
                             TimePoint aNow);

  boost::asio::io_context& context_;
  const ServerConnectionSettings& settings_;
  const HeaderNames& headerNames_;
  ServerConnectionPoolContext& shared_;
  ServerAnnouncement announcement_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const ZoneDistance distance_;
  uint32_t maxConnections_ = 1;
  bool isRetired_ = false;
  /// Whether a reply has stated that the process is leaving; never reset, as
  /// another process has another pool.
  bool isLeaving_ = false;
  bool isEvacuated_ = false;

  std::vector<std::shared_ptr<ServerConnection>> connections_;
  /// Most recently used last.
  std::vector<std::shared_ptr<ServerConnection>> idleConnections_;
  uint32_t connecting_ = 0;
  std::deque<std::shared_ptr<Exchange>> waiting_;
  /// Send times of the outstanding exchanges.
  std::multiset<TimePoint> sentTimes_;

  Duration roundTrip_;
  SlownessEstimator slowness_;
  CrashDetector crashDetector_;
  /// Whether a connection is opened if only that shows whether the server
  /// crashed. Not after a reset of a new connection, as the server may have too
  /// many of them.
  bool wantsCrashCheck_ = false;
  double failureRate_ = 0;
  TimePoint failureRateAt_{};
  /// Ends of the warm-up by the latest announcement and by the latest reply
  /// that states it.
  TimePoint announcedColdUntil_{};
  TimePoint statedColdUntil_{};
  bool wasCold_ = false;
  /// When the server began to drain or its zone was evacuated.
  TimePoint drainingSince_{};
  TimePoint unreachableUntil_{};
  milliseconds unreachableBackoff_{ 0 };
  std::optional<ReportedServerLoad> load_;
  TimePoint loadReceivedAt_{};
  ServerRefusal refusal_;
  RateLimitShare rateShare_;
  ColdServerLimit coldLimit_;
  ServerPace pace_;
  bool isPaced_ = false;
  /// Requests per second that the server accepts from all instances together.
  std::optional<double> rateLimit_;
  /// When a reply last stated a limit.
  TimePoint rateLimitStatedAt_{};
  TimePoint rateLimitLoggedAt_{};
  uint32_t sentSinceRateLimitLog_ = 0;
  bool hasLoggedMalformedLimit_ = false;
};

} // namespace foxtail

#endif // FORWARD_SERVERCONNECTIONPOOL_H
