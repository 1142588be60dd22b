#include "forward/Gateway.h"

#include "core/Log.h"
#include "core/Metrics.h"
#include "forward/GatherRequestHandler.h"
#include "forward/SingleRequestHandler.h"
#include "policy/StopDecision.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Interval of the checks for connection timeouts. A shorter one costs
/// wake-ups; the timeouts that it checks are 150 ms and more.
constexpr milliseconds kTimeoutCheckInterval =
  PauseDetectorSettings{}.tickInterval_;
/// Interval at which the request totals are logged.
constexpr seconds kTrafficLogInterval{ 10 };
constexpr unsigned kUnavailable = 503;
/// Number of instances that share budgets and connections, assumed until the
/// real one is set. It exceeds the number that any deployment starts with.
constexpr uint32_t kAssumedInstances = 12;

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find_first_of("?#"));
}

} // namespace

/// Creates the request handler for a route's target.
struct Gateway::HandlerFactory
{
  Gateway& gateway_;
  const Route& route_;
  std::shared_ptr<const ForwardRequest> request_;
  RequestHandler::CompletionCallback onComplete_;

  std::shared_ptr<RequestHandler> operator()(const SingleTarget& aTarget)
  {
    return MakeSingleHandler(aTarget.service_);
  }

  std::shared_ptr<RequestHandler> operator()(const SplitTarget& aTarget)
  {
    std::vector<double> weights;
    weights.reserve(aTarget.parts_.size());
    for (const SplitTarget::Part& part : aTarget.parts_) {
      weights.push_back(part.weight_);
    }
    const size_t index = gateway_.splitRoundRobins_[route_.name_].Next(weights);
    return MakeSingleHandler(aTarget.parts_[index].service_);
  }

  std::shared_ptr<RequestHandler> operator()(const GatherTarget& aTarget)
  {
    return std::make_shared<GatherRequestHandler>(gateway_.context_,
                                                  gateway_.table_,
                                                  route_,
                                                  aTarget,
                                                  gateway_.StatsOf(route_),
                                                  std::move(request_),
                                                  std::move(onComplete_));
  }

  std::shared_ptr<RequestHandler> MakeSingleHandler(const ServiceName& aService)
  {
    return std::make_shared<SingleRequestHandler>(gateway_.context_,
                                                  gateway_.table_,
                                                  route_,
                                                  gateway_.StatsOf(route_),
                                                  aService,
                                                  std::move(request_),
                                                  std::move(onComplete_));
  }
};

Gateway::Gateway(ForwardSettings aSettings,
                 HeaderNames aHeaderNames,
                 boost::asio::io_context& aContext,
                 Metrics& aMetrics,
                 uint64_t aSeed)
  : settings_(std::move(aSettings))
  , headerNames_(std::move(aHeaderNames))
  , metrics_(aMetrics)
  , timers_(aContext)
  , link_(settings_.link_)
  , pools_(aContext, settings_, headerNames_, aMetrics, aSeed)
  , instances_(kAssumedInstances)
  , context_{ settings_,
              headerNames_,
              pools_,
              timers_,
              link_,
              [this](const ServiceName& aService) -> ExtraAttemptBudget& {
                return BudgetOf(aService);
              } }
  , teamGate_(settings_, headerNames_, aMetrics)
  , heldTotal_(aMetrics.Counter("foxtail_forward_held_total",
                                "Requests held while the instance started"))
  , quarantineRefusals_(aMetrics.Counter(
      "foxtail_forward_quarantine_refusals_total",
      "Requests refused because servers have crashed under them"))
  , stopRefusals_(aMetrics.Counter(
      "foxtail_forward_stop_refusals_total",
      "Requests refused because the instance stops before their answer"))
  , tickTimer_(aContext)
{
  pools_.SetInstances(instances_, TimePoint{});
  context_.regionRefusals_ = &aMetrics.Counter(
    "foxtail_forward_region_refusals_total",
    "Requests refused for lack of a server in the allowed regions");
}

Gateway::~Gateway() = default;

