#include "backend/BackendFleet.h"
#include "caller/CallerService.h"
#include "control/ClaimClient.h"
#include "control/ControlDocumentReader.h"
#include "control/ControlPeersSettings.h"
#include "core/Daemon.h"
#include "core/Log.h"
#include "core/WorkerPool.h"
#include "http/HttpServer.h"
#include "instance/InstanceRuntime.h"
#include "policy/RoutingReadiness.h"
#include "status/AnnouncementReceiver.h"
#include "status/StatusService.h"

#include <boost/asio/post.hpp>
#include <cstdio>
#include <thread>

namespace foxtail {

namespace asio = boost::asio;

namespace {

/// Settings of an entry instance.
struct EntrySettings
{
  InstanceId instance_;
  ZoneName zone_;
  /// Threads that serve callers and backend servers.
  size_t workers_ = 2;
  LogSettings log_;
  HttpServerSettings callers_;
  HttpServerSettings platform_;
  BackendSettings backend_;
  InstanceRuntimeSettings shared_;
  /// Without the member "instances" this instance works on its own.
  bool isShared_ = false;
  /// Control instances, for documents and claims; needs "instances".
  ControlPeersSettings control_;
  RoutingReadinessSettings readiness_;
  PolicySettings policy_;
  /// File of the document that is in force until a newer one is heard.
  std::string document_;
  /// How long a stopping instance goes on accepting after /readyz fails.
  milliseconds drain_{ 2000 };
  /// How long a stopping instance waits for requests in flight.
  milliseconds stopTimeout_{ 130000 };

