#include "edge/EdgeInstance.h"

#include "core/Log.h"
#include "core/RandomSource.h"

#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace foxtail {

namespace asio = boost::asio;

namespace {

/// Interval of readiness checks; load balancers probe once a second.
constexpr milliseconds kReadinessInterval{ 200 };
/// Interval at which a stopping instance checks whether its connections are
/// closed.
constexpr milliseconds kStopPollInterval{ 20 };
/// Time between the last answers of a stopping instance and its end, in which
/// they are written.
constexpr milliseconds kLastAnswersTime{ 200 };

} // namespace

EdgeInstance::EdgeInstance(EdgeSettings aSettings,
                           HeaderNames aHeaderNames,
                           Decoder aDecoder)
  : settings_(std::move(aSettings))
  , decoder_(std::move(aDecoder))
  , workers_(1)
  , frames_(settings_.frames_, workers_)
  , gateway_(settings_.forward_,
             std::move(aHeaderNames),
             workers_.Context(0),
             metrics_,
             RandomSource::SystemSeed())
  , feed_(settings_.feed_, frames_, workers_.Context(0), *this)
  , permits_(settings_.allowance_,
             frames_,
             workers_.Context(0),
             metrics_,
             [this](TimePoint aNow) {
               std::vector<AllowanceControl> controls;
               for (auto& [endpoint, distance] : feed_.Controls(aNow)) {
                 controls.push_back({ endpoint, static_cast<int>(distance) });
               }
               return controls;
             })
  , callers_(settings_.callers_, gateway_, workers_.Context(0), metrics_)
  , readinessTimer_(workers_.Context(0))
  , versionGauge_(metrics_.Gauge("foxtail_edge_document_version",
                                 "Version of the document in force"))
  , serversGauge_(metrics_.Gauge("foxtail_edge_backend_servers",
                                 "Backend servers that are announced"))
  , evacuatedZonesGauge_(
      metrics_.Gauge("foxtail_edge_evacuated_zones",
                     "Availability zones whose servers receive no requests"))
  , sourcesGauge_(
      metrics_.Gauge("foxtail_edge_live_sources",
                     "Control instances whose last reply is recent"))
  , droppedLinesGauge_(metrics_.Gauge("foxtail_log_lines_dropped",
                                      "Log lines dropped since the start"))
{
}

EdgeInstance::~EdgeInstance()
{
  workers_.Stop();
}

absl::Status EdgeInstance::Start()
{
  auto status = frames_.Start();
  if (status.ok()) {
    status = callers_.Start();
  }
  if (!status.ok()) {
    return status;
  }
  gateway_.OnSlowServer([this](const SlowServerReport& aReport) {
    feed_.ReportSlowServer(aReport);
  });
  gateway_.OnServerLeaving([this](const BackendId& aId, uint64_t aStartedAtMs) {
    feed_.ReportLeavingServer({ aId, aStartedAtMs }, Now());
  });
  gateway_.Crashes().OnReport(
    [this](const CrashReport& aReport) { feed_.ReportCrash(aReport); });
  gateway_.SetControlContact([this] {
    return ControlContact{ feed_.LatestKnownVersion() > documentInForce_,
                           feed_.LastReplyAt() };
  });
  gateway_.Quota().SetSource(&permits_);
  gateway_.Start(Now());
  feed_.Start(Now());
  ScheduleReadinessCheck();
  workers_.Start();
  LogLine(LogLevel::Info, "started")
    .Add("instance", settings_.instance_)
    .Add("zone", settings_.zone_)
    .Add("callers_port", callers_.Port())
    .Add("seeds", settings_.feed_.seeds_.size());
  return absl::OkStatus();
}

void EdgeInstance::SetSeeds(std::vector<std::string> aSeeds)
{
  asio::post(workers_.Context(0), [this, seeds = std::move(aSeeds)] {
    feed_.SetSeeds(seeds, Now());
  });
}

std::string EdgeInstance::NotReadyReason() const
{
  if (isDraining_) {
    return "the instance is stopping";
  }
  return isReady_ ? ""
                  : "the latest routes and evacuations have not been received "
                    "yet";
}

void EdgeInstance::OnFeedDocument(DocumentVersion aVersion,
                                  const std::string& aText,
                                  TimePoint aNow)
{
  auto document = decoder_(aText);
  if (!document.ok()) {
    LogLine(LogLevel::Error, "document_unreadable")
      .Add("version", aVersion)
      .Add("error", document.status());
    return;
  }
  LogLine(LogLevel::Info, "document_in_force")
    .Add("version", aVersion)
    .Add("routes", document->routes_.size())
    .Add("services", document->services_.size());
  documentInForce_ = aVersion;
  gateway_.SetRoutes(std::make_shared<const RouteTable>(*std::move(document)),
                     aNow);
  versionGauge_.Set(static_cast<double>(aVersion.Value()));
}

void EdgeInstance::OnFeedServers(const ServerDirectory& aDirectory,
                                 TimePoint aNow)
{
  holdsServers_ = feed_.IsAwaitingEvacuations(aNow);
  if (holdsServers_) {
    return;
  }
  gateway_.SetServers(aDirectory, aNow);
  serversGauge_.Set(static_cast<double>(gateway_.ServerCount()));
}

