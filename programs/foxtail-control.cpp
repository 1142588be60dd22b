#include "consensus/FileLogStorage.h"
#include "control/AdminApi.h"
#include "control/CommandServer.h"
#include "control/DocumentServer.h"
#include "core/Log.h"
#include "core/Program.h"
#include "core/WorkerPool.h"
#include "http/HttpServer.h"
#include "status/StatusService.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>
#include <unistd.h>

namespace foxtail {
namespace {

constexpr uint16_t kAdminPort = 8090;
constexpr uint16_t kPlatformPort = 8091;
constexpr int kFailureStatus = 1;
constexpr milliseconds kRequestsTimeout{ 5000 };

/// Settings of a control instance.
struct ProgramSettings
{
  InstanceId instance_;
  ZoneName zone_;
  /// Folder of the log and the snapshot; only this process may use it.
  std::string data_;
  LogSettings log_;
  FrameTransportSettings instances_;
  HttpServerSettings admin_;
  HttpServerSettings platform_;
  ControlSettings control_;
  AccessSettings access_;
  /// Endpoints for frames of entry instances that are told of new documents.
  std::vector<std::string> entries_;

  static ProgramSettings Read(JsonReader& aReader);
};

ProgramSettings ProgramSettings::Read(JsonReader& aReader)
{
  constexpr size_t kMaxEntries = 64;
  ProgramSettings settings;
  settings.instance_ = InstanceId(aReader.RequiredString("instance"));
  settings.zone_ = ZoneName(aReader.RequiredString("zone"));
  settings.data_ = aReader.RequiredString("data", 4096);
  settings.control_ = ControlSettings::Read(aReader);
  settings.access_ = AccessSettings::Read(aReader);
  settings.entries_ = aReader.Strings("entries", kMaxEntries);
  settings.admin_.port_ = kAdminPort;
  settings.platform_.port_ = kPlatformPort;
  aReader.Object("log", [&](JsonReader& aMember) {
    settings.log_ = LogSettings::Read(aMember);
  });
  aReader.Object("instances", [&](JsonReader& aMember) {
    settings.instances_ = FrameTransportSettings::Read(aMember);
  });
  aReader.Object("admin", [&](JsonReader& aMember) {
    settings.admin_ = HttpServerSettings::Read(aMember, kAdminPort);
  });
  aReader.Object("platform", [&](JsonReader& aMember) {
    settings.platform_ = HttpServerSettings::Read(aMember, kPlatformPort);
  });
  // One budget a process.
  settings.platform_.peerBytes_ = settings.admin_.peerBytes_;
  settings.instances_.instance_ = settings.instance_;
  settings.control_.instance_ = settings.instance_;
  return settings;
}

std::string EndpointText(const std::string& aAddress, uint16_t aPort)
{
  const bool isV6 = aAddress.find(':') != std::string::npos;
  return (isV6 ? "[" + aAddress + "]" : aAddress) + ":" + std::to_string(aPort);
}

/// The parts of a running control instance, in the order of their making.
class ControlInstance
{
public:
  ControlInstance(ProgramSettings aSettings, DataFolder aFolder)
    : settings_(std::move(aSettings))
    , frameWorkers_(2)
    , httpWorker_(1)
    , frames_(settings_.instances_, frameWorkers_)
    , access_(settings_.access_)
    , storage_(std::make_unique<FileLogStorage>(aFolder.Path()))
    , control_(settings_.control_,
               std::move(aFolder),
               std::move(storage_),
               frames_,
               metrics_)
    , commands_(control_, frames_, metrics_)
    , documents_(control_, frames_, settings_.entries_, metrics_)
    , admin_(control_, access_, metrics_)
    , platform_(
        metrics_,
        nullptr,
        [this] { return NotReadyReason(); },
        [this] { return Status(); })
    , adminServer_(settings_.admin_, httpWorker_)
    , platformServer_(settings_.platform_, httpWorker_)
  {
    control_.OnFailure([this] {
      hasFailed_ = true;
      ::kill(::getpid(), SIGTERM);
    });
  }

