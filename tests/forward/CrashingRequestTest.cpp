#include "ForwardFixture.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

constexpr const char* kDeadly = "deadly";

constexpr const char* kVictim = "victim";
constexpr const char* kPartlyDeadly = "partly";

/// What the servers of one service do with requests.
struct ServiceScript
{
  /// Whether they crash under partly deadly requests, too.
  bool crashesUnderPartlyDeadly_ = false;
  /// Set by the first victim request, under which its server crashes.
  std::atomic<bool> hasVictim_{ false };

  bool Crashes(const std::string& aRequest)
  {
    const auto has = [&](const char* aText) {
      return aRequest.find(aText) != std::string::npos;
    };
    return has(kDeadly) || (has(kPartlyDeadly) && crashesUnderPartlyDeadly_) ||
           (has(kVictim) && !hasVictim_.exchange(true));
  }
};

ScriptedServer::Script CrashScript(std::shared_ptr<ServiceScript> aScript)
{
  return [script = std::move(aScript)](const std::string& aRequest, size_t) {
    if (script->Crashes(aRequest)) {
      ScriptedReply crash;
      crash.delay_ = milliseconds(10);
      crash.crashes_ = true;
      return crash;
    }
    return ScriptedReply{ SignedReply("0123456789abcdef") };
  };
}

/// Services with several backend servers each, behind a gateway that has a
/// route for each service and one over all of them, /all/.
class CrashFixture
{
public:
  CrashFixture(size_t aServices, size_t aServers)
  {
    std::vector<std::string> names;
    for (size_t i = 0; i < aServices; ++i) {
      names.push_back("s" + std::to_string(i));
    }
    RouteDocument document = SingleRoutes(names, RouteEffect::Idempotent);
    Route all = document.routes_[0];
    all.name_ = "all";
    all.pathPrefix_ = "/all/";
    GatherTarget target;
    for (const std::string& name : names) {
      target.shards_.emplace_back(name);
    }
    target.topRecords_ = 3;
    all.target_ = target;
    document.routes_.push_back(all);
    gateway_.SetRoutes(std::move(document));
    for (const std::string& name : names) {
      const auto script = std::make_shared<ServiceScript>();
      script->crashesUnderPartlyDeadly_ = name >= "s3";
      for (size_t k = 0; k < aServers; ++k) {
        servers_.push_back(
          std::make_unique<ScriptedServer>(CrashScript(script)));
        const std::string id = name + "-" + std::to_string(k);
        gateway_.Announce(id.c_str(), name.c_str(), servers_.back()->Address());
      }
    }
  }

  unsigned Get(const std::string& aTarget)
  {
    const unsigned status = gateway_.Get(aTarget).result_int();
    // Crashes are confirmed by refused connections shortly after.
    std::this_thread::sleep_for(milliseconds(250));
    return status;
  }

  /// @return the number of requests that are probed or refused.
  size_t Suspects()
  {
    size_t count = 0;
    gateway_.RunOnGatewayThread([&] {
      count = gateway_.GetGateway().Crashes().Quarantines(Now()).size();
    });
    return count;
  }

  /// @return the number of servers that received a deadly request.
  long Crashed() const
  {
    return std::count_if(
      servers_.begin(), servers_.end(), [](const auto& aServer) {
        const auto requests = aServer->Requests();
        return std::any_of(
          requests.begin(), requests.end(), [](const std::string& aRequest) {
            return aRequest.find(kDeadly) != std::string::npos;
          });
      });
  }

private:
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  ForwardFixture gateway_;
};

} // namespace

// Guards against one request that crashes server after server: it is sent again
// each time that it comes.
TEST_CASE("a request that has crashed three servers is not sent again")
{
  SUBCASE("to one service")
  {
    CrashFixture fixture(1, 8);
    for (int i = 0; i < 2; ++i) {
      CHECK(fixture.Get("/s0/deadly") == 502);
    }
    const long crashed = fixture.Crashed();
    CHECK(crashed == 4);
    for (int i = 0; i < 3; ++i) {
      CHECK(fixture.Get("/s0/deadly") == 503);
    }
    CHECK(fixture.Crashed() == crashed);
    CHECK(fixture.Get("/s0/healthy") == 200);
  }
  SUBCASE("to all shards")
  {
    constexpr long kShards = 5;
    CrashFixture fixture(kShards, 3);
    CHECK(fixture.Get("/all/deadly") == 502);
    // Two retries show whether the shards fail because of the request.
    CHECK(fixture.Crashed() <= kShards + 2);
    for (int i = 0; i < 3; ++i) {
      CHECK(fixture.Get("/all/deadly") == 503);
    }
    CHECK(fixture.Crashed() <= kShards + 2);
    CHECK(fixture.Get("/all/healthy") == 200);
  }
}

// Guards against blaming the requests that a server had when another one
// crashed it.
TEST_CASE("a query whose servers crash together is answered by the others")
{
  CrashFixture fixture(5, 2);
  CHECK(fixture.Get("/all/victim") == 200);
  CHECK(fixture.Get("/all/victim") == 200);
  CHECK(fixture.Suspects() == 0);
}

TEST_CASE("a query that any server has replied to is no suspect")
{
  CrashFixture fixture(5, 2);
  CHECK(fixture.Get("/all/partly") == 502);
  CHECK(fixture.Suspects() == 0);
}