void EdgeInstance::OnFeedSlowServers(const std::vector<SlowServer>& aServers)
{
  gateway_.OnSharedSlowServers(aServers);
}

void EdgeInstance::OnFeedQuarantines(
  const std::vector<RequestQuarantine>& aQuarantines,
  TimePoint aNow)
{
  gateway_.Crashes().OnQuarantines(aQuarantines, aNow);
}

std::vector<RequestQuarantine> EdgeInstance::QuarantinesInForce(TimePoint aNow)
{
  return gateway_.Crashes().Quarantines(aNow);
}

void EdgeInstance::OnFeedEvacuations(const EvacuatedZones& aZones,
                                     TimePoint aNow)
{
  LogLine(LogLevel::Info, "evacuations_in_force")
    .Add("revision", aZones.revision_)
    .Add("zones", aZones.Names());
  evacuatedZonesGauge_.Set(static_cast<double>(aZones.zones_.size()));
  gateway_.SetEvacuatedZones(aZones.zones_, aNow);
  ReleaseServers(aNow);
}

void EdgeInstance::ReleaseServers(TimePoint aNow)
{
  if (holdsServers_ && !feed_.IsAwaitingEvacuations(aNow)) {
    OnFeedServers(feed_.Directory(), aNow);
  }
}

void EdgeInstance::OnFeedEntryCount(uint32_t aEntryCount,
                                    bool aIsComplete,
                                    TimePoint aNow)
{
  const uint32_t before = gateway_.InstanceCount();
  // Each instance uses its part of common limits; with a count that is too low,
  // all instances together would exceed them.
  const uint32_t after =
    aIsComplete ? aEntryCount : std::max(before, aEntryCount);
  if (after == before || after == 0) {
    return;
  }
  LogLine(LogLevel::Info, "entries_changed")
    .Add("before", before)
    .Add("now", after)
    .Add("complete", aIsComplete);
  gateway_.SetInstances(after, aNow);
}

void EdgeInstance::ScheduleReadinessCheck()
{
  readinessTimer_.expires_after(kReadinessInterval);
  readinessTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      UpdateReadiness(Now());
      ScheduleReadinessCheck();
    }
  });
}

void EdgeInstance::UpdateReadiness(TimePoint aNow)
{
  ReleaseServers(aNow);
  const bool isReady = feed_.IsReady(aNow);
  isReady_ = isReady;
  const size_t liveSources = feed_.LiveSources(aNow);
  sourcesGauge_.Set(static_cast<double>(liveSources));
  if (const bool isFollowing = liveSources > 0; isFollowing != wasFollowing_) {
    wasFollowing_ = isFollowing;
    // A zone that is cut off goes on serving, so readiness does not change.
    LogLine(isFollowing ? LogLevel::Info : LogLevel::Warning,
            isFollowing ? "following_control" : "following_nobody")
      .Add("document", feed_.Version())
      .Add("sources", feed_.SourceCount())
      .Add("ready", isReady);
  }
  droppedLinesGauge_.Set(static_cast<double>(DroppedLogLines()));
  if (isReady != wasReady_) {
    wasReady_ = isReady;
    LogLine(LogLevel::Info, isReady ? "ready" : "not_ready")
      .Add("document", feed_.Version())
      .Add("backend_servers", gateway_.ServerCount());
  }
}

EdgeInstance::Load EdgeInstance::GetLoad()
{
  std::promise<Load> promise;
  asio::post(workers_.Context(0), [&] {
    promise.set_value(
      { callers_.RequestsInFlight(), callers_.OpenConnections() });
  });
  return promise.get_future().get();
}

template<typename Predicate>
bool EdgeInstance::WaitFor(Predicate&& aPredicate, TimePoint aUntil)
{
  while (Now() < aUntil) {
    if (aPredicate()) {
      return true;
    }
    std::this_thread::sleep_for(kStopPollInterval);
  }
  return aPredicate();
}

void EdgeInstance::Stop()
{
  const TimePoint begin = Now();
  const TimePoint end = begin + settings_.stopTimeout_;
  // A short stop keeps half of its time for the requests in progress.
  const milliseconds drainTime =
    std::min(settings_.drainTime_, settings_.stopTimeout_ / 2);
  const Load before = GetLoad();
  LogLine(LogLevel::Info, "draining")
    .Add("requests", before.requests_)
    .Add("connections", before.connections_)
    .Add("drain_ms", drainTime.count());
  isDraining_ = true;
  asio::post(workers_.Context(0), [this, end] {
    callers_.BeginDrain(end - kLastAnswersTime, Now());
  });
  WaitFor([] { return false; }, begin + drainTime);
  asio::post(workers_.Context(0), [this] { callers_.StopAccepting(); });
  const bool isIdle =
    WaitFor([this] { return GetLoad().connections_ == 0; }, end);
  const Load after = GetLoad();
  LogLine(isIdle ? LogLevel::Info : LogLevel::Warning, "stopped")
    .Add("cut_requests", after.requests_)
    .Add("took_ms", ToMilliseconds(Now() - begin));
  workers_.Stop();
}

} // namespace foxtail
