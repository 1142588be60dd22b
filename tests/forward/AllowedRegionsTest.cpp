#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

ForwardSettings SettingsIn(const char* aZone)
{
  ForwardSettings settings = ForwardFixture::StartedSettings();
  settings.zones_ = ZoneMap(
    ZoneName(aZone),
    { { "north", { ZoneName("n1") } }, { "south", { ZoneName("s1") } } });
  return settings;
}

/// @return a route to "own" and a team with the key "k1".
RouteDocument RegionRoutes(AllowedRegions aRoute,
                           std::optional<AllowedRegions> aTeam)
{
  RouteDocument document = SingleRoutes({ "own" }, RouteEffect::Idempotent);
  document.routes_[0].allowedRegions_ = std::move(aRoute);
  if (aTeam) {
    Team team;
    team.name_ = "a";
    team.keys_ = { "k1" };
    team.allowedRegions_ = *std::move(aTeam);
    document.teams_ = { team };
  }
  return document;
}

HttpResponse SendWithKey(ForwardFixture& aFixture)
{
  HttpRequest request = MakeRequest(boost::beast::http::verb::get, "/own/1");
  request.set(boost::beast::http::field::authorization, "Bearer k1");
  return aFixture.Send(std::move(request));
}

ScriptedServer::Script OwnReply()
{
  return [](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("own") };
  };
}

} // namespace

TEST_CASE("regions: a zone in no region is outside of every list")
{
  const ZoneMap zones = SettingsIn("n1").zones_;
  CHECK(zones.RegionOf(ZoneName("s1")) == "south");
  CHECK(zones.RegionOf(ZoneName("x1")).empty());
  const AllowedRegions north{ "north" };
  CHECK_FALSE(RegionFilter(north, nullptr).Allows(""));
  CHECK(RegionFilter({}, nullptr).Allows(""));
}

TEST_CASE("regions: no request is sent outside of the lists of route and team")
{
  using Regions = AllowedRegions;
  struct Row
  {
    const char* name_;
    Regions route_;
    std::optional<Regions> team_;
    /// Zone of the only server, near or far.
    const char* zone_;
    bool isServed_;
  };
  const Row rows[] = {
    { "no lists", {}, std::nullopt, "s1", true },
    { "no lists, no region", {}, std::nullopt, "x1", true },
    { "empty lists", {}, Regions{}, "s1", true },
    { "route inside", { "south" }, std::nullopt, "s1", true },
    { "route outside", { "north" }, std::nullopt, "s1", false },
    { "route, no region", { "north", "south" }, std::nullopt, "x1", false },
    { "team inside", {}, Regions{ "south" }, "s1", true },
    { "team outside", {}, Regions{ "south" }, "n1", false },
    { "both inside", { "north", "south" }, Regions{ "south" }, "s1", true },
    { "outside of the team",
      { "north", "south" },
      Regions{ "south" },
      "n1",
      false },
    { "outside of the route",
      { "south" },
      Regions{ "north", "south" },
      "n1",
      false },
    { "disjoint lists", { "north" }, Regions{ "south" }, "n1", false },
    { "unknown region", { "east" }, std::nullopt, "n1", false },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    ScriptedServer server(OwnReply());
    ForwardFixture fixture(SettingsIn("n1"));
    fixture.SetRoutes(RegionRoutes(row.route_, row.team_));
    fixture.Announce(
      "i-1", "own", server.Address(), ServerPhase::Ready, row.zone_);
    const TimePoint start = Now();
    const HttpResponse response = SendWithKey(fixture);
    CHECK(response.result_int() == (row.isServed_ ? 200 : 503));
    CHECK((HeaderOf(response, "Retry-After") != "") == !row.isServed_);
    CHECK(server.Connections() == (row.isServed_ ? 1 : 0));
    // Well below the time limit: a refusal does not wait for servers.
    CHECK(Now() - start < seconds(1));
    CHECK(
      (fixture.MetricsText().find("foxtail_forward_region_refusals_total 1") !=
       std::string::npos) == !row.isServed_);
  }
}

TEST_CASE("regions: hedges, retries and early connections stay inside")
{
  struct Row
  {
    const char* name_;
    ScriptedReply first_;
    AllowedRegions route_;
    bool mayLeave_;
  };
  const ScriptedReply slow{ SignedReply("slow"), milliseconds(600) };
  const ScriptedReply broken{ "garbage\r\n\r\n", milliseconds(0), true };
  const Row rows[] = {
    { "hedge, no list", slow, {}, true },
    { "hedge", slow, { "north" }, false },
    { "retry, no list", broken, {}, true },
    { "retry", broken, { "north" }, false },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    ScriptedServer inside(
      [&](const std::string&, size_t) { return row.first_; });
    ScriptedServer outside(OwnReply());
    ForwardFixture fixture(SettingsIn("n1"));
    fixture.SetRoutes(RegionRoutes(row.route_, std::nullopt));
    fixture.Announce("i-1", "own", inside.Address(), ServerPhase::Ready, "n1");
    fixture.Announce("i-2", "own", outside.Address(), ServerPhase::Ready, "s1");
    SendWithKey(fixture);
    CHECK((outside.Connections() > 0) == row.mayLeave_);
  }
}

TEST_CASE("regions: a query counts only the shards with a server inside")
{
  struct Row
  {
    const char* name_;
    double leastShare_;
    AllowedRegions route_;
    unsigned status_;
    size_t sentInside_;
  };
  const Row rows[] = {
    { "no list", 1, {}, 200, 1 },
    { "all shards needed", 1, { "north" }, 503, 0 },
    { "half is enough", 0.5, { "north" }, 200, 1 },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    ScriptedServer inside(OwnReply());
    ScriptedServer outside(OwnReply());
    ForwardFixture fixture(SettingsIn("n1"));
    RouteDocument document =
      SingleRoutes({ "s0", "s1" }, RouteEffect::Idempotent);
    document.routes_.resize(1);
    document.routes_[0].pathPrefix_ = "/";
    document.routes_[0].allowedRegions_ = row.route_;
    document.routes_[0].target_ = GatherTarget{
      { ServiceName("s0"), ServiceName("s1") }, 4, row.leastShare_
    };
    fixture.SetRoutes(document);
    fixture.Announce("i-1", "s0", inside.Address(), ServerPhase::Ready, "n1");
    fixture.Announce("i-2", "s1", outside.Address(), ServerPhase::Ready, "s1");
    CHECK(fixture.Get("/q").result_int() == row.status_);
    CHECK(inside.Requests().size() == row.sentInside_);
    CHECK(outside.Connections() == (row.route_.empty() ? 1 : 0));
  }
}
