#include "../Support.h"
#include "ForwardFixture.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

const HeaderNames kHeaders;

std::string NotRunReply(unsigned aStatus)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Refused\r\n" +
         kHeaders.notRun_ + ": 1\r\nContent-Length: 0\r\n\r\n";
}

std::string ErrorReply(unsigned aStatus, const char* aSignature)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Failure\r\n" +
         kHeaders.signature_ + ": " + aSignature +
         "\r\nContent-Length: 4\r\n\r\nfail";
}

/// @return the request id in a raw request.
std::string IdOf(const std::string& aRequest)
{
  const std::string name = kHeaders.requestId_ + ": ";
  const size_t at = aRequest.find(name) + name.size();
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

/// @return a raw reply with one more header line.
std::string WithHeader(std::string aReply, const std::string& aLine)
{
  return aReply.insert(aReply.find("\r\n") + 2, aLine + "\r\n");
}

std::string_view SignatureOf(const HttpResponse& aResponse)
{
  return HeaderOf(aResponse, kHeaders.signature_);
}

} // namespace

TEST_CASE("a request and its reply are forwarded unchanged")
{
  ScriptedServer server([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("the whole body") };
  });
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::Idempotent));
  fixture.Announce("i-1", "proofs", server.Address());
  HttpRequest request =
    MakeRequest(boost::beast::http::verb::put, "/proofs/a%20b?x=1", "payload");
  request.set("X-Own", "kept");
  request.set(boost::beast::http::field::connection, "X-Hop");
  request.set("X-Hop", "dropped");
  const HttpResponse response = fixture.Send(std::move(request));
  CHECK(response.result_int() == 200);
  CHECK(response.body() == "the whole body");
  CHECK(SignatureOf(response) == "sig-1");
  REQUIRE(server.Requests().size() == 1);
  const std::string received = server.Requests()[0];
  CHECK(received.starts_with("PUT /proofs/a%20b?x=1 HTTP/1.1\r\n"));
  CHECK(received.find("X-Own: kept\r\n") != std::string::npos);
  CHECK(received.find("X-Hop") == std::string::npos);
  CHECK(received.find(kHeaders.requestId_ + ": request-1\r\n") !=
        std::string::npos);
  CHECK(received.find(kHeaders.expectedServer_ + ": i-1\r\n") !=
        std::string::npos);
  CHECK(received.ends_with("\r\n\r\npayload"));
}

TEST_CASE("status returned to the caller for each kind of server fault")
{
  struct Row
  {
    const char* name_;
    ScriptedReply first_;
    /// Status returned on an idempotent route, where another server replies
    /// successfully.
    unsigned idempotent_;
    /// Status returned on an at-most-once route.
    unsigned atMostOnce_;
  };
  const Row rows[] = {
    { "a successful reply", { SignedReply("good") }, 200, 200 },
    { "503 with the not-run header", { NotRunReply(503) }, 200, 200 },
    { "421 from another server",
      { "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n" },
      200,
      200 },
    { "a successful reply without a signature",
      { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" },
      200,
      502 },
    { "an encoded body",
      { "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + kHeaders.signature_ +
        ": sig-9\r\nContent-Length: 4\r\n\r\ngood" },
      200,
      502 },
    { "a reply to another request",
      { SignedReply("good", "sig-9", "request-0") },
      200,
      502 },
    { "a truncated body",
      { SignedReply("good body").substr(0, 90), milliseconds(0), true },
      200,
      502 },
    { "bytes that are not HTTP", { "\x01\x02garbage\r\n\r\n" }, 200, 502 },
    { "the connection is closed", { "", milliseconds(0), true }, 200, 502 },
    { "the connection is reset",
      { "", milliseconds(0), false, true },
      200,
      502 },
    { "a 500 reply", { ErrorReply(500, "sig-9") }, 200, 500 },
    { "503 without the not-run header",
      { ErrorReply(503, "sig-9") },
      200,
      502 },
  };
  for (const RouteEffect effect :
       { RouteEffect::Idempotent, RouteEffect::AtMostOnce }) {
    for (const Row& row : rows) {
      CAPTURE(row.name_);
      CAPTURE(NameOf(effect));
      std::atomic<int> requests{ 0 };
      const auto script = [&](const std::string&, size_t) {
        return requests++ == 0 ? row.first_
                               : ScriptedReply{ SignedReply("good") };
      };
      ScriptedServer first(script);
      ScriptedServer second(script);
      ForwardFixture fixture;
      fixture.SetRoutes(SingleRoutes({ "proofs" }, effect));
      fixture.Announce("i-1", "proofs", first.Address());
      fixture.Announce("i-2", "proofs", second.Address());
      const HttpResponse response = fixture.Get("/proofs/1");
      const bool isAtMostOnce = effect == RouteEffect::AtMostOnce;
      const unsigned expected =
        isAtMostOnce ? row.atMostOnce_ : row.idempotent_;
      CHECK(response.result_int() == expected);
      if (expected == 200) {
        CHECK(response.body() == "good");
        CHECK(SignatureOf(response) == "sig-1");
      } else if (expected != 500) {
        CHECK(SignatureOf(response) == "");
      }
    }
  }
}

TEST_CASE("a body without a length is complete only after an orderly close")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\n" + kHeaders.signature_ + ": sig-1\r\n\r\n";
  for (const bool isClean : { true, false }) {
    CAPTURE(isClean);
    ScriptedServer server([&](const std::string&, size_t) {
      return ScriptedReply{ head + "rest", milliseconds(0), isClean, !isClean };
    });
    ForwardFixture fixture;
    fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
    fixture.Announce("i-1", "proofs", server.Address());
    const HttpResponse response = fixture.Get("/proofs/1");
    CHECK(response.result_int() == (isClean ? 200 : 502));
    CHECK(response.body().starts_with(isClean ? "rest" : "{\"error\""));
  }
}

