#include "control/ClaimClient.h"
#include "core/LatencyHistogram.h"
#include "core/WorkerPool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <sstream>
#include <thread>

using namespace foxtail;

namespace {

/// Client loops that share one thread, and their counters.
struct ClaimLoad
{
  ClaimClient& client_;
  TimePoint end_;
  LatencyHistogram latency_;
  uint64_t granted_ = 0;
  uint64_t failed_ = 0;
  size_t running_ = 0;

  boost::asio::awaitable<void> Run(size_t aNumber)
  {
    for (uint64_t i = 0; Now() < end_; ++i) {
      ClaimRequest request;
      request.service_ = ServiceName("proof");
      request.key_ = std::to_string(aNumber) + "-" + std::to_string(i) + "-" +
                     std::to_string(end_.time_since_epoch().count());
      request.request_ = RequestId("benchmark");
      const TimePoint begin = Now();
      const auto result =
        co_await client_.Claim(std::move(request), milliseconds(5000));
      latency_.Add(Now() - begin);
      const bool isGranted =
        result.ok() && result->state_ == ClaimState::Granted;
      (isGranted ? granted_ : failed_) += 1;
    }
    --running_;
  }
};

std::vector<ControlPeer> PeersOf(const std::string& aText)
{
  std::vector<ControlPeer> peers;
  std::istringstream text(aText);
  std::string endpoint;
  while (std::getline(text, endpoint, ',')) {
    peers.push_back({ InstanceId("control"), endpoint });
  }
  return peers;
}

} // namespace

/// Run by scripts/measure/claims.py, which starts the control instances.
TEST_CASE("claims benchmark" * doctest::skip())
{
  const char* control = std::getenv("FOXTAIL_CONTROL");
  const char* key = std::getenv("FOXTAIL_KEY");
  const char* clients = std::getenv("FOXTAIL_CLIENTS");
  const char* seconds = std::getenv("FOXTAIL_SECONDS");
  REQUIRE((control && key && clients && seconds));
  WorkerPool workers(1);
  FrameTransportSettings settings;
  settings.instance_ = InstanceId("benchmark");
  settings.deploymentKey_ = key;
  FrameTransport frames(settings, workers);
  Metrics metrics;
  ClaimClient client(PeersOf(control), frames, metrics);
  REQUIRE(frames.Start().ok());
  const auto length = std::chrono::duration<double>(std::atof(seconds));
  const TimePoint begin = Now();
  ClaimLoad load{ client, begin + duration_cast<Duration>(length), {} };
  load.running_ = std::strtoull(clients, nullptr, 10);
  for (size_t i = 0; i < load.running_; ++i) {
    boost::asio::co_spawn(
      workers.Context(0), load.Run(i), boost::asio::detached);
  }
  workers.Start();
  std::this_thread::sleep_until(load.end_ + milliseconds(500));
  frames.Stop();
  workers.Stop();
  std::printf("{\"granted\":%llu,\"failed\":%llu,\"p50_ms\":%.3f,"
              "\"p99_ms\":%.3f}\n",
              static_cast<unsigned long long>(load.granted_),
              static_cast<unsigned long long>(load.failed_),
              ToMilliseconds(load.latency_.Quantile(0.5)),
              ToMilliseconds(load.latency_.Quantile(0.99)));
}