void Gateway::Start(TimePoint aNow)
{
  startedAt_ = aNow;
  pauseDetector_.OnTick(aNow);
  ScheduleTick();
}

void Gateway::Stop()
{
  tickTimer_.cancel();
  timers_.Stop();
}

void Gateway::ScheduleTick()
{
  tickTimer_.expires_after(kTimeoutCheckInterval);
  tickTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      const TimePoint now = Now();
      pauseDetector_.OnTick(now);
      pools_.CheckTimeouts(now);
      ReleaseHeld(now);
      LogTraffic(now);
      ScheduleTick();
    }
  });
}

void Gateway::LogTraffic(TimePoint aNow)
{
  if (aNow < nextTrafficLogAt_) {
    return;
  }
  nextTrafficLogAt_ = aNow + kTrafficLogInterval;
  LogLine line(LogLevel::Info, "traffic");
  line.Add("begun", requestCount_).Add("backend_servers", pools_.Size());
  for (const auto& row : EnumTable<ZoneDistance>::kRows) {
    line.Add("sent_" + std::string(row.name_), pools_.Sent(row.value_));
  }
}

void Gateway::SetRoutes(std::shared_ptr<const RouteTable> aTable,
                        TimePoint aNow)
{
  table_ = std::move(aTable);
  quota_.SetTeams(table_->Document());
  pools_.DistributeConnections(*table_, instances_, aNow);
  ReleaseHeld(aNow);
}

void Gateway::SetServers(const ServerDirectory& aDirectory, TimePoint aNow)
{
  pools_.Update(aDirectory, aNow);
  ReleaseHeld(aNow);
}

void Gateway::OnSharedSlowServers(const std::vector<SlowServer>& aServers)
{
  pools_.OnSharedSlowServers(aServers);
}

void Gateway::OnSlowServer(SlowServerReporter::Callback aCallback)
{
  pools_.OnSlowServer(std::move(aCallback));
}

void Gateway::SetInstances(uint32_t aInstances, TimePoint aNow)
{
  const uint32_t instances = std::max<uint32_t>(aInstances, 1);
  if (instances == instances_) {
    return;
  }
  instances_ = instances;
  pools_.SetInstances(instances_, aNow);
  for (auto& [service, budget] : budgets_) {
    budget.SetInstances(instances_);
  }
  if (table_ != nullptr) {
    pools_.DistributeConnections(*table_, instances_, aNow);
  }
}

bool Gateway::CanServe(const ForwardRequest& aRequest, TimePoint aNow) const
{
  if (table_ == nullptr) {
    return false;
  }
  const Route* route = table_->Find(aRequest.host_, PathOf(aRequest.target_));
  if (route == nullptr) {
    // Such a request is refused; there is nothing to wait for.
    return true;
  }
  const TeamAccess access = teamGate_.Decide(*table_, *route, aRequest, aNow);
  const auto* allowed = std::get_if<AccessAllowed>(&access);
  if (allowed == nullptr) {
    // A refusal with 401 is final; one with 503 ends with a newer document or a
    // reply of control, which may come during the startup.
    return std::holds_alternative<AccessDenied>(access);
  }
  const RegionFilter regions(route->allowedRegions_, allowed->team_);
  if (regions.AllowsNone()) {
    // Such a request is refused, whatever servers are announced.
    return true;
  }
  const std::vector<ServiceName> services = ServicesOf(route->target_);
  const auto available = static_cast<uint32_t>(std::count_if(
    services.begin(), services.end(), [&](const ServiceName& aService) {
      return pools_.HasAvailableServer(aService, regions);
    }));
  const auto* gather = std::get_if<GatherTarget>(&route->target_);
  return available >=
         (gather == nullptr
            ? 1
            : RequiredShards(static_cast<uint32_t>(services.size()),
                             gather->leastShare_));
}

void Gateway::ReleaseHeld(TimePoint aNow)
{
  held_.ReleaseDue(
    [this, aNow](const ForwardRequest& aRequest) {
      return CanServe(aRequest, aNow);
    },
    aNow);
}

