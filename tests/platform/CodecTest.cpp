#include "platform/BootSettings.h"
#include "platform/HeartbeatCodec.h"
#include "platform/RouteDocumentCodec.h"

#include <cstring>
#include <doctest/doctest.h>
#include <limits>
#include <rapidcheck.h>

using namespace foxtail;
using namespace foxtail::platform;

namespace {

const std::string kDocument = R"({
  "version": 7,
  "routes": [
    {"name":"r1","host":"a.example","path_prefix":"/q/","kind":"safe",
     "timeout_ms":2500,"objective_ms":150,"priority":2,
     "fanout":["s1","s2"],"max_attempts":2,"top_k":5,"min_shard_ratio":0.75},
    {"name":"r2","host":"a.example","path_prefix":"/p/","kind":"unsafe",
     "timeout_ms":6000,"service":"s3"},
    {"name":"r3","host":"b.example","path_prefix":"/","kind":"safe",
     "timeout_ms":100,"split":[{"service":"s1","weight":3},
                               {"service":"s2","weight":1}],"new":"field"}
  ],
  "services": [{"name":"s1","max_conns":31},{"name":"s2"},{"name":"s3"}],
  "limits": {"max_header_bytes":16384,"max_body_bytes":262144,
             "header_timeout_ms":3000,"idle_timeout_ms":15000}
})";

const std::string kHeartbeat =
  R"({"service":"s1","address":"10.1.0.9:8080","zone":"a","version":"v1",
      "slots":3,"state":"ready","warmup_left_ms":40,"seq":4,"born":1700})";