  static EntrySettings Read(JsonReader& aReader);
};

EntrySettings EntrySettings::Read(JsonReader& aReader)
{
  constexpr int64_t kMaxWorkers = 64;
  constexpr uint16_t kCallersPort = 8080;
  constexpr uint16_t kPlatformPort = 8081;
  constexpr milliseconds kLongest{ 600000 };
  EntrySettings settings;
  settings.instance_ = InstanceId(aReader.RequiredString("instance"));
  settings.zone_ = ZoneName(aReader.RequiredString("zone"));
  settings.workers_ =
    static_cast<size_t>(aReader.Integer("workers", 2, 1, kMaxWorkers));
  settings.document_ = aReader.String("document", "");
  settings.control_ = ControlPeersSettings::Read(aReader);
  settings.readiness_ = RoutingReadinessSettings::Read(aReader);
  settings.drain_ =
    aReader.Millis("drain_ms", settings.drain_, milliseconds::zero(), kLongest);
  settings.stopTimeout_ = aReader.Millis(
    "stop_timeout_ms", settings.stopTimeout_, milliseconds::zero(), kLongest);
  aReader.Object("log", [&](JsonReader& aMember) {
    settings.log_ = LogSettings::Read(aMember);
  });
  settings.callers_.port_ = kCallersPort;
  settings.platform_.port_ = kPlatformPort;
  aReader.Object("callers", [&](JsonReader& aMember) {
    settings.callers_ = HttpServerSettings::Read(aMember, kCallersPort);
  });
  aReader.Object("platform", [&](JsonReader& aMember) {
    settings.platform_ = HttpServerSettings::Read(aMember, kPlatformPort);
  });
  // One budget a process.
  settings.platform_.peerBytes_ = settings.callers_.peerBytes_;
  settings.isShared_ = settings.shared_.Read(aReader);
  settings.shared_.instance_ = settings.instance_;
  settings.shared_.zone_ = settings.zone_;
  settings.shared_.platformEndpoint_ = settings.platform_.address_ + ":" +
                                       std::to_string(settings.platform_.port_);
  settings.shared_.documents_.readInterval_ = settings.control_.readInterval_;
  settings.shared_.documents_.quorumTimeout_ = settings.control_.startTimeout_;
  if (!settings.control_.control_.empty() && !settings.isShared_) {
    aReader.Fault("control",
                  "needs \"instances\"; give its address, port and "
                  "deployment_key");
  }
  aReader.Object("backend", [&](JsonReader& aMember) {
    settings.backend_ = BackendSettings::Read(aMember);
  });
  aReader.Object("policy", [&](JsonReader& aMember) {
    settings.policy_ = PolicySettings::Read(aMember);
  });
  return settings;
}

absl::StatusOr<Document> LoadDocument(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  return ParseDocument(*text);
}

boost::json::value LayoutStatus(const Layout& aLayout,
                                const RoutingTable& aTable)
{
  return { { "index_version", aLayout.key_.version_.Value() },
           { "shards", aLayout.key_.shardCount_ },
           { "covered", aLayout.CoveredShards(aTable.Replicas()) } };
}

/// The parts of a running entry instance, in the order of their making.
class Entry
  : private RoutingListener
  , private AnnouncementListener
  , private AnnouncementSink
{
public:
  explicit Entry(EntrySettings aSettings)
    : settings_(std::move(aSettings))
    , workers_(settings_.workers_)
    , platformWorker_(1)
    , document_(std::make_shared<const Document>())
    , fleet_(settings_.instance_,
             settings_.backend_,
             settings_.policy_,
             workers_,
             metrics_)
    , shared_(MakeShared())
    , claims_(MakeClaims())
    , callers_(workers_, fleet_, document_, claims_.get(), metrics_)
    , receiver_({}, platformWorker_.Context(0), metrics_, *this)
    , platform_(
        metrics_,
        &receiver_,
        [this] { return NotReadyReason(); },
        [this] { return Status(); })
    , readiness_(settings_.readiness_)
    , callerServer_(settings_.callers_, workers_)
    , platformServer_(settings_.platform_, platformWorker_)
  {
  }

  absl::Status Start()
  {
    if (!settings_.document_.empty()) {
      auto document = LoadDocument(settings_.document_);
      if (!document.ok()) {
        return document.status();
      }
      ApplyDocument(std::make_shared<const Document>(std::move(*document)));
    }
    if (auto status = StartShared(); !status.ok()) {
      return status;
    }
    auto status = callerServer_.Start([this](HttpRequest aRequest) {
      return callers_.Handle(std::move(aRequest));
    });
    if (status.ok()) {
      status = platformServer_.Start([this](HttpRequest aRequest) {
        return platform_.Handle(std::move(aRequest));
      });
    }
    if (!status.ok()) {
      return status;
    }
    fleet_.Start(Now());
    receiver_.Start();
    workers_.Start();
    platformWorker_.Start();
    LogLine(LogLevel::Info, "started")
      .Add("instance", settings_.instance_)
      .Add("zone", settings_.zone_)
      .Add("callers_port", callerServer_.Port())
      .Add("platform_port", platformServer_.Port());
    return absl::OkStatus();
  }

  /// Graceful shutdown: the balancer is told first, requests that are already
  /// on their way are still accepted, and those in flight are finished.
  void Stop()
  {
    LogLine(LogLevel::Info, "draining")
      .Add("instance", settings_.instance_)
      .Add("drain_ms", settings_.drain_.count());
    platform_.SetDraining();
    if (shared_ != nullptr) {
      shared_->BeginLeave();
    }
    callerServer_.BeginDrain();
    std::this_thread::sleep_for(settings_.drain_);
    callerServer_.StopAccepting();
    const bool isIdle = callerServer_.WaitUntilIdle(settings_.stopTimeout_);
    WaitForRecords();
    platformServer_.StopAccepting();
    StopShared();
    platformWorker_.Stop();
    workers_.Stop();
    LogLine(isIdle ? LogLevel::Info : LogLevel::Error, "stopped")
      .Add("instance", settings_.instance_)
      .Add("cut_requests", callerServer_.RequestsInFlight());
  }

private:
  std::unique_ptr<InstanceRuntime> MakeShared()
  {
    if (!settings_.isShared_) {
      return nullptr;
    }
    return std::make_unique<InstanceRuntime>(
      settings_.shared_, platformWorker_, document_);
  }

  std::unique_ptr<ClaimStore> MakeClaims()
  {
    if (shared_ == nullptr || settings_.control_.control_.empty()) {
      return nullptr;
    }
    return std::make_unique<ClaimClient>(
      settings_.control_.control_, shared_->Transport(), metrics_);
  }

  /// Begins to share with the other instances. All of it runs on the platform
  /// worker, as the intake of announcements does.
  absl::Status StartShared()
  {
    if (shared_ == nullptr) {
      return absl::OkStatus();
    }
    receiver_.SetListener(this);
    shared_->SetAnnouncementSink(this);
    shared_->OnDocument([this] { ApplyZones(*document_.Load()); });
    shared_->OnView([this](const std::shared_ptr<const MembershipView>& aView) {
      fleet_.SetInstances(aView->ReachableEntryNames());
    });
    if (!settings_.control_.control_.empty()) {
      shared_->SetDocumentSource(
        [this](DocumentVersion aKnown, milliseconds aTimeout) {
          return ReadDocument(aKnown, aTimeout);
        });
    }
    return shared_->Start();
  }

  void StopShared()
  {
    if (shared_ == nullptr) {
      return;
    }
    // The goodbye is on its way before the connections close.
    constexpr milliseconds kGoodbye{ 50 };
    shared_->Stop();
    std::this_thread::sleep_for(kGoodbye);
    shared_->Transport().Stop();
  }

  asio::awaitable<absl::StatusOr<DocumentSourceResult>> ReadDocument(
    DocumentVersion aKnown,
    milliseconds aTimeout)
  {
    if (reader_ == nullptr) {
      reader_ = std::make_unique<ControlDocumentReader>(
        settings_.control_.control_, shared_->Endpoint(), shared_->Transport());
    }
    auto reading = co_await reader_->Read(aKnown, aTimeout);
    if (!reading.ok()) {
      co_return reading.status();
    }
    co_return DocumentSourceResult{ std::move(reading->document_),
                                    reading->isConfirmed_ };
  }

  void OnAnnouncement(const Announcement& aAnnouncement,
                      AnnouncementVerdict) override
  {
    shared_->OnDirectAnnouncement(aAnnouncement);
  }

  void OnChanged(std::span<const Announcement> aAnnouncements) override
  {
    receiver_.ApplyFromPeer(aAnnouncements, Now());
  }

  void OnRenewed(std::span<const Announcement> aAnnouncements) override
  {
    receiver_.RenewFromPeer(aAnnouncements, Now());
  }

  void OnWithdrawn(std::span<const Withdrawal> aWithdrawals) override
  {
    for (const Withdrawal& withdrawal : aWithdrawals) {
      receiver_.WithdrawFromPeer(withdrawal.server_,
                                 withdrawal.incarnation_,
                                 withdrawal.sequence_,
                                 Now());
    }
  }

  void ApplyZones(const Document& aDocument)
  {
    fleet_.SetZones(ZoneMap(settings_.zone_, aDocument.regions_), Now());
  }

  /// Puts a document in force. Thread safe.
  void ApplyDocument(const std::shared_ptr<const Document>& aDocument)
  {
    document_.Publish(aDocument);
    asio::post(platformWorker_.Context(0),
               [this, document = aDocument] { ApplyZones(*document); });
  }

  void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable,
                      TimePoint aNow) override
  {
    fleet_.Update(std::move(aTable), aNow);
  }

