#include "ForwardFixture.h"

#include <cstdio>
#include <ctime>
#include <doctest/doctest.h>

using namespace foxtail;

namespace {

constexpr int kShards = 36;
constexpr int kQueries = 1000;

/// @return CPU time of the calling thread, in microseconds.
double ThreadMicroseconds()
{
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace

/// Prints the CPU time of the gateway's thread per query. Skipped by default,
/// because the result depends on the machine. To run it: test_forward -ns
/// -tc="gather benchmark".
TEST_CASE("gather benchmark" * doctest::skip())
{
  ForwardFixture fixture;
  const std::string part(400, 'r');
  RouteDocument document = SingleRoutes({}, RouteEffect::Idempotent);
  Route route;
  route.name_ = "all";
  route.host_ = "shop.example";
  route.pathPrefix_ = "/";
  route.effect_ = RouteEffect::Idempotent;
  route.timeout_ = seconds(2);
  route.objective_ = milliseconds(200);
  GatherTarget target;
  target.topRecords_ = 20;
  target.leastShare_ = 0.9;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  for (int i = 0; i < kShards; ++i) {
    const std::string name = "shard-" + std::to_string(i);
    target.shards_.emplace_back(name);
    document.services_.push_back({ ServiceName(name), 30 });
    servers.push_back(
      std::make_unique<ScriptedServer>([part, i](const std::string&, size_t) {
        return ScriptedReply{ SignedReply(part, "sig-" + std::to_string(i)) };
      }));
  }
  route.target_ = target;
  document.routes_.push_back(route);
  fixture.SetRoutes(document);
  for (int i = 0; i < kShards; ++i) {
    const std::string name = "shard-" + std::to_string(i);
    fixture.Announce(
      name.c_str(), name.c_str(), servers[static_cast<size_t>(i)]->Address());
  }
  REQUIRE(fixture.Get("/q").result_int() == 200);
  double before = 0;
  double after = 0;
  fixture.RunOnGatewayThread([&] { before = ThreadMicroseconds(); });
  for (int i = 0; i < kQueries; ++i) {
    REQUIRE(fixture.Get("/q").result_int() == 200);
  }
  fixture.RunOnGatewayThread([&] { after = ThreadMicroseconds(); });
  const double perQuery = (after - before) / kQueries;
  std::printf("processor time: %.0f us a query, %.1f us a shard\n",
              perQuery,
              perQuery / kShards);
}