TEST_CASE("bytes beyond a reply are not delivered to another request")
{
  std::atomic<int> requests{ 0 };
  ScriptedServer server([&](const std::string& aRequest, size_t) {
    ++requests;
    const bool isFirst = aRequest.find("request-a") != std::string::npos;
    const std::string own =
      SignedReply("own", "sig-1", isFirst ? "request-a" : "request-b");
    return ScriptedReply{ isFirst ? own + SignedReply("foreign", "sig-9", "x")
                                  : own };
  });
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
  fixture.Announce("i-1", "proofs", server.Address());
  CHECK(fixture.Get("/proofs/1", seconds(2), "request-a").body() == "own");
  CHECK(fixture.Get("/proofs/2", seconds(2), "request-b").body() == "own");
  CHECK(requests == 2);
}

TEST_CASE("a slow server causes a hedge on an idempotent route only")
{
  for (const RouteEffect effect :
       { RouteEffect::Idempotent, RouteEffect::AtMostOnce }) {
    CAPTURE(NameOf(effect));
    std::atomic<int> requests{ 0 };
    const auto script = [&](const std::string&, size_t) {
      return requests++ == 0
               ? ScriptedReply{ SignedReply("slow"), milliseconds(800) }
               : ScriptedReply{ SignedReply("fast") };
    };
    ScriptedServer first(script);
    ScriptedServer second(script);
    ForwardFixture fixture;
    fixture.SetRoutes(SingleRoutes({ "proofs" }, effect));
    fixture.Announce("i-1", "proofs", first.Address());
    fixture.Announce("i-2", "proofs", second.Address());
    const bool isIdempotent = effect == RouteEffect::Idempotent;
    CHECK(fixture.Get("/proofs/1").body() == (isIdempotent ? "fast" : "slow"));
    CHECK(requests == (isIdempotent ? 2 : 1));
  }
}

TEST_CASE("a connection is opened before the hedge that uses it")
{
  ScriptedServer slow([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("slow"), milliseconds(3000) };
  });
  ScriptedServer other([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("fast") };
  });
  ForwardSettings settings;
  settings.preconnectShare_ = 0.1;
  ForwardFixture fixture(settings);
  RouteDocument document = SingleRoutes({ "proofs" }, RouteEffect::Idempotent);
  // The hedge is due after 1 s, its connection after 0.1 s.
  document.routes_[0].objective_ = seconds(2);
  document.routes_[0].timeout_ = seconds(4);
  fixture.SetRoutes(document);
  fixture.Announce("i-1", "proofs", slow.Address());
  std::string body;
  std::thread caller(
    [&] { body = fixture.Get("/proofs/1", seconds(4)).body(); });
  while (slow.Requests().empty()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  fixture.Announce("i-2", "proofs", other.Address());
  const TimePoint deadline = Now() + milliseconds(700);
  while (other.Connections() == 0 && Now() < deadline) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(other.Connections() == 1);
  CHECK(other.Requests().empty());
  caller.join();
  CHECK(body == "fast");
  CHECK(other.Connections() == 1);
}

// After a power loss, servers still hold the connections of the previous
// instances and reset new ones.
TEST_CASE("a new connection that is reset at once does not count as an attempt")
{
  for (const RouteEffect effect :
       { RouteEffect::Idempotent, RouteEffect::AtMostOnce }) {
    CAPTURE(NameOf(effect));
    ScriptedServer healthy([](const std::string&, size_t) {
      return ScriptedReply{ SignedReply("good") };
    });
    ResettingServer resetting;
    ForwardFixture fixture;
    fixture.SetRoutes(SingleRoutes({ "proofs" }, effect, 1));
    fixture.Announce("i-1", "proofs", resetting.Address());
    fixture.Announce("i-2", "proofs", healthy.Address());
    for (int i = 0; i < 30 && resetting.Connections() == 0; ++i) {
      const unsigned status = fixture.Get("/proofs/1").result_int();
      // A request that may have been run is not sent again on an at-most-once
      // route.
      const bool isExpected =
        status == 200 || (status == 502 && effect == RouteEffect::AtMostOnce);
      CHECK(isExpected);
    }
    CHECK(resetting.Connections() > 0);
  }
}