std::shared_ptr<PendingRequest> Gateway::Begin(
  ForwardRequest aRequest,
  RequestHandler::CompletionCallback aOnComplete,
  TimePoint aNow)
{
  const StartupDecision decision = DecideDuringStartup(
    settings_.startupHold_, startedAt_, aRequest.deadline_, aNow);
  if (std::holds_alternative<StartupOver>(decision) ||
      CanServe(aRequest, aNow)) {
    return BeginNow(std::move(aRequest), std::move(aOnComplete), aNow);
  }
  if (const auto* later = std::get_if<ReturnLater>(&decision)) {
    aOnComplete(MakeLocalAnswer(
      AnswerSource::NotRun,
      kUnavailable,
      "this instance is starting; come back after the time that is stated",
      later->retryAfter_));
    return nullptr;
  }
  auto held = held_.Hold(
    aRequest,
    std::get<HoldUntil>(decision).until_,
    [this, aOnComplete](ForwardRequest aHeld, TimePoint aReleasedAt) {
      return BeginNow(std::move(aHeld), aOnComplete, aReleasedAt);
    });
  if (held == nullptr) {
    return BeginNow(std::move(aRequest), std::move(aOnComplete), aNow);
  }
  heldTotal_.Increment();
  return held;
}

ForwardAnswer Gateway::NoRoutesAnswer() const
{
  return MakeLocalAnswer(
    AnswerSource::NotRun,
    kUnavailable,
    "this instance has not received the routes yet; try again",
    settings_.retryAfter_);
}

ForwardAnswer Gateway::NoRouteAnswer()
{
  constexpr unsigned kNotFound = 404;
  return MakeLocalAnswer(
    AnswerSource::NotRun,
    kNotFound,
    "no route matches this host and path; check the document");
}

std::optional<ForwardAnswer> Gateway::RefusalWithoutRoute(
  std::string_view aHost,
  std::string_view aTarget,
  TimePoint aNow) const
{
  if (table_ != nullptr) {
    return table_->Find(aHost, PathOf(aTarget)) == nullptr
             ? std::make_optional(NoRouteAnswer())
             : std::nullopt;
  }
  const bool isStartupOver =
    std::holds_alternative<StartupOver>(DecideDuringStartup(
      settings_.startupHold_, startedAt_, aNow + seconds(1), aNow));
  return isStartupOver ? std::make_optional(NoRoutesAnswer()) : std::nullopt;
}

std::shared_ptr<PendingRequest> Gateway::BeginNow(
  ForwardRequest aRequest,
  RequestHandler::CompletionCallback aOnComplete,
  TimePoint aNow)
{
  if (table_ == nullptr) {
    aOnComplete(NoRoutesAnswer());
    return nullptr;
  }
  requestCount_ += aRequest.hasPermit_ ? 0 : 1;
  const Route* route = table_->Find(aRequest.host_, PathOf(aRequest.target_));
  if (route == nullptr) {
    LogLine(LogLevel::Info, "no_route")
      .Add("request", aRequest.id_)
      .Add("host", aRequest.host_)
      .Add("path", PathOf(aRequest.target_))
      .Add("document", table_->Version());
    aOnComplete(NoRouteAnswer());
    return nullptr;
  }
  if (auto refusal = teamGate_.Check(*table_, *route, aRequest, aNow)) {
    aOnComplete(*std::move(refusal));
    return nullptr;
  }
  if (IsTooLateForStop(*route, aRequest, aNow)) {
    aOnComplete(MakeLocalAnswer(
      AnswerSource::NotRun,
      kUnavailable,
      "this instance is stopping; send the request again on a new connection",
      settings_.retryAfter_));
    return nullptr;
  }
  const auto quarantine = pools_.Crashes().Find(aRequest.fingerprint_, aNow);
  if (quarantine && quarantine->treatment_ == SuspectTreatment::Refuse) {
    RefuseQuarantined(aRequest, quarantine->until_, aOnComplete, aNow);
    return nullptr;
  }
  if (quota_.Applies(aRequest)) {
    return quota_.Begin(
      std::move(aRequest),
      *route,
      settings_.retryAfter_,
      std::move(aOnComplete),
      [this](ForwardRequest aPermitted,
             RequestHandler::CompletionCallback aOnEnd,
             TimePoint aBegunAt) {
        return BeginNow(std::move(aPermitted), std::move(aOnEnd), aBegunAt);
      },
      aNow);
  }
  auto request = std::make_shared<const ForwardRequest>(std::move(aRequest));
  HandlerFactory factory{
    *this, *route, request, WithLatencyMetric(std::move(aOnComplete), aNow)
  };
  auto handler = std::visit(factory, route->target_);
  handler->Start(aNow);
  return handler->IsDone() ? nullptr : handler;
}

