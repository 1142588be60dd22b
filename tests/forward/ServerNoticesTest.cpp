#include "../Support.h"
#include "ForwardFixture.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

const HeaderNames kHeaders;

std::string IdOf(const std::string& aRequest)
{
  const std::string name = kHeaders.requestId_ + ": ";
  const size_t begin = aRequest.find(name) + name.size();
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

/// @return a signed reply with a status line and header lines, each with CRLF.
std::string Reply(const std::string& aStatus,
                  const std::string& aId,
                  const std::string& aHeaderLines)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + kHeaders.requestId_ + ": " + aId +
         "\r\n" + kHeaders.signature_ + ": sig-1\r\n" + aHeaderLines +
         "Content-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE("Retry-After and warm-up of a reply: dates and nonsense are ignored")
{
  CHECK(ParseRetryAfter("2") == Duration(seconds(2)));
  CHECK(ParseRetryAfter(" 0.25 ") == Duration(milliseconds(250)));
  CHECK(ParseRetryAfter("0") == Duration(0));
  CHECK(ParseRetryAfter("1e30") == Duration(kMaxServerRefusal));
  for (const char* text : { "",
                            "-1",
                            "nan",
                            "inf",
                            "soon",
                            "2 s",
                            "1,5",
                            "Fri, 31 Dec 1999 23:59:59 GMT" }) {
    CAPTURE(text);
    CHECK(!ParseRetryAfter(text));
  }
  CHECK(ParseWarmup("1500") == milliseconds(1500));
  CHECK(ParseWarmup("99999999999") == milliseconds(kMaxStatedWarmup));
  for (const char* text : { "", "-1", "1.5", "99999999999999999999999" }) {
    CAPTURE(text);
    CHECK(!ParseWarmup(text));
  }
}

// Guards against requests to a server that has stated that it leaves, and
// against marks from replies that are not of this server or request.
TEST_CASE("a server whose own reply states that it leaves gets no request")
{
  const std::string leaving = kHeaders.leaving_ + ": 1\r\n";
  struct Row
  {
    const char* name_;
    const char* status_;
    std::string headers_;
    bool isOwnId_;
    bool isLeaving_;
  };
  const Row rows[] = {
    { "success", "200 OK", leaving, true, true },
    { "failure", "500 Internal Server Error", leaving, true, true },
    { "refusal",
      "503 Service Unavailable",
      leaving + kHeaders.notRun_ + ": 1\r\n",
      true,
      true },
    { "another server", "421 Misdirected Request", leaving, true, false },
    { "another request", "200 OK", leaving, false, false },
    { "not leaving", "200 OK", kHeaders.leaving_ + ": 0\r\n", true, false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ScriptedServer server([&](const std::string& aRequest, size_t aNumber) {
      return ScriptedReply{
        aNumber == 0 ? Reply(row.status_,
                             row.isOwnId_ ? IdOf(aRequest) : "request-x",
                             row.headers_)
                     : Reply("200 OK", IdOf(aRequest), "")
      };
    });
    ForwardFixture fixture;
    std::vector<BackendId> reported;
    fixture.RunOnGatewayThread([&] {
      fixture.GetGateway().OnServerLeaving(
        [&](const BackendId& aId, uint64_t aStartedAtMs) {
          CHECK(aStartedAtMs == 1);
          reported.push_back(aId);
        });
    });
    fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
    fixture.Announce("i-1", "proofs", server.Address());
    fixture.Get("/proofs/1", seconds(2), "request-a");
    // A later announcement of the same process does not undo the mark.
    fixture.Announce("i-1", "proofs", server.Address());
    const auto status =
      fixture.Get("/proofs/2", seconds(2), "request-b").result_int();
    CHECK(status == (row.isLeaving_ ? 503 : 200));
    CHECK(server.Requests().size() == (row.isLeaving_ ? 1 : 2));
    CHECK(reported.size() == (row.isLeaving_ ? 1 : 0));
  }
}

// Guards against requests that wait for a connection to a leaving server.
TEST_CASE("requests that wait for a leaving server are sent elsewhere at once")
{
  ScriptedServer leaving([](const std::string& aRequest, size_t) {
    return ScriptedReply{
      Reply("200 OK", IdOf(aRequest), kHeaders.leaving_ + ": 1\r\n"),
      milliseconds(400)
    };
  });
  ScriptedServer staying([](const std::string& aRequest, size_t) {
    return ScriptedReply{ SignedReply("staying", "sig-2", IdOf(aRequest)) };
  });
  ForwardFixture fixture;
  RouteDocument document = SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce);
  document.services_[0].maxConnections_ = 1;
  fixture.SetRoutes(document);
  fixture.Announce("i-1", "proofs", leaving.Address());
  std::thread first([&] { fixture.Get("/proofs/1", seconds(2), "r-1"); });
  REQUIRE(WaitUntil([&] { return leaving.Requests().size() == 1; }));
  std::string second;
  std::thread waiting(
    [&] { second = fixture.Get("/proofs/2", seconds(2), "r-2").body(); });
  std::this_thread::sleep_for(milliseconds(100));
  fixture.Announce("i-2", "proofs", staying.Address());
  first.join();
  waiting.join();
  CHECK(second == "staying");
  CHECK(leaving.Requests().size() == 1);
}

// Guards against a server that turns cold while it is in use and goes on
// getting its full share until its next announcement.
TEST_CASE("a server that states that it is cold gets the tolerated rate")
{
  ScriptedServer cold([](const std::string& aRequest, size_t) {
    return ScriptedReply{ Reply(
      "200 OK", IdOf(aRequest), kHeaders.warmupMs_ + ": 60000\r\n") };
  });
  ScriptedServer warm([](const std::string& aRequest, size_t) {
    return ScriptedReply{ Reply("200 OK", IdOf(aRequest), ""),
                          milliseconds(5) };
  });
  ForwardFixture fixture;
  RouteDocument document = SingleRoutes({ "proofs" }, RouteEffect::Idempotent);
  document.services_[0].warmupPerSecond_ = 4;
  fixture.SetRoutes(document);
  fixture.Announce("i-1", "proofs", cold.Address());
  fixture.Announce("i-2", "proofs", warm.Address());
  const TimePoint begin = Now();
  int requests = 0;
  for (; Now() - begin < seconds(2); ++requests) {
    const std::string id = "r-" + std::to_string(requests);
    CHECK(fixture.Get("/proofs/1", seconds(2), id).result_int() == 200);
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(requests > 40);
  // The rate of two seconds and of the lifetime of a permit, and the first.
  CHECK(cold.Requests().size() <= 11);
  CHECK(cold.Requests().size() >= 1);
}