TEST_CASE("a request without a reply is answered in time with the right status")
{
  ForwardFixture fixture;
  fixture.SetRoutes(
    SingleRoutes({ "proofs", "notes" }, RouteEffect::AtMostOnce));
  ScriptedServer silent([](const std::string&, size_t) {
    return ScriptedReply{ "", milliseconds(0), false, false, true };
  });
  fixture.Announce("i-1", "proofs", silent.Address());
  SUBCASE("504 when a silent server may have run the request")
  {
    const TimePoint begin = Now();
    const HttpResponse response = fixture.Get("/proofs/1", milliseconds(300));
    CHECK(response.result_int() == 504);
    CHECK(Now() - begin < milliseconds(400));
  }
  SUBCASE("503 with Retry-After at once when no server is announced")
  {
    const TimePoint begin = Now();
    const HttpResponse response = fixture.Get("/notes/1");
    CHECK(response.result_int() == 503);
    CHECK(HeaderOf(response, "Retry-After") != "");
    CHECK(Now() - begin < milliseconds(200));
  }
  SUBCASE("404 when no route matches")
  {
    CHECK(fixture.Get("/elsewhere/1").result_int() == 404);
  }
}

TEST_CASE("503 instead of 404 before the first document")
{
  ForwardFixture fixture;
  const HttpResponse response = fixture.Get("/proofs/1");
  CHECK(response.result_int() == 503);
  CHECK(HeaderOf(response, "Retry-After") != "");
}

TEST_CASE("draining and removed servers receive no new request")
{
  ScriptedServer leaving([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("leaving") };
  });
  ScriptedServer staying([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("staying") };
  });
  for (const ServerPhase phase : { ServerPhase::Draining, ServerPhase::Gone }) {
    CAPTURE(NameOf(phase));
    ForwardFixture fixture;
    fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::Idempotent));
    fixture.Announce("i-1", "proofs", leaving.Address());
    fixture.Announce("i-2", "proofs", staying.Address());
    fixture.Announce("i-1", "proofs", leaving.Address(), phase);
    const size_t before = leaving.Requests().size();
    for (int i = 0; i < 10; ++i) {
      CHECK(fixture.Get("/proofs/1").body() == "staying");
    }
    CHECK(leaving.Requests().size() == before);
  }
}

// Requests that waited for a connection to a server when it began to drain were
// sent to it seconds later.
TEST_CASE("requests that wait for a draining server are sent to another one")
{
  ScriptedServer leaving([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("leaving"), milliseconds(1500) };
  });
  ScriptedServer staying([](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("staying") };
  });
  ForwardFixture fixture;
  RouteDocument document = SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce);
  document.services_[0].maxConnections_ = 1;
  fixture.SetRoutes(document);
  fixture.Announce("i-1", "proofs", leaving.Address());
  std::thread first(
    [&] { CHECK(fixture.Get("/proofs/1").body() == "leaving"); });
  REQUIRE(WaitUntil([&] { return leaving.Requests().size() == 1; }));
  std::string second;
  std::thread waiting([&] { second = fixture.Get("/proofs/2").body(); });
  std::this_thread::sleep_for(milliseconds(100));
  fixture.Announce("i-1", "proofs", leaving.Address(), ServerPhase::Draining);
  fixture.Announce("i-2", "proofs", staying.Address());
  first.join();
  waiting.join();
  CHECK(second == "staying");
  CHECK(leaving.Requests().size() == 1);
}

// Guards against a backend server that receives far more requests than the
// limit that it states, since each instance sends as if there were none.
TEST_CASE("instances keep to their shares of a server's stated rate limit")
{
  constexpr int kRequests = 60;
  constexpr milliseconds kInterval{ 20 };
  constexpr double kLimit = 10;
  constexpr uint32_t kInstances = 2;
  ScriptedServer limited([&](const std::string& aRequest, size_t) {
    return ScriptedReply{ WithHeader(
      SignedReply("limited", "sig-1", IdOf(aRequest)),
      kHeaders.rateLimit_ + ": " + std::to_string(kLimit)) };
  });
  ScriptedServer unlimited([](const std::string& aRequest, size_t) {
    return ScriptedReply{ SignedReply("other", "sig-2", IdOf(aRequest)),
                          milliseconds(8) };
  });
  ForwardFixture fixture;
  fixture.RunOnGatewayThread(
    [&] { fixture.GetGateway().SetInstances(kInstances, Now()); });
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::Idempotent));
  fixture.Announce("i-1", "proofs", limited.Address());
  fixture.Announce("i-2", "proofs", unlimited.Address());
  const TimePoint begin = Now();
  for (int i = 0; i < kRequests; ++i) {
    CHECK(fixture.Get("/proofs/1", seconds(2), "r-" + std::to_string(i))
            .result_int() == 200);
    std::this_thread::sleep_for(kInterval);
  }
  const double elapsed = std::chrono::duration<double>(Now() - begin).count();
  // One and a half times the limit and five requests, as servers tolerate from
  // all instances together; this one has an equal share.
  CHECK(static_cast<double>(limited.Requests().size()) <=
        (1.5 * kLimit * elapsed + 5) / kInstances);
}
