#include "../Support.h"
#include "ForwardFixture.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

constexpr ServerPhase kReady = ServerPhase::Ready;

ScriptedServer::Script ReplyWith(const std::string& aBody,
                                 milliseconds aDelay = milliseconds(0))
{
  return [aBody, aDelay](const std::string&, size_t) {
    return ScriptedReply{ SignedReply(aBody), aDelay };
  };
}

} // namespace

TEST_CASE("evacuation: servers of the zone receive no request until it ends, "
          "also those announced meanwhile")
{
  ScriptedServer inside(ReplyWith("inside"));
  ScriptedServer outside(ReplyWith("outside"));
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::Idempotent));
  fixture.Announce("i-1", "proofs", inside.Address(), kReady, "zone-b");
  CHECK(fixture.Get("/proofs/1").body() == "inside");
  fixture.Announce("i-2", "proofs", outside.Address(), kReady, "zone-a");
  fixture.SetEvacuatedZones({ ZoneName("zone-b") });
  const size_t before = inside.Requests().size();
  // A renewed and a new announcement do not end the evacuation.
  fixture.Announce("i-1", "proofs", inside.Address(), kReady, "zone-b");
  fixture.Announce("i-3", "proofs", inside.Address(), kReady, "zone-b");
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.Get("/proofs/1").body() == "outside");
  }
  CHECK(inside.Requests().size() == before);

  fixture.Announce(
    "i-2", "proofs", outside.Address(), ServerPhase::Gone, "zone-a");
  CHECK(fixture.Get("/proofs/1").result_int() == 503);
  CHECK(inside.Requests().size() == before);
  fixture.SetEvacuatedZones({});
  CHECK(fixture.Get("/proofs/1").body() == "inside");
}

TEST_CASE("evacuation: a request is refused at once when all servers of its "
          "service are in evacuated zones")
{
  ScriptedServer server(ReplyWith("inside"));
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::Idempotent));
  fixture.Announce("i-1", "proofs", server.Address(), kReady, "zone-b");
  fixture.Announce("i-2", "proofs", server.Address(), kReady, "zone-c");
  fixture.SetEvacuatedZones({ ZoneName("zone-b"), ZoneName("zone-c") });
  const TimePoint begin = Now();
  const HttpResponse response = fixture.Get("/proofs/1");
  CHECK(Now() - begin < milliseconds(200));
  CHECK(response.result_int() == 503);
  CHECK(HeaderOf(response, "Retry-After") != "");
  // Without a server's signature: the request was refused here, not run.
  CHECK(HeaderOf(response, HeaderNames{}.signature_) == "");
  CHECK(server.Requests().empty());
  fixture.SetEvacuatedZones({ ZoneName("zone-b") });
  CHECK(fixture.Get("/proofs/1").body() == "inside");
}

// A request that waits for a connection would be sent to the zone as long as
// the requests before it run.
TEST_CASE("evacuation: requests that wait for a server of the zone are sent to "
          "another one")
{
  ScriptedServer inside(ReplyWith("inside", milliseconds(1500)));
  ScriptedServer outside(ReplyWith("outside"));
  ForwardFixture fixture;
  RouteDocument document = SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce);
  document.services_[0].maxConnections_ = 1;
  fixture.SetRoutes(document);
  fixture.Announce("i-1", "proofs", inside.Address(), kReady, "zone-b");
  std::thread first(
    [&] { CHECK(fixture.Get("/proofs/1").body() == "inside"); });
  REQUIRE(WaitUntil([&] { return inside.Requests().size() == 1; }));
  std::string second;
  std::thread waiting([&] { second = fixture.Get("/proofs/2").body(); });
  std::this_thread::sleep_for(milliseconds(100));
  fixture.Announce("i-2", "proofs", outside.Address(), kReady, "zone-a");
  const TimePoint begin = Now();
  fixture.SetEvacuatedZones({ ZoneName("zone-b") });
  waiting.join();
  CHECK(Now() - begin < milliseconds(600));
  CHECK(second == "outside");
  first.join();
  CHECK(inside.Requests().size() == 1);
}
