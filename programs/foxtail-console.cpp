#include "core/Daemon.h"
#include "core/Log.h"
#include "core/Metrics.h"
#include "core/WorkerPool.h"
#include "http/HttpServer.h"
#include "operator/ConsoleService.h"
#include "status/StatusService.h"

#include <cstdio>
#include <thread>

namespace foxtail {
namespace {

/// Settings of the operators' console.
struct ConsoleProgramSettings
{
  LogSettings log_;
  /// Where operators' browsers reach it.
  HttpServerSettings operators_;
  HttpServerSettings platform_;
  ConsoleSettings console_;
  /// How long a stopping console goes on accepting after /readyz fails.
  milliseconds drain_{ 1000 };

  static ConsoleProgramSettings Read(JsonReader& aReader);
};

ConsoleProgramSettings ConsoleProgramSettings::Read(JsonReader& aReader)
{
  constexpr uint16_t kOperatorsPort = 8090;
  constexpr uint16_t kPlatformPort = 8091;
  constexpr milliseconds kLongest{ 600000 };
  ConsoleProgramSettings settings;
  settings.operators_.port_ = kOperatorsPort;
  settings.platform_.port_ = kPlatformPort;
  settings.drain_ =
    aReader.Millis("drain_ms", settings.drain_, milliseconds::zero(), kLongest);
  aReader.Object("log", [&](JsonReader& aMember) {
    settings.log_ = LogSettings::Read(aMember);
  });
  aReader.Object("operators", [&](JsonReader& aMember) {
    settings.operators_ = HttpServerSettings::Read(aMember, kOperatorsPort);
  });
  aReader.Object("platform", [&](JsonReader& aMember) {
    settings.platform_ = HttpServerSettings::Read(aMember, kPlatformPort);
  });
  // One budget a process.
  settings.platform_.peerBytes_ = settings.operators_.peerBytes_;
  settings.console_ = ConsoleSettings::Read(aReader);
  return settings;
}

/// The parts of a running console, in the order of their making.
class Console
{
public:
  explicit Console(const ConsoleProgramSettings& aSettings)
    : drain_(aSettings.drain_)
    , worker_(1)
    , service_(aSettings.console_)
    , platform_(
        metrics_,
        nullptr,
        [] { return std::string(); },
        [] {
          return boost::json::value{ { "role", "console" } };
        })
    , operatorServer_(aSettings.operators_, worker_)
    , platformServer_(aSettings.platform_, worker_)
  {
  }

  absl::Status Start()
  {
    auto status = operatorServer_.Start([this](HttpRequest aRequest) {
      return service_.Handle(std::move(aRequest));
    });
    if (status.ok()) {
      status = platformServer_.Start([this](HttpRequest aRequest) {
        return platform_.Handle(std::move(aRequest));
      });
    }
    if (!status.ok()) {
      return status;
    }
    worker_.Start();
    LogLine(LogLevel::Info, "started")
      .Add("operators_port", operatorServer_.Port())
      .Add("platform_port", platformServer_.Port());
    return absl::OkStatus();
  }

  void Stop()
  {
    constexpr milliseconds kLongestForm{ 15000 };
    platform_.SetDraining();
    operatorServer_.BeginDrain();
    std::this_thread::sleep_for(drain_);
    operatorServer_.StopAccepting();
    operatorServer_.WaitUntilIdle(kLongestForm);
    platformServer_.StopAccepting();
    worker_.Stop();
    LogLine(LogLevel::Info, "stopped");
  }

private:
  milliseconds drain_;
  Metrics metrics_;
  WorkerPool worker_;
  ConsoleService service_;
  StatusService platform_;
  HttpServer operatorServer_;
  HttpServer platformServer_;
};

} // namespace
} // namespace foxtail

int main(int argc, const char** argv)
{
  return foxtail::RunDaemon<foxtail::Console>(
    argc, argv, "foxtail-console", foxtail::ConsoleProgramSettings::Read);
}
