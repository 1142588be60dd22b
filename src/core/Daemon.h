#ifndef CORE_DAEMON_H
#define CORE_DAEMON_H

#include "core/Program.h"
#include "core/WorkerPool.h"

#include <cstdio>
#include <string>
#include <utility>

namespace foxtail {

/// Prints the message of @p aStatus to standard error.
inline void PrintFailure(const absl::Status& aStatus)
{
  std::fprintf(stderr, "%s\n", std::string(aStatus.message()).c_str());
}

/// Runs a daemon until it receives a stop signal: parses the command line,
/// loads and checks the settings, starts the log, and starts and stops the
/// daemon.
///
/// @tparam Daemon constructed from its settings; has Start(), which returns an
/// absl::Status, and Stop(), which shuts it down gracefully.
/// @param aProgram program name written to each log line.
/// @param aRead reads the daemon's settings, whose member log_ holds the
/// LogSettings.
/// @return the exit status: 0, or 1 when the daemon could not start.
template<typename Daemon, typename Read>
int RunDaemon(int argc, const char** argv, const char* aProgram, Read&& aRead)
{
  const DaemonOptions options = ParseDaemonCommandLine(argc, argv);
  auto settings = LoadSettings(options.settings_, aRead);
  if (!settings.ok()) {
    PrintFailure(settings.status());
    return 1;
  }
  if (options.isCheckOnly_) {
    std::puts("the settings are valid");
    return 0;
  }
  BlockStopSignals();
  if (const auto status = StartLog(settings->log_, aProgram); !status.ok()) {
    PrintFailure(status);
    return 1;
  }
  Daemon daemon(*std::move(settings));
  const absl::Status status = daemon.Start();
  if (status.ok()) {
    WaitForStopSignal();
    daemon.Stop();
  } else {
    LogLine(LogLevel::Error, "not_started").Add("error", status);
    PrintFailure(status);
  }
  StopLog();
  return status.ok() ? 0 : 1;
}

} // namespace foxtail

#endif // CORE_DAEMON_H
