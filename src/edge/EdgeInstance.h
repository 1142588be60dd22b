#ifndef EDGE_EDGEINSTANCE_H
#define EDGE_EDGEINSTANCE_H

#include "allowance/AllowanceClient.h"
#include "core/Metrics.h"
#include "core/WorkerPool.h"
#include "feed/FeedClient.h"
#include "forward/CallerPort.h"

#include <atomic>

namespace foxtail {

/// Settings of an entry instance that forwards requests by routes.
struct EdgeSettings
{
  InstanceId instance_;
  ZoneName zone_;
  ForwardSettings forward_;
  CallerPortSettings callers_;
  FrameTransportSettings frames_;
  FeedClientSettings feed_;
  AllowanceSettings allowance_;
  /// A stopping instance accepts requests for this long after it reports that
  /// it is not ready, until load balancers have noticed: two probes a second
  /// apart.
  milliseconds drainTime_{ 2600 };
  /// Latest end of a stop, from its start.
  milliseconds stopTimeout_{ 5500 };
};

/// An entry instance that forwards callers' requests by the routes of the
/// accepted document to the announced backend servers, which it receives from
/// control instances. The whole instance runs on one worker, as its share of
/// the processor is a fraction of one core. Start() and Stop() are called from
/// one thread; other functions are thread safe where their comments say so.
class EdgeInstance : private FeedListener
{
public:
  /// Decodes the text of the accepted document.
  using Decoder =
    std::function<absl::StatusOr<RouteDocument>(const std::string& aText)>;

  EdgeInstance(EdgeSettings aSettings,
               HeaderNames aHeaderNames,
               Decoder aDecoder);
  ~EdgeInstance() override;

  absl::Status Start();
  /// Graceful shutdown: reports that the instance is not ready, accepts
  /// requests until load balancers have noticed, and answers the requests in
  /// flight: by their backend servers' replies, or at the end of the stop by
  /// what is known of them.
  void Stop();
  /// Adds seeds. Thread safe.
  void SetSeeds(std::vector<std::string> aSeeds);

  /// Thread safe.
  ///
  /// @return empty when the instance may receive callers' requests, else the
  /// reason why it may not.
  std::string NotReadyReason() const;
  Metrics& GetMetrics() { return metrics_; }
  /// Worker pool, also for further HTTP servers of the same process.
  WorkerPool& Workers() { return workers_; }
  uint16_t CallersPort() const { return callers_.Port(); }

private:
  struct Load
  {
    size_t requests_ = 0;
    size_t connections_ = 0;
  };

  void OnFeedDocument(DocumentVersion aVersion,
                      const std::string& aText,
                      TimePoint aNow) override;
  void OnFeedServers(const ServerDirectory& aDirectory,
                     TimePoint aNow) override;
  void OnFeedSlowServers(const std::vector<SlowServer>& aServers) override;
  void OnFeedQuarantines(const std::vector<RequestQuarantine>& aQuarantines,
                         TimePoint aNow) override;
  std::vector<RequestQuarantine> QuarantinesInForce(TimePoint aNow) override;
  void OnFeedEvacuations(const EvacuatedZones& aZones, TimePoint aNow) override;
  void OnFeedEntryCount(uint32_t aEntryCount,
                        bool aIsComplete,
                        TimePoint aNow) override;
  void ScheduleReadinessCheck();
  /// Passes withheld servers on when the wait for the evacuated zones is over.
  void ReleaseServers(TimePoint aNow);
  void UpdateReadiness(TimePoint aNow);
  /// Reads the load on the worker and blocks until it has been read.
  Load GetLoad();
  /// Waits until @p aPredicate holds or @p aUntil has passed.
  ///
  /// @return whether @p aPredicate holds.
  template<typename Predicate>
  bool WaitFor(Predicate&& aPredicate, TimePoint aUntil);

  const EdgeSettings settings_;
  const Decoder decoder_;
  Metrics metrics_;
  WorkerPool workers_;
  FrameTransport frames_;
  Gateway gateway_;
  FeedClient feed_;
  AllowanceClient permits_;
  CallerPort callers_;
  boost::asio::steady_timer readinessTimer_;
  std::atomic<bool> isDraining_{ false };
  std::atomic<bool> isReady_{ false };
  /// Version of the last document that was readable, or none.
  std::optional<DocumentVersion> documentInForce_;
  /// Whether the directory is withheld from the gateway, as servers of
  /// evacuated zones cannot be told from others yet.
  bool holdsServers_ = false;
  bool wasReady_ = false;
  bool wasFollowing_ = false;
  prometheus::Gauge& versionGauge_;
  prometheus::Gauge& serversGauge_;
  prometheus::Gauge& evacuatedZonesGauge_;
  prometheus::Gauge& sourcesGauge_;
  prometheus::Gauge& droppedLinesGauge_;
};

} // namespace foxtail

#endif // EDGE_EDGEINSTANCE_H
