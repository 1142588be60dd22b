#include "../Support.h"
#include "ForwardFixture.h"
#include "core/Log.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace foxtail;

namespace {

const HeaderNames kHeaders;
constexpr const char* kSecret = "secret-key-of-a-team";

Team TeamWith(std::string aName, std::vector<std::string> aKeys)
{
  Team team;
  team.name_ = std::move(aName);
  team.keys_ = std::move(aKeys);
  return team;
}

/// @return routes to "own", which needs a key, and "open", which is public.
RouteDocument TeamRoutes(std::optional<std::vector<Team>> aTeams)
{
  RouteDocument document =
    SingleRoutes({ "own", "open" }, RouteEffect::Idempotent);
  document.routes_[1].isPublic_ = true;
  document.teams_ = std::move(aTeams);
  return document;
}

HttpRequest RequestTo(const char* aTarget, const std::string& aAuthorization)
{
  HttpRequest request = MakeRequest(boost::beast::http::verb::get, aTarget);
  if (!aAuthorization.empty()) {
    request.set(boost::beast::http::field::authorization, aAuthorization);
  }
  return request;
}

size_t CountOf(const std::string& aText, const std::string& aPart)
{
  size_t count = 0;
  for (size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

ScriptedServer::Script OwnReply()
{
  return [](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("own") };
  };
}

/// Sends one request on an open connection and reads the head of the answer.
std::string ExchangeOn(boost::asio::ip::tcp::socket& aSocket,
                       const std::string& aAuthorization)
{
  const std::string request = "GET /own/1 HTTP/1.1\r\nHost: shop.example\r\n" +
                              kHeaders.requestId_ + ": request-1\r\n" +
                              "Authorization: " + aAuthorization + "\r\n\r\n";
  boost::asio::write(aSocket, boost::asio::buffer(request));
  std::string answer;
  const size_t head = boost::asio::read_until(
    aSocket, boost::asio::dynamic_buffer(answer), "\r\n\r\n");
  const size_t at = answer.find("Content-Length: ") + 16;
  const size_t length = std::stoul(answer.substr(at));
  if (answer.size() < head + length) {
    boost::asio::read(
      aSocket,
      boost::asio::dynamic_buffer(answer),
      boost::asio::transfer_exactly(head + length - answer.size()));
  }
  return answer;
}

} // namespace

TEST_CASE("a key or a forged team name does not reach a backend server")
{
  const std::vector<Team> teams{ TeamWith("a", { kSecret }) };
  const std::string valid = std::string("bearer ") + kSecret;
  struct Row
  {
    const char* name_;
    std::optional<std::vector<Team>> teams_;
    const char* target_;
    std::string authorization_;
    const char* forgedTeam_;
    unsigned status_;
    /// Team header at the server, or null for none.
    const char* team_;
  };
  const Row rows[] = {
    { "valid key", teams, "/own/1", valid, nullptr, 200, "a" },
    { "valid key, forged team", teams, "/own/1", valid, "b", 200, "a" },
    { "public, valid key", teams, "/open/1", valid, "b", 200, "a" },
    { "public, unknown key", teams, "/open/1", "Bearer x", "b", 200, nullptr },
    { "public, no key", teams, "/open/1", "", "b", 200, nullptr },
    { "empty list, public",
      std::vector<Team>{},
      "/open/1",
      valid,
      "b",
      200,
      nullptr },
    { "empty list", std::vector<Team>{}, "/own/1", valid, "b", 401, nullptr },
    { "no key", teams, "/own/1", "", "a", 401, nullptr },
    { "unknown key", teams, "/own/1", "Bearer x", nullptr, 401, nullptr },
    { "wrong scheme",
      teams,
      "/own/1",
      "Basic " + std::string(kSecret),
      nullptr,
      401,
      nullptr },
    { "no route", teams, "/none/1", "", nullptr, 404, nullptr },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    ScriptedServer server(OwnReply());
    ForwardFixture fixture;
    fixture.SetRoutes(TeamRoutes(row.teams_));
    const bool isPublic = std::string_view(row.target_) == "/open/1";
    fixture.Announce("i-1", isPublic ? "open" : "own", server.Address());
    HttpRequest request = RequestTo(row.target_, row.authorization_);
    if (row.forgedTeam_ != nullptr) {
      request.set("foxtail-TEAM", row.forgedTeam_);
    }
    const HttpResponse response = fixture.Send(std::move(request));
    CHECK(response.result_int() == row.status_);
    CHECK((HeaderOf(response, "WWW-Authenticate") == "Bearer") ==
          (row.status_ == 401));
    CHECK(response.body().find(kSecret) == std::string::npos);
    REQUIRE(server.Requests().size() == (row.status_ == 200 ? 1 : 0));
    if (row.status_ == 200) {
      const std::string received = server.Requests()[0];
      CHECK(received.find("uthorization") == std::string::npos);
      CHECK(received.find(kSecret) == std::string::npos);
      CHECK(CountOf(received, "oxtail-T") == (row.team_ == nullptr ? 1 : 2));
      CHECK(CountOf(received, "foxtail-TEAM") == 0);
      if (row.team_ != nullptr) {
        CHECK(received.find(kHeaders.team_ + ": " + row.team_ + "\r\n") !=
              std::string::npos);
      }
    }
  }
}

TEST_CASE("without a list of teams requests are forwarded letter for letter")
{
  ScriptedServer server(OwnReply());
  ForwardFixture fixture;
  fixture.SetRoutes(TeamRoutes(std::nullopt));
  fixture.Announce("i-1", "own", server.Address());
  HttpRequest request = RequestTo("/own/1", "Basic x");
  request.set("foxtail-TEAM", "b");
  CHECK(fixture.Send(std::move(request)).result_int() == 200);
  REQUIRE(server.Requests().size() == 1);
  CHECK(server.Requests()[0].find(
          "Authorization: Basic x\r\nfoxtail-TEAM: b") != std::string::npos);
}

TEST_CASE("a change of keys takes effect on connections that stay open")
{
  ScriptedServer server(OwnReply());
  ForwardFixture fixture;
  fixture.SetRoutes(TeamRoutes(std::vector<Team>{ TeamWith("a", { "k1" }) }));
  fixture.Announce("i-1", "own", server.Address());
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(fixture.Endpoint());
  CHECK(ExchangeOn(socket, "Bearer k1").starts_with("HTTP/1.1 200"));
  CHECK(ExchangeOn(socket, "Bearer k2").starts_with("HTTP/1.1 401"));
  fixture.SetRoutes(TeamRoutes(std::vector<Team>{ TeamWith("a", { "k2" }) }));
  CHECK(ExchangeOn(socket, "Bearer k1").starts_with("HTTP/1.1 401"));
  CHECK(ExchangeOn(socket, "Bearer k2").starts_with("HTTP/1.1 200"));
  fixture.SetRoutes(TeamRoutes(std::nullopt));
  CHECK(ExchangeOn(socket, "Bearer k1").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a key is not sent by a request that began before the teams")
{
  // The only connection to the server is busy while the document changes.
  ScriptedServer server([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("own"), milliseconds(300) };
  });
  ForwardFixture fixture;
  RouteDocument before = TeamRoutes(std::nullopt);
  before.services_[0].maxConnections_ = 1;
  fixture.SetRoutes(before);
  fixture.Announce("i-1", "own", server.Address());
  std::thread first([&] { fixture.Get("/own/1"); });
  CHECK(WaitUntil([&] { return server.Requests().size() == 1; }));
  std::thread second([&] {
    fixture.Send(RequestTo("/own/2", std::string("Bearer ") + kSecret));
  });
  std::this_thread::sleep_for(milliseconds(100));
  RouteDocument after = TeamRoutes(std::vector<Team>{});
  after.services_[0].maxConnections_ = 1;
  fixture.SetRoutes(after);
  first.join();
  second.join();
  REQUIRE(server.Requests().size() == 2);
  CHECK(server.Requests()[1].starts_with("GET /own/2 "));
  CHECK(server.Requests()[1].find(kSecret) == std::string::npos);
}

TEST_CASE("an instance that cannot decide on a key answers 503, not 401")
{
  struct Row
  {
    const char* name_;
    bool hasDocument_;
    bool isNewerKnown_;
    bool isCutOff_;
    const char* key_;
    unsigned status_;
  };
  const Row rows[] = {
    { "no document", false, false, false, "Bearer x", 503 },
    { "no document, cut off", false, true, true, "Bearer k1", 503 },
    { "newer document", true, true, false, "Bearer x", 503 },
    { "newer document, known key", true, true, false, "Bearer k1", 200 },
    { "cut off", true, false, true, "Bearer k1", 503 },
    { "in contact", true, false, false, "Bearer k1", 200 },
  };
  ScriptedServer server(OwnReply());
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ForwardSettings settings = ForwardFixture::StartedSettings();
    settings.teamAccess_.refusesKeysWithoutControl_ = true;
    ForwardFixture fixture(settings);
    fixture.RunOnGatewayThread([&] {
      fixture.GetGateway().SetControlContact([&] {
        return ControlContact{ row.isNewerKnown_,
                               row.isCutOff_ ? Now() - seconds(6) : Now() };
      });
    });
    if (row.hasDocument_) {
      fixture.SetRoutes(
        TeamRoutes(std::vector<Team>{ TeamWith("a", { "k1" }) }));
      fixture.Announce("i-1", "own", server.Address());
    }
    const HttpResponse response = fixture.Send(RequestTo("/own/1", row.key_));
    CHECK(response.result_int() == row.status_);
    CHECK((HeaderOf(response, "Retry-After") != "") == (row.status_ == 503));
  }
}

TEST_CASE("a request held during the startup is checked when it begins")
{
  ForwardSettings settings;
  settings.startupHold_.startupTime_ = seconds(2);
  settings.startupHold_.maxStartupTime_ = seconds(2);
  ScriptedServer server(OwnReply());
  ForwardFixture fixture(settings);
  HttpResponse response;
  std::thread caller([&] {
    response = fixture.Send(RequestTo("/own/1", "Bearer old"), seconds(1));
  });
  std::this_thread::sleep_for(milliseconds(100));
  fixture.SetRoutes(TeamRoutes(std::vector<Team>{ TeamWith("a", { "new" }) }));
  fixture.Announce("i-1", "own", server.Address());
  caller.join();
  CHECK(response.result_int() == 401);
  CHECK(server.Requests().empty());
}

TEST_CASE("no log line, answer or metric shows a key")
{
  const std::string path =
    "/tmp/foxtail_team_key_test." + std::to_string(::getpid()) + ".log";
  LogSettings log;
  log.level_ = LogLevel::Debug;
  log.file_ = path;
  REQUIRE(StartLog(log, "test").ok());
  {
    // Fails after a retry, so that the end of the request is logged.
    ScriptedServer server([](const std::string&, size_t) {
      return ScriptedReply{ "garbage\r\n\r\n", milliseconds(0), true };
    });
    ForwardFixture fixture;
    fixture.SetRoutes(
      TeamRoutes(std::vector<Team>{ TeamWith("team-a", { kSecret }) }));
    fixture.Announce("i-1", "own", server.Address());
    const std::string valid = std::string("Bearer ") + kSecret;
    for (const std::string& authorization :
         { valid, valid + "x", "Basic " + std::string(kSecret) }) {
      const HttpResponse response =
        fixture.Send(RequestTo("/own/1", authorization));
      std::ostringstream text;
      text << response;
      CHECK(text.str().find(kSecret) == std::string::npos);
    }
    fixture.Send(RequestTo("/none/1", valid));
    CHECK(fixture.MetricsText().find(kSecret) == std::string::npos);
  }
  StopLog();
  std::ifstream file(path);
  std::stringstream lines;
  lines << file.rdbuf();
  std::remove(path.c_str());
  CHECK(lines.str().find("request_ended") != std::string::npos);
  CHECK(lines.str().find("team-a") != std::string::npos);
  CHECK(lines.str().find("unknown_key") != std::string::npos);
  CHECK(lines.str().find("no_key") != std::string::npos);
  CHECK(lines.str().find(kSecret) == std::string::npos);
}