  void OnAnnouncementReceived(const BackendId& aServer, TimePoint aNow) override
  {
    fleet_.OnAnnouncementReceived(aServer, aNow);
  }

  void OnTick(TimePoint aNow) override
  {
    constexpr seconds kExportInterval{ 1 };
    fleet_.Refresh(aNow);
    if (shared_ != nullptr && aNow >= nextExportAt_) {
      nextExportAt_ = aNow + kExportInterval;
      shared_->Export(metrics_);
    }
  }

  /// Waits for outcomes of actions to be recorded.
  void WaitForRecords() const
  {
    constexpr milliseconds kStep{ 5 };
    constexpr milliseconds kLongest{ 6000 };
    const TimePoint end = Now() + kLongest;
    while (callers_.PendingRecords() > 0 && Now() < end) {
      std::this_thread::sleep_for(kStep);
    }
  }

  std::string NotReadyReason()
  {
    if (shared_ != nullptr && !shared_->IsReady()) {
      return "the newest document is not known yet";
    }
    if (document_.Load()->services_.empty()) {
      return "no configuration document";
    }
    return readiness_.IsReady(IsCovered(), Now() - startedAt_)
             ? ""
             : "backend servers are not all known yet";
  }

  /// @return whether each service's catalogues are announced with all shards.
  bool IsCovered() const
  {
    const auto document = document_.Load();
    const auto view = fleet_.View().Load();
    const auto isWhole = [&](const CatalogueKey& aKey) {
      const auto choice = view->choices_.find(aKey);
      return choice != view->choices_.end() && choice->second.layout_ &&
             choice->second.coveredShards_ ==
               choice->second.layout_->shardCount_;
    };
    for (const ServiceSettings& service : document->services_) {
      for (const CatalogueName& catalogue : service.catalogues_) {
        if (!isWhole({ service.name_, catalogue })) {
          return false;
        }
      }
    }
    return true;
  }

  boost::json::value Status() const
  {
    const auto document = document_.Load();
    const auto view = fleet_.View().Load();
    boost::json::array catalogues;
    for (const auto& [key, layouts] : view->table_->Catalogues()) {
      boost::json::array versions;
      for (const Layout& layout : layouts) {
        versions.push_back(LayoutStatus(layout, *view->table_));
      }
      catalogues.push_back({ { "service", key.service_.Value() },
                             { "catalogue", key.catalogue_.Value() },
                             { "versions", std::move(versions) } });
    }
    boost::json::array services;
    for (const ServiceSettings& service : document->services_) {
      services.emplace_back(service.name_.Value());
    }
    return { { "instance", settings_.instance_.Value() },
             { "zone", settings_.zone_.Value() },
             { "document_version", document->version_.Value() },
             { "services", std::move(services) },
             { "live_entries",
               shared_ == nullptr ? 1 : shared_->LiveEntryCount() },
             { "backend_servers", view->replicas_.size() },
             { "catalogues", std::move(catalogues) },
             { "requests_in_flight", callerServer_.RequestsInFlight() } };
  }

  EntrySettings settings_;
  Metrics metrics_;
  WorkerPool workers_;
  WorkerPool platformWorker_;
  RcuCell<Document> document_;
  BackendFleet fleet_;
  /// Null when this instance works on its own.
  std::unique_ptr<InstanceRuntime> shared_;
  std::unique_ptr<ControlDocumentReader> reader_;
  TimePoint nextExportAt_{};
  std::unique_ptr<ClaimStore> claims_;
  CallerService callers_;
  AnnouncementReceiver receiver_;
  StatusService platform_;
  RoutingReadiness readiness_;
  const TimePoint startedAt_ = Now();
  HttpServer callerServer_;
  HttpServer platformServer_;
};

} // namespace
} // namespace foxtail

int main(int argc, const char** argv)
{
  return foxtail::RunDaemon<foxtail::Entry>(
    argc, argv, "foxtail-entry", foxtail::EntrySettings::Read);
}
