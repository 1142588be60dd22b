#ifndef EDGE_EDGEINSTANCE_H
#define EDGE_EDGEINSTANCE_H

#include "core/Metrics.h"
#include "core/WorkerPool.h"
#include "feed/FeedClient.h"
#include "forward/CallerPort.h"

#include <atomic>

namespace foxtail {

/// Settings of an entry instance that forwards by routes.
struct EdgeSettings
{
  InstanceId instance_;
  ZoneName zone_;
  ForwardSettings forward_;
  CallerPortSettings callers_;
  FrameTransportSettings frames_;
  FeedClientSettings feed_;
  /// A stopping instance goes on accepting for this long after it says that it
  /// is not ready, until balancers have noticed: two probes a second apart.
  milliseconds drainTime_{ 2600 };
  /// A stopping instance has ended by then.
  milliseconds stopTimeout_{ 5500 };
};

/// An entry instance that forwards callers' requests by the routes of the
/// accepted document to the backend servers that control instances have heard
/// of. All of it runs on one worker: its share of a processor is a fraction of
/// one core. Start() and Stop() are called from one thread, the rest is thread
/// safe where it says so.
class EdgeInstance : private FeedListener
{
public:
  /// Reads the accepted document's text.
  using Decoder =
    std::function<absl::StatusOr<RouteDocument>(const std::string& aText)>;

  EdgeInstance(EdgeSettings aSettings,
               HeaderNames aVocabulary,
               Decoder aDecoder);
  ~EdgeInstance() override;

  absl::Status Start();
  /// Graceful shutdown: says that it is not ready, goes on until balancers have
  /// noticed, finishes what is under way.
  void Stop();
  /// Takes other seeds. Thread safe.
  void SetSeeds(std::vector<std::string> aSeeds);

  /// @return empty when callers may be sent here, else the reason why not.
  /// Thread safe.
  std::string NotReadyReason() const;
  Metrics& GetMetrics() { return metrics_; }
  /// For further ports of the same process.
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
  void OnFeedEntryCount(uint32_t aEntryCount,
                        bool aIsComplete,
                        TimePoint aNow) override;
  void ScheduleReadinessCheck();
  void UpdateReadiness(TimePoint aNow);
  /// Asks the worker.
  Load GetLoad();
  /// Waits until @p aIsOver or the time.
  template<typename IsOver>
  bool WaitFor(IsOver&& aIsOver, TimePoint aUntil);

  const EdgeSettings settings_;
  const Decoder decoder_;
  Metrics metrics_;
  WorkerPool workers_;
  FrameTransport frames_;
  Gateway gateway_;
  FeedClient feed_;
  CallerPort callers_;
  boost::asio::steady_timer readinessTimer_;
  std::atomic<bool> isDraining_{ false };
  std::atomic<bool> isReady_{ false };
  bool wasReady_ = false;
  prometheus::Gauge& versionGauge_;
  prometheus::Gauge& serversGauge_;
  prometheus::Gauge& sourcesGauge_;
  prometheus::Gauge& droppedLinesGauge_;
};

} // namespace foxtail

#endif // EDGE_EDGEINSTANCE_H
