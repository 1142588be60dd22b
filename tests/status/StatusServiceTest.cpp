#include "status/StatusService.h"
#include "core/WorkerPool.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;
using boost::beast::http::verb;

namespace {

class Recorder final : public RoutingListener
{
public:
  void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable,
                      TimePoint) override
  {
    servers_ = aTable->Replicas().size();
    ++tables_;
  }
  void OnAnnouncementReceived(const BackendId&, TimePoint) override
  {
    ++announcements_;
  }
  void OnTick(TimePoint) override {}

  std::atomic<size_t> servers_{ 0 };
  std::atomic<size_t> tables_{ 0 };
  std::atomic<size_t> announcements_{ 0 };
};

struct Fixture
{
  explicit Fixture(AnnouncementRegistrySettings aSettings = {})
    : worker_(1)
    , receiver_(aSettings, worker_.Context(0), metrics_, recorder_)
    , service_(
        metrics_,
        &receiver_,
        [this] { return notReady_; },
        [] {
          return boost::json::value{ { "instance", "entry-1" } };
        })
    , server_({}, worker_)
  {
    receiver_.Start();
    REQUIRE(server_
              .Start([this](HttpRequest aRequest) {
                return service_.Handle(std::move(aRequest));
              })
              .ok());
    worker_.Start();
  }

  ~Fixture() { worker_.Stop(); }

  HttpResponse Send(verb aVerb, std::string_view aPath, std::string aBody = {})
  {
    const TcpEndpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
                               server_.Port());
    auto response =
      BlockingExchange(endpoint,
                       MakeRequest(aVerb, aPath, std::move(aBody)),
                       milliseconds(5000));
    REQUIRE(response.ok());
    return *response;
  }

  HttpResponse Announce(const std::string& aRow)
  {
    return Send(
      verb::post, "/v1/announce", R"({"announcements":[)" + aRow + "]}");
  }

  bool HasServers(size_t aCount) const
  {
    const TimePoint end = Now() + seconds(5);
    while (recorder_.servers_ != aCount && Now() < end) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    return recorder_.servers_ == aCount;
  }

  Metrics metrics_;
  Recorder recorder_;
  std::string notReady_;
  WorkerPool worker_;
  AnnouncementReceiver receiver_;
  StatusService service_;
  HttpServer server_;
};

std::string Row(int aSequence, const std::string& aState = "ready")
{
  return R"({"server":"p-1","incarnation":5,"sequence":)" +
         std::to_string(aSequence) +
         R"(,"service":"desk","catalogue":"packets","index_version":1,)"
         R"("shard":0,"shards":1,"zone":"hanoi","address":"127.0.0.1:9",)"
         R"("slots":3,"connections":30,"state":")" +
         aState + R"("})";
}

} // namespace

TEST_CASE("announcements update the routing table; stale ones are ignored")
{
  Fixture fixture;
  CHECK(fixture.Announce(Row(2)).body() ==
        "{\"accepted\":1,\"stale\":0,\"renew_ms\":1000}\n");
  CHECK(fixture.HasServers(1));
  CHECK(fixture.Announce(Row(1, "gone")).body() ==
        "{\"accepted\":0,\"stale\":1,\"renew_ms\":1000}\n");
  CHECK(fixture.HasServers(1));
  const size_t tables = fixture.recorder_.tables_;
  fixture.Announce(Row(3));
  CHECK(fixture.recorder_.announcements_ == 2);
  // A renewal is received, but publishes no table.
  CHECK(fixture.recorder_.tables_ == tables);
  fixture.Announce(Row(4, "gone"));
  CHECK(fixture.HasServers(0));
}

TEST_CASE("a server without announcements is removed after its lease")
{
  AnnouncementRegistrySettings settings;
  settings.lease_ = milliseconds(200);
  Fixture fixture(settings);
  fixture.Announce(Row(1));
  CHECK(fixture.HasServers(1));
  CHECK(fixture.HasServers(0));
}

TEST_CASE("invalid announcements are refused with the path of each fault")
{
  struct Case
  {
    const char* name_;
    std::string body_;
    const char* fault_;
  };
  std::string noShard = Row(1);
  noShard.replace(noShard.find("\"shards\":1"), 10, "\"shards\":0");
  const Case cases[] = {
    { "no JSON", "{", "announcement" },
    { "empty", "", "announcement" },
    { "an array", "[]", "object" },
    { "no member", "{}", "/announcements" },
    { "no shards",
      R"({"announcements":[)" + noShard + "]}",
      "/announcements/0/shards" },
    { "unknown state",
      R"({"announcements":[)" + Row(1, "happy") + "]}",
      "/announcements/0/state" },
    { "deep", std::string(5000, '['), "announcement" },
  };
  Fixture fixture;
  for (const Case& one : cases) {
    CAPTURE(one.name_);
    const HttpResponse response =
      fixture.Send(verb::post, "/v1/announce", one.body_);
    CHECK(response.result_int() == 400);
    CHECK(response.body().find(one.fault_) != std::string::npos);
  }
  CHECK(fixture.recorder_.announcements_ == 0);
  CHECK(fixture.Send(verb::get, "/healthz").result_int() == 200);
}

TEST_CASE("readiness follows the instance and fails first on a stop")
{
  Fixture fixture;
  CHECK(fixture.Send(verb::get, "/readyz").result_int() == 200);
  fixture.service_.SetDraining();
  const HttpResponse response = fixture.Send(verb::get, "/readyz");
  CHECK(response.result_int() == 503);
  CHECK(response.body() == "draining\n");
  CHECK(fixture.Send(verb::get, "/healthz").result_int() == 200);
}

TEST_CASE("readiness returns the reason when the instance is not ready")
{
  Fixture fixture;
  fixture.notReady_ = "no configuration document";
  const HttpResponse response = fixture.Send(verb::get, "/readyz");
  CHECK(response.result_int() == 503);
  CHECK(response.body() == "no configuration document\n");
}

TEST_CASE("metrics and status are served, other paths are not")
{
  Fixture fixture;
  fixture.Announce(Row(1));
  CHECK(fixture.HasServers(1));
  const std::string metrics = fixture.Send(verb::get, "/metrics").body();
  CHECK(metrics.find("foxtail_backend_servers 1") != std::string::npos);
  CHECK(metrics.find("foxtail_log_lines_dropped 0") != std::string::npos);
  CHECK(fixture.Send(verb::get, "/v1/status").body() ==
        "{\"instance\":\"entry-1\"}\n");
  CHECK(fixture.Send(verb::get, "/x").result_int() == 404);
  CHECK(fixture.Send(verb::post, "/healthz").result_int() == 405);
  CHECK(fixture.Send(verb::get, "/v1/announce").result_int() == 405);
}