  absl::Status Start(bool aIsBootstrap)
  {
    auto status = control_.Start(aIsBootstrap);
    if (status.ok()) {
      status = frames_.Start();
    }
    if (status.ok()) {
      status = adminServer_.Start([this](HttpRequest aRequest) {
        return admin_.Handle(std::move(aRequest));
      });
    }
    if (status.ok()) {
      status = platformServer_.Start([this](HttpRequest aRequest) {
        return platform_.Handle(std::move(aRequest));
      });
    }
    if (!status.ok()) {
      return status;
    }
    frameWorkers_.Start();
    httpWorker_.Start();
    LogLine(LogLevel::Info, "control_started")
      .Add("instance", settings_.instance_)
      .Add("zone", settings_.zone_)
      .Add("admin_port", adminServer_.Port());
    return absl::OkStatus();
  }

  /// Answers what is in flight, hands over leadership and stops.
  void Stop()
  {
    platform_.SetDraining();
    adminServer_.BeginDrain();
    adminServer_.StopAccepting();
    adminServer_.WaitUntilIdle(kRequestsTimeout);
    platformServer_.StopAccepting();
    control_.Stop();
    frames_.Stop();
    httpWorker_.Stop();
    frameWorkers_.Stop();
  }

  bool HasFailed() const { return hasFailed_; }

private:
  std::string NotReadyReason() const
  {
    return hasFailed_ ? "the storage has failed" : "";
  }

  boost::json::value Status() const
  {
    return { { "instance", settings_.instance_.Value() },
             { "is_leader", control_.IsLeader() } };
  }

  ProgramSettings settings_;
  Metrics metrics_;
  WorkerPool frameWorkers_;
  WorkerPool httpWorker_;
  FrameTransport frames_;
  Access access_;
  std::unique_ptr<LogStorage> storage_;
  ReplicatedControl control_;
  CommandServer commands_;
  DocumentServer documents_;
  AdminApi admin_;
  StatusService platform_;
  HttpServer adminServer_;
  HttpServer platformServer_;
  std::atomic<bool> hasFailed_{ false };
};

int Fail(const absl::Status& aStatus)
{
  std::fprintf(stderr, "foxtail-control: %s\n", aStatus.ToString().c_str());
  return kFailureStatus;
}

int Run(const std::string& aSettingsPath, bool aIsCheckOnly, bool aIsBootstrap)
{
  auto settings = LoadSettings(aSettingsPath, ProgramSettings::Read);
  if (!settings.ok()) {
    return Fail(settings.status());
  }
  if (aIsCheckOnly) {
    std::puts("the settings are valid");
    return 0;
  }
  BlockStopSignals();
  if (auto status = StartLog(settings->log_, "foxtail-control"); !status.ok()) {
    return Fail(status);
  }
  settings->control_.endpoint_ =
    EndpointText(settings->instances_.address_, settings->instances_.port_);
  settings->control_.admin_ =
    EndpointText(settings->admin_.address_, settings->admin_.port_);
  auto folder = DataFolder::Open(settings->data_);
  if (!folder.ok()) {
    StopLog();
    return Fail(folder.status());
  }
  ControlInstance instance(*std::move(settings), *std::move(folder));
  if (auto status = instance.Start(aIsBootstrap); !status.ok()) {
    LogLine(LogLevel::Error, "control_start_failed").Add("error", status);
    StopLog();
    return Fail(status);
  }
  const int signal = WaitForStopSignal();
  LogLine(LogLevel::Info, "control_stopping").Add("signal", signal);
  instance.Stop();
  StopLog();
  return instance.HasFailed() ? kFailureStatus : 0;
}

} // namespace
} // namespace foxtail

int main(int argc, const char** argv)
{
  std::string settings;
  bool isCheckOnly = false;
  bool isBootstrap = false;
  foxtail::ParseCommandLine(
    argc,
    argv,
    { { "settings", &settings, nullptr, "JSON settings file" },
      { "check", nullptr, &isCheckOnly, "check the settings and stop" },
      { "bootstrap",
        nullptr,
        &isBootstrap,
        "make a new group, when the data folder is empty and none of the "
        "voters has one" } },
    "--settings FILE [--bootstrap]");
  return foxtail::Run(settings, isCheckOnly, isBootstrap);
}