bool Gateway::IsTooLateForStop(const Route& aRoute,
                               const ForwardRequest& aRequest,
                               TimePoint aNow)
{
  if (context_.answerBy_ == TimePoint::max()) {
    return false;
  }
  constexpr double kHighQuantile = 0.95;
  StoppingRequest stopping;
  stopping.answerBy_ = context_.answerBy_;
  stopping.deadline_ = aRequest.deadline_;
  stopping.objective_ = aRoute.objective_;
  stopping.usualLatency_ =
    StatsOf(aRoute).attemptLatency_.Quantile(kHighQuantile);
  stopping.isIdempotent_ = aRoute.effect_ == RouteEffect::Idempotent;
  if (DecideWhileStopping(stopping, aNow) == StopDecision::Serve) {
    return false;
  }
  stopRefusals_.Increment();
  LogLine(LogLevel::Info, "request_refused_stopping")
    .Add("request", aRequest.id_)
    .Add("route", aRoute.name_)
    .Add("usual_ms", ToMilliseconds(stopping.usualLatency_))
    .Add("left_ms", ToMilliseconds(stopping.answerBy_ - aNow));
  return true;
}

void Gateway::RefuseQuarantined(
  const ForwardRequest& aRequest,
  TimePoint aUntil,
  const RequestHandler::CompletionCallback& aOnComplete,
  TimePoint aNow)
{
  quarantineRefusals_.Increment();
  LogLine(LogLevel::Info, "request_refused_quarantined")
    .Add("request", aRequest.id_)
    .Add("fingerprint", ToHex(aRequest.fingerprint_))
    .Add("for_ms", ToMilliseconds(aUntil - aNow));
  aOnComplete(MakeLocalAnswer(
    AnswerSource::NotRun,
    kUnavailable,
    "backend servers have crashed under this request; send another one, or "
    "come back after the time that is stated",
    std::chrono::ceil<milliseconds>(aUntil - aNow)));
}

RequestHandler::CompletionCallback Gateway::WithLatencyMetric(
  RequestHandler::CompletionCallback aOnComplete,
  TimePoint aNow)
{
  return [this, done = std::move(aOnComplete), aNow](ForwardAnswer aAnswer) {
    const std::string source(NameOf(aAnswer.source_));
    prometheus::Histogram*& histogram = latencyBySource_[source];
    if (histogram == nullptr) {
      histogram =
        &metrics_.SecondsHistogram("foxtail_forward_request_seconds",
                                   "Time from a request to its answer",
                                   { { "source", source } });
    }
    histogram->Observe(std::chrono::duration<double>(Now() - aNow).count());
    done(std::move(aAnswer));
  };
}

ExtraAttemptBudget& Gateway::BudgetOf(const ServiceName& aService)
{
  const auto found = budgets_.find(aService);
  if (found != budgets_.end()) {
    return found->second;
  }
  const TimePoint startedAt = settings_.mayBeRestart_
                                ? startedAt_
                                : startedAt_ - settings_.extraBudget_.window_;
  ExtraAttemptBudget budget(settings_.extraBudget_, startedAt);
  budget.SetInstances(instances_);
  return budgets_.emplace(aService, budget).first->second;
}

RouteStats& Gateway::StatsOf(const Route& aRoute)
{
  return routeStats_[aRoute.name_];
}

} // namespace foxtail