/// @return @p aText with its first @p aFrom replaced.
std::string With(std::string aText,
                 const std::string& aFrom,
                 const std::string& aTo)
{
  const size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("document: every member is decoded into its field")
{
  const auto document = DecodeRouteDocument(kDocument);
  REQUIRE(document.ok());
  REQUIRE(document->Validate().ok());
  CHECK(document->version_ == DocumentVersion(7));
  const Route& query = document->routes_[0];
  CHECK(query.effect_ == RouteEffect::Idempotent);
  CHECK(query.timeout_ == milliseconds(2500));
  CHECK(query.objective_ == milliseconds(150));
  CHECK(query.priority_ == 2);
  CHECK(query.maxAttempts_ == 2);
  const auto& gather = std::get<GatherTarget>(query.target_);
  CHECK(gather.shards_.size() == 2);
  CHECK(gather.topRecords_ == 5);
  CHECK(gather.leastShare_ == doctest::Approx(0.75));
  const Route& single = document->routes_[1];
  CHECK(single.effect_ == RouteEffect::AtMostOnce);
  CHECK(single.objective_ == milliseconds(6000));
  CHECK(std::get<SingleTarget>(single.target_).service_ == ServiceName("s3"));
  const auto& split = std::get<SplitTarget>(document->routes_[2].target_);
  CHECK(split.parts_[0].weight_ == doctest::Approx(3));
  CHECK(document->services_[0].maxConnections_ == 31);
  CHECK(document->limits_.maxBodyBytes_ == 262144);
  CHECK(document->limits_.idleTimeout_ == milliseconds(15000));
}

// A priority of 2^32 was served first, a query with a top_k of 2^32 was
// answered with no record, and a time limit of 2^63 ms or more was refused as
// 0.
TEST_CASE("document: numbers beyond their types do not wrap to small ones")
{
  constexpr uint32_t kMax = std::numeric_limits<uint32_t>::max();
  constexpr milliseconds kYear = std::chrono::hours(24 * 365);
  for (const char* number : { "4294967296", "18446744073709551615" }) {
    CAPTURE(std::string(number));
    std::string text = kDocument;
    for (const char* member : { "\"priority\":2",
                                "\"max_attempts\":2",
                                "\"top_k\":5",
                                "\"max_conns\":31",
                                "\"max_header_bytes\":16384",
                                "\"timeout_ms\":2500",
                                "\"objective_ms\":150",
                                "\"idle_timeout_ms\":15000" }) {
      const std::string name(member, std::strchr(member, ':') + 1);
      text = With(text, member, name + number);
    }
    text = With(text, "{\"name\":\"s2\"}", R"({"name":"s2","warmup_s":1e300})");
    const auto document = DecodeRouteDocument(text);
    REQUIRE(document.ok());
    CHECK(document->Validate().ok());
    CHECK(document->services_[1].warmup_ == kYear);
    const Route& route = document->routes_[0];
    CHECK(route.priority_ == kMax);
    CHECK(route.maxAttempts_ == kMax);
    CHECK(std::get<GatherTarget>(route.target_).topRecords_ == kMax);
    CHECK(document->services_[0].maxConnections_ == kMax);
    CHECK(document->limits_.maxHeaderBytes_ == kMax);
    for (const milliseconds time :
         { route.timeout_, route.objective_, document->limits_.idleTimeout_ }) {
      CHECK(time >= milliseconds(kMax));
      CHECK(time <= kYear);
    }
  }
}

TEST_CASE("document: teams, regions and warm-up are decoded into their fields")
{
  const std::string teams =
    R"("tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":0,
                   "rate_per_s":47,"burst":12.5,"allowed_regions":["north"]},
                  {"name":"t2"}],)";
  std::string text = With(kDocument, "\"routes\":", teams + "\"routes\":");
  text = With(text,
              "\"service\":\"s3\"",
              R"("service":"s3","public":true,"allowed_regions":["a","b"])");
  text = With(text,
              "\"max_conns\":31",
              R"("max_conns":31,"warmup_s":2.5,"warmup_per_s":4)");
  const auto document = DecodeRouteDocument(text);
  REQUIRE(document.ok());
  REQUIRE(document->Validate().ok());
  REQUIRE(document->teams_.has_value());
  const Team& team = document->teams_->at(0);
  CHECK(team.name_ == "t1");
  CHECK(team.keys_ == std::vector<std::string>{ "k1", "k2" });
  CHECK(team.priority_ == 0U);
  CHECK(team.requestsPerSecond_ == doctest::Approx(47));
  CHECK(team.burst_ == doctest::Approx(12.5));
  CHECK(team.allowedRegions_ == AllowedRegions{ "north" });
  CHECK_FALSE(document->teams_->at(1).priority_.has_value());
  CHECK(document->teams_->at(1).requestsPerSecond_ == 0);
  CHECK_FALSE(document->routes_[0].isPublic_);
  CHECK(document->routes_[1].isPublic_);
  CHECK(document->routes_[1].allowedRegions_ == AllowedRegions{ "a", "b" });
  CHECK(document->services_[0].warmup_ == milliseconds(2500));
  CHECK(document->services_[0].warmupPerSecond_ == doctest::Approx(4));
}

TEST_CASE("document: an empty list of teams differs from none")
{
  CHECK_FALSE(DecodeRouteDocument(kDocument)->teams_.has_value());
  const auto document = DecodeRouteDocument(
    With(kDocument, "\"routes\":", "\"tenants\":[],\"routes\":"));
  REQUIRE(document.ok());
  REQUIRE(document->teams_.has_value());
  CHECK(document->teams_->empty());
}

