#include "../Support.h"
#include "edge/EdgeControl.h"
#include "http/HttpClient.h"
#include "platform/ControlApi.h"
#include "platform/WireNames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/http/verb.hpp>
#include <doctest/doctest.h>
#include <filesystem>

using namespace foxtail;
using namespace foxtail::platform;
using boost::beast::http::verb;

namespace {

/// A control instance alone in its group, with the platform's API.
class Instance
{
public:
  explicit Instance(bool aHasGroup)
    : folder_(
        std::filesystem::temp_directory_path() /
        ("foxtail-api-" + std::to_string(Now().time_since_epoch().count())))
    , control_(SettingsOf(aHasGroup),
               *DataFolder::Open(folder_.string()),
               [] {})
    , api_(control_.Documents(),
           control_.Servers(),
           control_.Evacuations(),
           { ZoneName("zone-a"), ZoneName("zone-b") })
  {
    REQUIRE(control_.Start().ok());
  }
  ~Instance()
  {
    control_.Stop();
    std::filesystem::remove_all(folder_);
  }

  HttpResponse Post(const std::string& aPath, verb aVerb = verb::post)
  {
    auto answer = api_.Handle(MakeRequest(aVerb, aPath));
    return boost::asio::co_spawn(control_.Workers().Context(0),
                                 std::move(answer),
                                 boost::asio::use_future)
      .get();
  }
  /// Sends an order as operators do, who follow two redirects.
  HttpResponse Order(const std::string& aPath)
  {
    HttpResponse response = Post(aPath);
    for (int i = 0; i < 2 && response.result_int() == 307; ++i) {
      response = Post(TargetOf(response));
    }
    return response;
  }
  /// @return path and query of a redirect's location.
  static std::string TargetOf(const HttpResponse& aRedirect)
  {
    const std::string location(aRedirect["Location"]);
    constexpr size_t kScheme = std::string_view("http://").size();
    return location.substr(location.find('/', kScheme));
  }
  EdgeControl& Control() { return control_; }

private:
  EdgeControlSettings SettingsOf(bool aHasGroup) const
  {
    EdgeControlSettings settings;
    settings.instance_ = InstanceId("control-1");
    settings.zone_ = ZoneName("zone-a");
    settings.dataFolder_ = folder_.string();
    settings.frames_.instance_ = settings.instance_;
    settings.frames_.deploymentKey_ = "key of the tests";
    settings.frames_.port_ = FreePort();
    settings.control_.instance_ = settings.instance_;
    settings.control_.endpoint_ =
      "127.0.0.1:" + std::to_string(settings.frames_.port_);
    settings.control_.admin_ = "127.0.0.1:1";
    settings.control_.goal_.voters_ = 1;
    settings.control_.bootstrapDelay_ = milliseconds(10);
    settings.control_.consensus_.electionTimeout_ = milliseconds(100);
    settings.mayBootstrap_ = aHasGroup;
    return settings;
  }

  const std::filesystem::path folder_;
  EdgeControl control_;
  ControlApi api_;
};

} // namespace

TEST_CASE(
  "evacuation API: orders may be resent, and an unknown zone is refused "
  "with a remedy")
{
  Instance instance(true);
  REQUIRE(WaitUntil([&] { return instance.Control().IsLeader(); }));
  for (const char* path : { "/Evacuation.Start/zone-a",
                            "/Evacuation.Start/zone-a",
                            "/Evacuation.Finish/zone-a",
                            "/Evacuation.Finish/zone-a",
                            "/Evacuation.Finish/zone-b" }) {
    CAPTURE(path);
    CHECK(instance.Order(path).result_int() == 200);
  }
  for (const char* path : { "/Evacuation.Start/zone-x",
                            "/Evacuation.Finish/zone-x",
                            "/Evacuation.Start/",
                            "/Evacuation.Start/zone-a/" }) {
    CAPTURE(path);
    const HttpResponse response = instance.Post(path);
    CHECK(response.result_int() == 404);
    CHECK(response.body().find("zone-a, zone-b") != std::string::npos);
  }
  CHECK(instance.Post("/Evacuation.Start/zone-a", verb::get).result_int() ==
        404);
}

// The operator had given the order up and sent it to another instance, and the
// one that read it late confirmed it after the opposite order.
TEST_CASE("evacuation API: an order that is read late does not undo a later "
          "one")
{
  Instance instance(true);
  REQUIRE(WaitUntil([&] { return instance.Control().IsLeader(); }));
  REQUIRE(instance.Order("/Evacuation.Start/zone-a").result_int() == 200);
  const HttpResponse redirect = instance.Post("/Evacuation.Finish/zone-a");
  REQUIRE(instance.Order("/Evacuation.Finish/zone-a").result_int() == 200);
  REQUIRE(instance.Order("/Evacuation.Start/zone-a").result_int() == 200);
  SUBCASE("as it was sent at first")
  {
    CHECK(instance.Post("/Evacuation.Finish/zone-a").result_int() == 307);
  }
  SUBCASE("as it was sent after a redirect")
  {
    REQUIRE(redirect.result_int() == 307);
    CHECK(instance.Post(Instance::TargetOf(redirect)).result_int() == 307);
  }
  SUBCASE("with a number that cannot be read")
  {
    CHECK(
      instance.Post("/Evacuation.Finish/zone-a?known_orders=4x").result_int() ==
      307);
  }
  // An order that finds the zone as ordered is confirmed without a redirect.
  CHECK(instance.Post("/Evacuation.Start/zone-a").result_int() == 200);
}

TEST_CASE("evacuation API: an order that no control group can commit is not "
          "acknowledged, and is answered within a second")
{
  Instance instance(false);
  const TimePoint begin = Now();
  CHECK(instance.Post("/Evacuation.Start/zone-a").result_int() == 503);
  CHECK(Now() - begin < seconds(1));
}
