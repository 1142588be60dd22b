#include "ForwardFixture.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

constexpr milliseconds kStartupTime{ 700 };

ForwardSettings StartingSettings()
{
  ForwardSettings settings;
  settings.startupHold_.startupTime_ = kStartupTime;
  settings.startupHold_.maxStartupTime_ = kStartupTime;
  return settings;
}

ScriptedServer::Script OwnReply()
{
  return [](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("own") };
  };
}

} // namespace

TEST_CASE(
  "a request that arrives before the routes is answered once they are known")
{
  ScriptedServer server(OwnReply());
  ForwardFixture fixture(StartingSettings());
  const TimePoint start = Now();
  std::thread routes([&] {
    std::this_thread::sleep_for(milliseconds(100));
    fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
    std::this_thread::sleep_for(milliseconds(100));
    fixture.Announce("i-1", "proofs", server.Address());
  });
  const HttpResponse response = fixture.Get("/proofs/1", milliseconds(1000));
  routes.join();
  CHECK(response.result_int() == 200);
  CHECK(response.body() == "own");
  CHECK(server.Requests().size() == 1);
  CHECK(Now() - start < kStartupTime);
}

TEST_CASE("a held request is refused as not run when the startup is over")
{
  ScriptedServer server(OwnReply());
  struct Row
  {
    const char* name_;
    bool hasRoutes_;
    milliseconds timeLeft_;
    milliseconds refusedBy_;
  };
  const Row rows[] = {
    { "no routes, a caller that can come back",
      false,
      seconds(5),
      milliseconds(100) },
    { "no routes, little time", false, milliseconds(1000), milliseconds(800) },
    { "no backend server", true, milliseconds(1000), milliseconds(800) },
    { "half of a short time", true, milliseconds(300), milliseconds(300) },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ForwardFixture fixture(StartingSettings());
    if (row.hasRoutes_) {
      fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
    }
    const TimePoint start = Now();
    const HttpResponse response = fixture.Get("/proofs/1", row.timeLeft_);
    CHECK(response.result_int() == 503);
    CHECK(HeaderOf(response, "Retry-After") != "");
    CHECK(Now() - start < row.refusedBy_);
  }
  CHECK(server.Requests().empty());
}

TEST_CASE("a held request whose caller has left is never sent")
{
  ScriptedServer server(OwnReply());
  ForwardFixture fixture(StartingSettings());
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(fixture.Endpoint());
    const std::string request = "GET /proofs/1 HTTP/1.1\r\nHost: "
                                "shop.example\r\n" +
                                HeaderNames{}.timeLeftMs_ + ": 1000\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::this_thread::sleep_for(milliseconds(100));
  }
  std::this_thread::sleep_for(milliseconds(50));
  fixture.Announce("i-1", "proofs", server.Address());
  std::this_thread::sleep_for(kStartupTime);
  CHECK(server.Requests().empty());
}

TEST_CASE("an instance that has started refuses at once what it cannot serve")
{
  ForwardFixture fixture(StartingSettings());
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
  std::this_thread::sleep_for(kStartupTime);
  const TimePoint start = Now();
  CHECK(fixture.Get("/proofs/1").result_int() == 503);
  CHECK(Now() - start < milliseconds(200));
}

TEST_CASE(
  "held requests are released one after the other, the most urgent first")
{
  const TimePoint start{ seconds(100) };
  HeldRequests held;
  std::vector<std::string> begun;
  const auto begin = [&](const ForwardRequest& aRequest, TimePoint) {
    begun.push_back(aRequest.id_.Value());
    return std::shared_ptr<PendingRequest>();
  };
  // 37 callers of one instance return within a second after a power loss.
  constexpr int kCallers = 37;
  for (int i = 0; i < kCallers; ++i) {
    ForwardRequest request;
    request.id_ = RequestId("r" + std::to_string(i));
    request.deadline_ = start + milliseconds(5000 - i);
    held.Hold(std::move(request), start + seconds(3), begin);
  }
  ForwardRequest late;
  late.id_ = RequestId("over");
  late.deadline_ = start + seconds(9);
  held.Hold(std::move(late), start, begin);
  const auto canServe = [](const ForwardRequest&) { return true; };
  held.ReleaseDue(canServe, start);
  // The one whose time is over is refused beside the first releases.
  REQUIRE(begun.size() <= 4);
  CHECK(begun[0] == "over");
  CHECK(begun[1] == "r36");
  for (int i = 0; i < 10; ++i) {
    held.ReleaseDue(canServe, start);
  }
  CHECK(begun.size() <= 4);
  for (int ms = 50; ms <= 1000; ms += 50) {
    const size_t before = begun.size();
    held.ReleaseDue(canServe, start + milliseconds(ms));
    CHECK(begun.size() - before <= 2);
  }
  CHECK(begun.size() == kCallers + 1);
}