TEST_CASE("document: incomplete and invalid documents are rejected")
{
  struct Row
  {
    const char* name_;
    std::string text_;
  };
  const Row rows[] = {
    { "an empty text", "" },
    { "a truncated text", kDocument.substr(0, kDocument.size() / 2) },
    { "the last brace missing", kDocument.substr(0, kDocument.rfind('}')) },
    { "trailing text", kDocument + "{}" },
    { "not an object", "[1]" },
    { "no version", With(kDocument, "\"version\": 7,", "") },
    { "a version that is not a number", With(kDocument, "7,", "\"7\",") },
    { "a negative version", With(kDocument, "7,", "-7,") },
    { "routes that are not an array",
      With(kDocument, "\"routes\": [", "\"routes\": 3, \"x\": [") },
    { "a route without a host",
      With(kDocument, "\"host\":\"a.example\",", "") },
    { "a route without a target", With(kDocument, ",\"service\":\"s3\"", "") },
    { "an unknown service",
      With(kDocument, "\"service\":\"s3\"", "\"service\":\"s9\"") },
    { "an unknown shard",
      With(kDocument, "[\"s1\",\"s2\"]", "[\"s1\",\"s9\"]") },
    { "a shard that is not a string",
      With(kDocument, "[\"s1\",\"s2\"]", "[\"s1\",2]") },
    { "two routes with one host and path prefix",
      With(kDocument, "\"path_prefix\":\"/p/\"", "\"path_prefix\":\"/q/\"") },
    { "weights that add up to 0",
      With(With(kDocument, "\"weight\":3", "\"weight\":0"),
           "\"weight\":1",
           "\"weight\":0") },
    { "a weight that is not a number",
      With(kDocument, "\"weight\":3", "\"weight\":\"x\"") },
    { "a timeout of 0",
      With(kDocument, "\"timeout_ms\":2500", "\"timeout_ms\":0") },
    { "deeply nested", std::string(5000, '[') },
    { "two teams with one key",
      With(kDocument,
           "\"routes\":",
           R"("tenants":[{"name":"a","api_keys":["k"]},
                         {"name":"b","api_keys":["k"]}],"routes":)") },
    { "a key that is not a string",
      With(kDocument,
           "\"routes\":",
           R"("tenants":[{"name":"a","api_keys":[7]}],"routes":)") },
    { "teams that are not an array",
      With(kDocument, "\"routes\":", R"("tenants":{},"routes":)") },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const auto document = DecodeRouteDocument(row.text_);
    const auto status =
      document.ok() ? document->Validate() : document.status();
    CHECK_FALSE(status.ok());
    CHECK(status.message() != "");
  }
}

