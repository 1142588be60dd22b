#ifndef FORWARD_SERVERPOOL_H
#define FORWARD_SERVERPOOL_H

#include "forward/ServerLink.h"
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
struct ServerPoolMetrics
{
  explicit ServerPoolMetrics(Metrics& aMetrics);

  prometheus::Counter& connects_;
  prometheus::Counter& connectFailures_;
  prometheus::Counter& closedAbandoned_;
  /// Requests written, by the server's distance.
  std::array<prometheus::Counter*, EnumTable<ZoneDistance>::kRows.size()> sent_;
};

/// This instance's connections to one backend server and what their use shows
/// of it: its distance, how slow it is, how often it fails, what waits there.
/// One thread's.
class ServerPool final
  : public ServerLinkListener
  , public std::enable_shared_from_this<ServerPool>
{
public:
  ServerPool(boost::asio::io_context& aContext,
             const LinkSettings& aSettings,
             const Vocabulary& aVocabulary,
             ServerPoolMetrics& aMetrics,
             const ServerAnnouncement& aAnnouncement,
             boost::asio::ip::tcp::endpoint aEndpoint,
             ZoneDistance aDistance,
             TimePoint aNow);
  ~ServerPool() override;
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  /// Takes a later announcement of the same process.
  void Update(const ServerAnnouncement& aAnnouncement, TimePoint aNow);
  /// @param aMaxLinks connections that this instance may have, at least 1.
  void SetMaxLinks(uint32_t aMaxLinks) { maxLinks_ = aMaxLinks; }

  /// Opens a connection for a request that may follow, unless one is free.
  void Prepare(TimePoint aNow);
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
  bool IsEmpty() const { return links_.empty() && waiting_.empty(); }

  /// Ends what has lasted too long.
  void Tick(TimePoint aNow);

  ReplicaCandidate State(TimePoint aNow) const;
  bool MayTakeWork() const
  {
    return !isRetired_ && announcement_.phase_ == ServerPhase::Ready;
  }
  const ServerAnnouncement& Announcement() const { return announcement_; }

  void OnLinkOpen(ServerLink& aLink, TimePoint aNow) override;
  void OnLinkDone(ServerLink& aLink,
                  std::shared_ptr<Exchange> aExchange,
                  TimePoint aNow) override;
  void OnLinkClosed(ServerLink& aLink,
                    ExchangeFault aFault,
                    TimePoint aNow) override;

private:
  /// @return whether a request that is sent now waits for a connect.
  bool NeedsConnect() const
  {
    return idle_.empty() && connecting_ <= waiting_.size();
  }
  void Pump(TimePoint aNow);
  void OpenLink(TimePoint aNow);
  void Forget(const ServerLink& aLink);
  void FailOneWaiting(ExchangeFault aFault, TimePoint aNow);
  void NoteEnd(const Exchange& aExchange, TimePoint aNow);
  void NoteLatency(const Exchange& aExchange, TimePoint aNow);
  void NoteConnectFailure(TimePoint aNow);
  static void Tell(const std::shared_ptr<Exchange>& aExchange, TimePoint aNow);

  boost::asio::io_context& context_;
  const LinkSettings& settings_;
  const Vocabulary& vocabulary_;
  ServerPoolMetrics& metrics_;
  ServerAnnouncement announcement_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const ZoneDistance distance_;
  uint32_t maxLinks_ = 1;
  bool isRetired_ = false;

  std::vector<std::shared_ptr<ServerLink>> links_;
  /// Last used last.
  std::vector<std::shared_ptr<ServerLink>> idle_;
  uint32_t connecting_ = 0;
  std::deque<std::shared_ptr<Exchange>> waiting_;
  /// When the exchanges on their way were sent.
  std::multiset<TimePoint> sentTimes_;

  Duration roundTrip_;
  SlownessEstimator pace_;
  double failureShare_ = 0;
  TimePoint failureAt_{};
  TimePoint warmUntil_{};
  TimePoint suspectUntil_{};
  milliseconds suspectPause_{ 0 };
  std::optional<ReportedServerLoad> load_;
  TimePoint loadAt_{};
};

} // namespace foxtail

#endif // FORWARD_SERVERPOOL_H
