#include "core/WorkerPool.h"
#include "load/LoadRun.h"

#include <cstdio>

using namespace foxtail;

int main(int argc, const char** argv)
{
  const auto options = LoadOptions::FromCommandLine(argc, argv);
  if (!options.ok()) {
    std::fprintf(
      stderr, "%s\n", std::string(options.status().message()).c_str());
    return 2;
  }
  BlockStopSignals();
  const auto report = RunLoad(*options);
  if (!report.ok()) {
    std::fprintf(
      stderr, "%s\n", std::string(report.status().message()).c_str());
    return 1;
  }
  std::printf("%s\n", boost::json::serialize(*report).c_str());
  return 0;
}