TEST_CASE("document: corrupted text never crashes the decoder")
{
  CHECK(rc::check([] {
    std::string text = kDocument;
    for (int i = 0; i < 3; ++i) {
      text[*rc::gen::inRange<size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
    }
    const auto document = DecodeRouteDocument(text);
    if (document.ok()) {
      (void)document->Validate();
    }
  }));
}

TEST_CASE("heartbeat: valid bodies are decoded and invalid ones are rejected")
{
  const auto heartbeat = DecodeHeartbeat("i-1", kHeartbeat);
  REQUIRE(heartbeat.ok());
  CHECK(heartbeat->id_ == BackendId("i-1"));
  CHECK(heartbeat->slots_ == 3);
  CHECK(heartbeat->sequence_ == 4);
  CHECK(heartbeat->startedAtMs_ == 1700);
  CHECK(heartbeat->warmupLeft_ == milliseconds(40));
  CHECK(DecodeHeartbeat("i-1", With(kHeartbeat, "ready", "draining"))->phase_ ==
        ServerPhase::Draining);
  struct Row
  {
    const char* name_;
    std::string body_;
  };
  const Row rows[] = {
    { "an empty body", "" },
    { "not JSON", "hello" },
    { "no service", With(kHeartbeat, "\"service\":\"s1\",", "") },
    { "a service of another type", With(kHeartbeat, "\"s1\"", "1") },
    { "no address", With(kHeartbeat, "10.1.0.9:8080", "") },
    { "a host name as address", With(kHeartbeat, "10.1.0.9", "backend") },
    { "a sequence of another type",
      With(kHeartbeat, "\"seq\":4", "\"seq\":\"4\"") },
    { "an unknown state", With(kHeartbeat, "ready", "sleeping") },
    { "a start time that is not an integer", With(kHeartbeat, "1700", "17.5") },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    CHECK_FALSE(DecodeHeartbeat("i-1", row.body_).ok());
  }
  CHECK_FALSE(DecodeHeartbeat("", kHeartbeat).ok());
}

TEST_CASE("heartbeat: numbers beyond their types do not wrap to usable ones")
{
  const auto slots = DecodeHeartbeat(
    "i-1", With(kHeartbeat, "\"slots\":3", "\"slots\":4294967299"));
  REQUIRE(slots.ok());
  CHECK_FALSE(Validate(*slots, WallTime{ seconds(1) }).ok());
  const auto warmup =
    DecodeHeartbeat("i-1",
                    With(kHeartbeat,
                         "\"warmup_left_ms\":40",
                         "\"warmup_left_ms\":18446744073709551615"));
  REQUIRE(warmup.ok());
  CHECK_FALSE(Validate(*warmup, WallTime{ seconds(1) }).ok());
  for (const char* number : { "1e400", "18446744073709551616", "-1" }) {
    CAPTURE(number);
    CHECK_FALSE(
      DecodeHeartbeat(
        "i-1",
        With(kHeartbeat, "\"slots\":3", std::string("\"slots\":") + number))
        .ok());
  }
}

TEST_CASE("deregistration: a body without a start time decodes to 0")
{
  CHECK(DecodeDeregister("") == 0);
  CHECK(DecodeDeregister("garbage") == 0);
  CHECK(DecodeDeregister(R"({"seq":9})") == 0);
  CHECK(DecodeDeregister(R"({"born":1700,"seq":9})") == 1700);
}

TEST_CASE("settings: decoded in spite of unknown members")
{
  const std::string text = R"({
    "node":"core-a-1","role":"control","ip":"10.1.0.42","zone":"a",
    "zones":{"a":"north","b":"south"},
    "listen":{"control":"10.1.0.42:8224"},
    "internal_ports":[7740,7755],
    "seeds":["10.1.0.42:8224","10.2.0.36:8224","not an address"],
    "bootstrap":true,"data_dir":"/data/control","tolerate":{"machines":2},
    "limits":{"cpu_share":0.12,"link_mbps":20.0},
    "bounds":{"grace_s":8,"retry_budget_ratio":0.1,"retry_window_s":5,
              "retry_budget_slack":12},
    "something":"new"})";
  const auto boot = DecodeBootSettings(text);
  REQUIRE(boot.ok());
  CHECK(boot->instance_ == InstanceId("core-a-1"));
  CHECK(boot->zones_.DistanceTo(ZoneName("a")) == ZoneDistance::Same);
  CHECK(boot->zones_.DistanceTo(ZoneName("b")) == ZoneDistance::Far);
  CHECK(boot->control_.port() == 8224);
  CHECK(boot->callers_.port() == 0);
  CHECK(boot->framesPort_ == 7740);
  CHECK(boot->linkMegabitsPerSecond_ == 20);
  CHECK(boot->controlFrameEndpoints_ ==
        std::vector<std::string>{ "10.1.0.42:7740", "10.2.0.36:7740" });
  CHECK(boot->isFirstStart_);
  CHECK(boot->toleratedMachineLosses_ == 2);
  CHECK(boot->stopGrace_ == seconds(8));
  CHECK(boot->extraAttemptsWindow_ == seconds(5));
  CHECK(boot->extraAttemptsSlack_ == doctest::Approx(12));
  const auto parts =
    DecodeBootSettings(With(text, "\"grace_s\":8", "\"grace_s\":6.5"));
  REQUIRE(parts.ok());
  CHECK(parts->stopGrace_ == milliseconds(6500));
  CHECK_FALSE(
    DecodeBootSettings(With(text, "\"grace_s\":8", "\"grace_s\":-1")).ok());
  CHECK_FALSE(DecodeBootSettings("{}").ok());
  CHECK_FALSE(DecodeBootSettings(With(text, "[7740,7755]", "[]")).ok());
  CHECK_FALSE(
    DecodeBootSettings(With(text, "10.1.0.42:8224", "somewhere")).ok());
}
