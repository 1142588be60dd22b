#ifndef FORWARD_GATEWAY_H
#define FORWARD_GATEWAY_H

#include "forward/ForwardSettings.h"
#include "forward/HeldRequests.h"
#include "forward/QuotaGate.h"
#include "forward/RequestHandler.h"
#include "forward/TeamGate.h"
#include "policy/PauseDetector.h"
#include "policy/WeightedRoundRobin.h"

#include <boost/asio/io_context.hpp>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <unordered_map>

namespace foxtail {

class Metrics;

/// Forwards requests to the announced backend servers according to the routes
/// in force. Not thread-safe.
class Gateway
{
public:
  Gateway(ForwardSettings aSettings,
          HeaderNames aHeaderNames,
          boost::asio::io_context& aContext,
          Metrics& aMetrics,
          uint64_t aSeed);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Starts the periodic check of connection timeouts and the traffic log.
  void Start(TimePoint aNow);
  void Stop();

  /// Puts a route table in force for later requests; requests that have begun
  /// keep theirs.
  void SetRoutes(std::shared_ptr<const RouteTable> aTable, TimePoint aNow);
  void SetServers(const ServerDirectory& aDirectory, TimePoint aNow);
  /// Sets the zones whose servers accept no requests.
  void SetEvacuatedZones(const std::set<ZoneName>& aZones, TimePoint aNow)
  {
    pools_.SetEvacuatedZones(aZones, aNow);
  }
  /// Takes servers that several instances found slow.
  void OnSharedSlowServers(const std::vector<SlowServer>& aServers);
  /// Sets the function that receives the servers that this instance finds slow.
  /// Called before Start().
  void OnSlowServer(SlowServerReporter::Callback aCallback);
  /// Sets the source of what is known from control, for the check of team keys.
  /// Called before Start() or on the gateway's thread.
  void SetControlContact(TeamGate::ContactSource aSource)
  {
    teamGate_.SetContactSource(std::move(aSource));
  }
  /// Sets the function that receives the processes whose replies state that
  /// they are leaving. Called before Start().
  void OnServerLeaving(
    std::function<void(const BackendId&, uint64_t aStartedAtMs)> aCallback)
  {
    pools_.OnServerLeaving(std::move(aCallback));
  }
  /// @param aInstances number of entry instances that share connections,
  /// budgets and rate limits.
  void SetInstances(uint32_t aInstances, TimePoint aNow);

  /// Begins a request, or holds it while this instance is starting. @p
  /// aOnComplete is called once, possibly from within this call, unless the
  /// caller disconnects first.
  ///
  /// @return the request, or null when it was answered from within.
  std::shared_ptr<PendingRequest> Begin(
    ForwardRequest aRequest,
    RequestHandler::CompletionCallback aOnComplete,
    TimePoint aNow);

  /// @return the answer to a request that is refused whatever its body is, as
  /// no route matches it or there are no routes after the startup; else
  /// nothing.
  std::optional<ForwardAnswer> RefusalWithoutRoute(std::string_view aHost,
                                                   std::string_view aTarget,
                                                   TimePoint aNow) const;

  /// Begins a planned stop: requests that begin later are refused unless they
  /// are likely to be answered by @p aAnswerBy, and all are answered by then.
  /// Those in progress are limited by their connections.
  void BeginStop(TimePoint aAnswerBy) { context_.answerBy_ = aAnswerBy; }

  /// Quotas of teams.
  QuotaGate& Quota() { return quota_; }
  /// @return which requests are not sent as they crash backend servers.
  CrashMonitor& Crashes() { return pools_.Crashes(); }

  /// @return the longest time for which a request that is read now may have
  /// waited while this process was paused.
  Duration PossibleReadDelay(TimePoint aNow) const
  {
    return pauseDetector_.PossibleDelay(aNow);
  }
  /// @return the route table in force, or null before the first document.
  const std::shared_ptr<const RouteTable>& ActiveRoutes() const
  {
    return table_;
  }
  const HeaderNames& Headers() const { return headerNames_; }
  const ForwardSettings& Settings() const { return settings_; }
  size_t ServerCount() const { return pools_.Size(); }
  uint32_t InstanceCount() const { return instances_; }

private:
  struct HandlerFactory;

  ForwardAnswer NoRoutesAnswer() const;
  static ForwardAnswer NoRouteAnswer();

  /// @return whether the request's route is known, its key is checked, and
  /// enough backend servers for a successful answer are known.
  bool CanServe(const ForwardRequest& aRequest, TimePoint aNow) const;
  std::shared_ptr<PendingRequest> BeginNow(
    ForwardRequest aRequest,
    RequestHandler::CompletionCallback aOnComplete,
    TimePoint aNow);
  void RefuseQuarantined(const ForwardRequest& aRequest,
                         TimePoint aUntil,
                         const RequestHandler::CompletionCallback& aOnComplete,
                         TimePoint aNow);
  /// @return whether a stopping instance refuses the request.
  bool IsTooLateForStop(const Route& aRoute,
                        const ForwardRequest& aRequest,
                        TimePoint aNow);
  void ReleaseHeld(TimePoint aNow);
  ExtraAttemptBudget& BudgetOf(const ServiceName& aService);
  RouteStats& StatsOf(const Route& aRoute);
  /// @return a callback that records the request's latency, then calls
  /// @p aOnComplete.
  RequestHandler::CompletionCallback WithLatencyMetric(
    RequestHandler::CompletionCallback aOnComplete,
    TimePoint aNow);
  void ScheduleTick();
  void LogTraffic(TimePoint aNow);

  const ForwardSettings settings_;
  const HeaderNames headerNames_;
  Metrics& metrics_;
  TimerQueue timers_;
  LinkBacklog link_;
  BackendPoolSet pools_;
  std::unordered_map<ServiceName, ExtraAttemptBudget> budgets_;
  uint32_t instances_;
  /// By route name, so that statistics survive a new document version.
  std::unordered_map<std::string, RouteStats> routeStats_;
  std::unordered_map<std::string, WeightedRoundRobin> splitRoundRobins_;
  std::shared_ptr<const RouteTable> table_;
  RequestHandlerContext context_;
  HeldRequests held_;
  TeamGate teamGate_;
  QuotaGate quota_;
  PauseDetector pauseDetector_;
  prometheus::Counter& heldTotal_;
  prometheus::Counter& quarantineRefusals_;
  prometheus::Counter& stopRefusals_;
  boost::asio::steady_timer tickTimer_;
  TimePoint startedAt_{};
  TimePoint nextTrafficLogAt_{};
  uint64_t requestCount_ = 0;
  std::unordered_map<std::string, prometheus::Histogram*> latencyBySource_;
};

} // namespace foxtail

#endif // FORWARD_GATEWAY_H
