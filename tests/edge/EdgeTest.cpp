#include "../Support.h"
#include "../forward/ScriptedServer.h"
#include "edge/EdgeControl.h"
#include "edge/EdgeInstance.h"
#include "http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>
#include <thread>

using namespace foxtail;

namespace {

const HeaderNames kHeaderNames;
const WallTime kWallNow{ seconds(1800000000) };

FrameTransportSettings FrameSettings(const char* aName)
{
  FrameTransportSettings settings;
  settings.instance_ = InstanceId(aName);
  settings.deploymentKey_ = "key of the tests";
  return settings;
}

/// A unique folder that the destructor removes.
struct TemporaryFolder
{
  TemporaryFolder()
    : path_(
        std::filesystem::temp_directory_path() /
        ("foxtail-edge-" + std::to_string(Now().time_since_epoch().count())))
  {
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::filesystem::path path_;
};

EdgeControlSettings ControlSettingsFor(const TemporaryFolder& aFolder,
                                       uint16_t aPort)
{
  EdgeControlSettings settings;
  settings.instance_ = InstanceId("control-1");
  settings.zone_ = ZoneName("zone-a");
  settings.dataFolder_ = aFolder.path_.string();
  settings.frames_ = FrameSettings("control-1");
  settings.frames_.port_ = aPort;
  settings.control_.instance_ = settings.instance_;
  settings.control_.endpoint_ = "127.0.0.1:" + std::to_string(aPort);
  settings.control_.goal_.voters_ = 1;
  settings.control_.bootstrapDelay_ = milliseconds(10);
  settings.control_.consensus_.electionTimeout_ = milliseconds(100);
  settings.mayBootstrap_ = true;
  return settings;
}

EdgeSettings EntrySettingsFor(uint16_t aControlPort)
{
  EdgeSettings settings;
  settings.instance_ = InstanceId("entry-1");
  settings.zone_ = ZoneName("zone-a");
  settings.forward_.zones_ = ZoneMap(settings.zone_, {});
  settings.frames_ = FrameSettings("entry-1");
  settings.feed_.zones_ = settings.forward_.zones_;
  settings.feed_.seeds_ = { "127.0.0.1:" + std::to_string(aControlPort) };
  settings.drainTime_ = milliseconds(300);
  settings.stopTimeout_ = seconds(3);
  return settings;
}

/// @return a document with one route, to the service that the text names.
absl::StatusOr<RouteDocument> DecodeSingleRoute(const std::string& aText)
{
  RouteDocument document;
  Route route;
  route.name_ = "all";
  route.host_ = "shop.example";
  route.pathPrefix_ = "/";
  route.effect_ = RouteEffect::AtMostOnce;
  route.timeout_ = seconds(3);
  route.objective_ = seconds(1);
  route.target_ = SingleTarget{ ServiceName(aText) };
  document.routes_.push_back(route);
  document.services_.push_back({ ServiceName(aText), 30 });
  return document;
}

/// Announces a server of the service "proofs" to a control instance.
void AnnounceServer(EdgeControl& aControl, const ScriptedServer& aServer)
{
  ServerAnnouncement announcement;
  announcement.id_ = BackendId("i-1");
  announcement.service_ = ServiceName("proofs");
  announcement.address_ = aServer.Address();
  announcement.zone_ = ZoneName("zone-a");
  aControl.Feed().OnAnnouncement(announcement, Now());
}

absl::StatusOr<HttpResponse> SendRequest(uint16_t aPort)
{
  HttpRequest request = MakeRequest(boost::beast::http::verb::get, "/1");
  request.set(boost::beast::http::field::host, "shop.example");
  request.set(kHeaderNames.requestId_, "request-1");
  return BlockingExchange({ boost::asio::ip::make_address("127.0.0.1"), aPort },
                          std::move(request),
                          seconds(5));
}

} // namespace

TEST_CASE(
  "edge: a departure that no control group can commit is not acknowledged")
{
  // An acknowledgement from memory alone is lost with the process.
  TemporaryFolder folder;
  auto data = DataFolder::Open(folder.path_.string());
  REQUIRE(data.ok());
  EdgeControlSettings settings = ControlSettingsFor(folder, FreePort());
  settings.mayBootstrap_ = false;
  EdgeControl control(settings, *std::move(data), [] {});
  REQUIRE(control.Start().ok());
  const auto complete = [&](boost::asio::awaitable<absl::Status> aOperation) {
    return boost::asio::co_spawn(control.Workers().Context(0),
                                 std::move(aOperation),
                                 boost::asio::use_future)
      .get();
  };
  ServerAnnouncement announcement;
  announcement.id_ = BackendId("i-1");
  announcement.service_ = ServiceName("proofs");
  announcement.address_ = "127.0.0.1:9";
  announcement.startedAtMs_ = 5;
  CHECK(
    complete(control.Servers().Announce(announcement, kWallNow, Now())).ok());
  announcement.phase_ = ServerPhase::Draining;
  announcement.sequence_ = 1;
  const TimePoint begin = Now();
  CHECK_FALSE(
    complete(control.Servers().Announce(announcement, kWallNow, Now())).ok());
  // Backend servers wait 1 s for a reply.
  CHECK(Now() - begin < seconds(1));
  // The feed has it nevertheless.
  CHECK(control.Feed().FindServer(announcement.id_)->announcement_.phase_ ==
        ServerPhase::Draining);
  CHECK_FALSE(
    complete(control.Servers().Deregister(announcement.id_, 5, kWallNow, Now()))
      .ok());
  CHECK(KindOf(complete(control.Servers().Deregister(
          BackendId("i-2"), 0, kWallNow, Now()))) == ErrorKind::NotFound);
  control.Stop();
}

TEST_CASE(
  "edge: a committed document and an announced server make an entry instance "
  "serve requests until a graceful stop")
{
  TemporaryFolder folder;
  const uint16_t port = FreePort();
  auto data = DataFolder::Open(folder.path_.string());
  REQUIRE(data.ok());
  EdgeControl control(
    ControlSettingsFor(folder, port), *std::move(data), [] {});
  REQUIRE(control.Start().ok());
  EdgeInstance entry(EntrySettingsFor(port), kHeaderNames, DecodeSingleRoute);
  REQUIRE(entry.Start().ok());
  CHECK(entry.NotReadyReason() != "");

  REQUIRE(WaitUntil([&] { return control.IsLeader(); }));
  const auto commit = [&](uint64_t aVersion) {
    auto operation =
      control.Documents().Commit(DocumentVersion(aVersion), "proofs");
    auto outcome = boost::asio::co_spawn(control.Workers().Context(0),
                                         std::move(operation),
                                         boost::asio::use_future);
    return std::get_if<DocumentCommitted>(
             &static_cast<const CommitOutcome&>(outcome.get())) != nullptr;
  };
  REQUIRE(WaitUntil([&] { return commit(4); }));
  CHECK(commit(4));

  ScriptedServer server([](const std::string&, size_t) {
    return ScriptedReply{ "HTTP/1.1 200 OK\r\n" + kHeaderNames.signature_ +
                            ": sig-1\r\nContent-Length: 4\r\n\r\ngood",
                          milliseconds(500) };
  });
  AnnounceServer(control, server);
  REQUIRE(WaitUntil([&] {
    return entry.NotReadyReason().empty() &&
           SendRequest(entry.CallersPort())->result_int() == 200;
  }));

  // A graceful stop: the instance is not ready at once, and the request in
  // flight is answered.
  const size_t before = server.Requests().size();
  auto answer = std::async(std::launch::async,
                           [&] { return SendRequest(entry.CallersPort()); });
  REQUIRE(WaitUntil([&] { return server.Requests().size() > before; }));
  auto stop = std::async(std::launch::async, [&] { entry.Stop(); });
  CHECK(WaitUntil([&] { return entry.NotReadyReason() != ""; }));
  const auto response = answer.get();
  REQUIRE(response.ok());
  CHECK(response->result_int() == 200);
  CHECK(response->body() == "good");
  CHECK_FALSE(response->keep_alive());
  stop.get();
  control.Stop();
}

// It was acknowledged, and neither read back nor served.
TEST_CASE(
  "edge: a first document of version 0 is kept over a restart, read back "
  "and in force")
{
  TemporaryFolder folder;
  const uint16_t port = FreePort();
  ScriptedServer server([](const std::string&, size_t) {
    return ScriptedReply{ "HTTP/1.1 200 OK\r\n" + kHeaderNames.signature_ +
                          ": sig-1\r\nContent-Length: 4\r\n\r\ngood" };
  });
  for (const bool isRestart : { false, true }) {
    CAPTURE(isRestart);
    auto data = DataFolder::Open(folder.path_.string());
    REQUIRE(data.ok());
    EdgeControlSettings settings = ControlSettingsFor(folder, port);
    settings.mayBootstrap_ = !isRestart;
    EdgeControl control(settings, *std::move(data), [] {});
    REQUIRE(control.Start().ok());
    EdgeInstance entry(EntrySettingsFor(port), kHeaderNames, DecodeSingleRoute);
    REQUIRE(entry.Start().ok());
    const auto complete = [&](auto aOperation) {
      return boost::asio::co_spawn(control.Workers().Context(0),
                                   std::move(aOperation),
                                   boost::asio::use_future)
        .get();
    };
    if (!isRestart) {
      REQUIRE(WaitUntil([&] {
        return std::holds_alternative<DocumentCommitted>(
          complete(control.Documents().Commit(DocumentVersion(0), "proofs")));
      }));
    }
    CHECK(WaitUntil([&] {
      const ReadOutcome outcome = complete(control.Documents().ReadLatest());
      const auto* latest = std::get_if<LatestDocument>(&outcome);
      return latest != nullptr && latest->version_ == DocumentVersion(0) &&
             *latest->text_ == "proofs";
    }));
    AnnounceServer(control, server);
    CHECK(WaitUntil([&] {
      return entry.NotReadyReason().empty() &&
             SendRequest(entry.CallersPort())->result_int() == 200;
    }));
    entry.Stop();
    control.Stop();
  }
}

TEST_CASE("edge: a key that the feed cannot vouch for is answered with 503")
{
  TemporaryFolder folder;
  const uint16_t port = FreePort();
  auto data = DataFolder::Open(folder.path_.string());
  REQUIRE(data.ok());
  EdgeControl control(
    ControlSettingsFor(folder, port), *std::move(data), [] {});
  REQUIRE(control.Start().ok());
  EdgeSettings settings = EntrySettingsFor(port);
  settings.forward_.teamAccess_.refusesKeysWithoutControl_ = true;
  EdgeInstance entry(
    settings,
    kHeaderNames,
    [](const std::string& aText) -> absl::StatusOr<RouteDocument> {
      if (aText == "unreadable") {
        return absl::InvalidArgumentError("unreadable");
      }
      auto document = DecodeSingleRoute(aText);
      document->teams_.emplace();
      return document;
    });
  REQUIRE(entry.Start().ok());
  REQUIRE(WaitUntil([&] { return control.IsLeader(); }));
  const auto commit = [&](uint64_t aVersion, const char* aText) {
    auto operation =
      control.Documents().Commit(DocumentVersion(aVersion), aText);
    auto outcome = boost::asio::co_spawn(control.Workers().Context(0),
                                         std::move(operation),
                                         boost::asio::use_future);
    return std::get_if<DocumentCommitted>(
             &static_cast<const CommitOutcome&>(outcome.get())) != nullptr;
  };
  /// @return the status of a request with an unknown key, and its Retry-After.
  const auto answer = [&] {
    HttpRequest request = MakeRequest(boost::beast::http::verb::get, "/1");
    request.set(boost::beast::http::field::host, "shop.example");
    request.set(boost::beast::http::field::authorization, "Bearer x");
    const auto response = BlockingExchange(
      { boost::asio::ip::make_address("127.0.0.1"), entry.CallersPort() },
      std::move(request),
      seconds(5));
    REQUIRE(response.ok());
    return std::to_string(response->result_int()) + " " +
           std::string(HeaderOf(*response, "Retry-After"));
  };
  REQUIRE(WaitUntil([&] { return commit(4, "proofs"); }));
  CHECK(WaitUntil([&] { return answer() == "401 "; }));
  // A newer document exists, but is not in force here.
  REQUIRE(commit(5, "unreadable"));
  CHECK(WaitUntil([&] { return answer() == "503 0.200"; }));
  control.Stop();
  CHECK(WaitUntil([&] { return answer() == "503 1.000"; }));
  entry.Stop();
}

// An entry instance that starts during an evacuation has the servers of the
// zone, but must not use them.
TEST_CASE("edge: an evacuation takes effect on entry instances that run and on "
          "those that start later, until it ends")
{
  TemporaryFolder folder;
  const uint16_t port = FreePort();
  auto data = DataFolder::Open(folder.path_.string());
  REQUIRE(data.ok());
  EdgeControl control(
    ControlSettingsFor(folder, port), *std::move(data), [] {});
  REQUIRE(control.Start().ok());
  REQUIRE(WaitUntil([&] { return control.IsLeader(); }));
  const auto send = [&](const EvacuationOrder& aOrder) {
    auto commit =
      control.Evacuations().Commit(aOrder, Now() + milliseconds(850));
    return boost::asio::co_spawn(control.Workers().Context(0),
                                 std::move(commit),
                                 boost::asio::use_future)
      .get();
  };
  const auto evacuate = [&](bool aIsEvacuated) {
    EvacuationOrder order{ ZoneName("zone-b"), aIsEvacuated, std::nullopt };
    const EvacuationOutcome outcome = send(order);
    const auto* unproved = std::get_if<EvacuationUnproved>(&outcome);
    REQUIRE(unproved != nullptr);
    order.knownOrders_ = unproved->knownOrders_;
    return std::holds_alternative<EvacuationCommitted>(send(order));
  };
  auto commit = control.Documents().Commit(DocumentVersion(1), "proofs");
  boost::asio::co_spawn(
    control.Workers().Context(0), std::move(commit), boost::asio::use_future)
    .get();
  ScriptedServer server([](const std::string&, size_t) {
    return ScriptedReply{ "HTTP/1.1 200 OK\r\n" + kHeaderNames.signature_ +
                          ": sig-1\r\nContent-Length: 4\r\n\r\ngood" };
  });
  ServerAnnouncement announcement;
  announcement.id_ = BackendId("i-1");
  announcement.service_ = ServiceName("proofs");
  announcement.address_ = server.Address();
  announcement.zone_ = ZoneName("zone-b");
  control.Feed().OnAnnouncement(announcement, Now());
  EdgeSettings settings = EntrySettingsFor(port);
  settings.forward_.startupHold_.maxStartupTime_ = milliseconds(0);
  const auto answers = [&](EdgeInstance& aEntry, unsigned aStatus) {
    return WaitUntil([&] {
      const auto response = SendRequest(aEntry.CallersPort());
      return response.ok() && response->result_int() == aStatus;
    });
  };
  EdgeInstance entry(settings, kHeaderNames, DecodeSingleRoute);
  REQUIRE(entry.Start().ok());
  REQUIRE(answers(entry, 200));

  CHECK(evacuate(true));
  REQUIRE(answers(entry, 503));
  const size_t before = server.Requests().size();
  EdgeSettings lateSettings = settings;
  lateSettings.instance_ = InstanceId("entry-2");
  lateSettings.frames_ = FrameSettings("entry-2");
  EdgeInstance late(lateSettings, kHeaderNames, DecodeSingleRoute);
  REQUIRE(late.Start().ok());
  for (int i = 0; i < 20; ++i) {
    const auto response = SendRequest(late.CallersPort());
    REQUIRE(response.ok());
    CHECK(response->result_int() == 503);
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(WaitUntil([&] { return late.NotReadyReason().empty(); }));
  CHECK(SendRequest(late.CallersPort())->result_int() == 503);
  CHECK(server.Requests().size() == before);

  CHECK(evacuate(false));
  CHECK(answers(entry, 200));
  CHECK(answers(late, 200));
  late.Stop();
  entry.Stop();
  control.Stop();
}

TEST_CASE("edge: a control instance grants permits by the accepted document")
{
  TemporaryFolder folder;
  const uint16_t port = FreePort();
  auto data = DataFolder::Open(folder.path_.string());
  REQUIRE(data.ok());
  EdgeControl control(
    ControlSettingsFor(folder, port),
    *std::move(data),
    [] {},
    [](const std::string& aText) {
      auto document = DecodeSingleRoute(aText);
      Team team;
      team.name_ = "team-1";
      team.requestsPerSecond_ = 0.001;
      document->teams_ = { team };
      return document;
    });
  REQUIRE(control.Start().ok());
  WorkerPool pool(1);
  FrameTransport frames(FrameSettings("entry-1"), pool);
  REQUIRE(frames.Start().ok());
  pool.Start();
  const FrameTransport::Endpoint endpoint(
    boost::asio::ip::make_address("127.0.0.1"), port);
  const auto ask = [&] {
    AllowanceRequest request;
    request.asks_ = { { "team-1", 9, 9 } };
    request.version_ = DocumentVersion(4);
    auto call = frames.Call(
      endpoint,
      Frame{ FrameKind::Allowance, 0, EncodeAllowanceRequest(request) },
      seconds(1));
    const auto reply = boost::asio::co_spawn(pool.Context(0),
                                             std::move(call),
                                             boost::asio::use_future)
                         .get();
    const auto decoded =
      reply.ok() ? DecodeAllowanceReply(reply->payload_) : reply.status();
    return decoded.ok() && decoded->gives_ ? decoded->grants_.at(0)
                                           : AllowanceGrant{};
  };
  REQUIRE(WaitUntil([&] { return control.IsLeader(); }));
  // The document of the entry instance has not arrived here.
  REQUIRE(
    WaitUntil([&] { return ask().outcome_ == AllowanceOutcome::Refused; }));
  REQUIRE(WaitUntil([&] {
    auto operation = control.Documents().Commit(DocumentVersion(4), "proofs");
    auto outcome = boost::asio::co_spawn(control.Workers().Context(0),
                                         std::move(operation),
                                         boost::asio::use_future);
    return std::get_if<DocumentCommitted>(
             &static_cast<const CommitOutcome&>(outcome.get())) != nullptr;
  }));
  // A quarter of the slack, as the only control instance. WaitUntil() calls the
  // condition once more at its end.
  double granted = 0;
  REQUIRE(
    WaitUntil([&] { return granted > 0 || (granted = ask().amount_) > 0; }));
  CHECK(granted == 5);
  const AllowanceGrant refused = ask();
  CHECK(refused.outcome_ == AllowanceOutcome::Refused);
  CHECK(refused.expectedIn_ > seconds(10));
  frames.Stop();
  pool.Stop();
  control.Stop();
}
