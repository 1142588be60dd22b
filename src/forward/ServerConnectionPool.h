#ifndef FORWARD_SERVERCONNECTIONPOOL_H
#define FORWARD_SERVERCONNECTIONPOOL_H

#include "forward/ServerConnection.h"
#include "policy/LatencyPredictor.h"
#include "policy/ServerDirectory.h"
#include "policy/SlownessEstimator.h"
#include "policy/ZoneMap.h"

#include <deque>
#include <prometheus/counter.h>
#include <set>

namespace foxtail {

class Metrics;

/// Counters that the pools of one instance share.
struct ServerConnectionPoolMetrics
{
  explicit ServerConnectionPoolMetrics(Metrics& aMetrics);

  prometheus::Counter& connects_;
  prometheus::Counter& connectFailures_;
  prometheus::Counter& closedAbandoned_;
  /// Requests written, by the server's distance.
  std::array<prometheus::Counter*, EnumTable<ZoneDistance>::kRows.size()> sent_;
};

/// This instance's connections to one backend server and what their use shows
/// of it: its distance, how slow it is, how often it fails, what waits there.
/// One thread's.
class ServerConnectionPool final
  : public ServerConnectionListener
  , public std::enable_shared_from_this<ServerConnectionPool>
{
public:
  ServerConnectionPool(boost::asio::io_context& aContext,
                       const ServerConnectionSettings& aSettings,
                       const HeaderNames& aHeaderNames,
                       ServerConnectionPoolMetrics& aMetrics,
                       const ServerAnnouncement& aAnnouncement,
                       boost::asio::ip::tcp::endpoint aEndpoint,
                       ZoneDistance aDistance,
                       TimePoint aNow);
  ~ServerConnectionPool() override;
  ServerConnectionPool(const ServerConnectionPool&) = delete;
  ServerConnectionPool& operator=(const ServerConnectionPool&) = delete;

  /// Takes a later announcement of the same process.
  void Update(const ServerAnnouncement& aAnnouncement, TimePoint aNow);
  /// @param aMaxConnections connections that this instance may have, at
  /// least 1.
  void SetMaxConnections(uint32_t aMaxConnections)
  {
    maxConnections_ = aMaxConnections;
  }

  /// Opens a connection for a request that may follow, unless one is free.
  void Preconnect(TimePoint aNow);
  /// Sends the exchange, or lets it wait for a connection. The listener hears
  /// of its end later.
  void Send(std::shared_ptr<Exchange> aExchange, TimePoint aNow);
  /// Nobody waits for the exchange any more. One that is on its way goes on
  /// until @p aCloseAt, then its connection is closed.
  void Abandon(const std::shared_ptr<Exchange>& aExchange,
               TimePoint aCloseAt,
               TimePoint aNow);

  /// The server has left: no connection is opened any more; what is on its way
  /// may end.
  void Retire(TimePoint aNow);
  bool IsEmpty() const { return connections_.empty() && waiting_.empty(); }

  /// Ends what has lasted too long.
  void CheckTimeouts(TimePoint aNow);

  ReplicaCandidate State(TimePoint aNow) const;
  bool AcceptsRequests() const
  {
    return !isRetired_ && announcement_.phase_ == ServerPhase::Ready;
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
  /// @return whether a request that is sent now waits for a connect.
  bool NeedsConnect() const
  {
    return idleConnections_.empty() && connecting_ <= waiting_.size();
  }
  void DispatchWaiting(TimePoint aNow);
  void OpenConnection(TimePoint aNow);
  void RemoveConnection(const ServerConnection& aConnection);
  void FailOneWaiting(ExchangeFault aFault, TimePoint aNow);
  void RecordOutcome(const Exchange& aExchange, TimePoint aNow);
  void RecordLatency(const Exchange& aExchange, TimePoint aNow);
  void RecordConnectFailure(TimePoint aNow);
  static void NotifyListener(const std::shared_ptr<Exchange>& aExchange,
                             TimePoint aNow);

  boost::asio::io_context& context_;
  const ServerConnectionSettings& settings_;
  const HeaderNames& headerNames_;
  ServerConnectionPoolMetrics& metrics_;
  ServerAnnouncement announcement_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const ZoneDistance distance_;
  uint32_t maxConnections_ = 1;
  bool isRetired_ = false;

  std::vector<std::shared_ptr<ServerConnection>> connections_;
  /// Last used last.
  std::vector<std::shared_ptr<ServerConnection>> idleConnections_;
  uint32_t connecting_ = 0;
  std::deque<std::shared_ptr<Exchange>> waiting_;
  /// When the exchanges on their way were sent.
  std::multiset<TimePoint> sentTimes_;

  Duration roundTrip_;
  SlownessEstimator slowness_;
  double failureRate_ = 0;
  TimePoint failureRateAt_{};
  TimePoint warmupUntil_{};
  TimePoint unreachableUntil_{};
  milliseconds unreachableBackoff_{ 0 };
  std::optional<ReportedServerLoad> load_;
  TimePoint loadReceivedAt_{};
};

} // namespace foxtail

#endif // FORWARD_SERVERCONNECTIONPOOL_H
