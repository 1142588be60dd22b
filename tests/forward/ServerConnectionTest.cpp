#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

const HeaderNames kHeaders;

std::string ReplyWithoutId(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + kHeaders.signature_ +
         ": sig-1\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string IdOf(const std::string& aRequest)
{
  const std::string name = kHeaders.requestId_ + ": ";
  const size_t begin = aRequest.find(name) + name.size();
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

} // namespace

TEST_CASE("a late second copy of a reply is not delivered to the next request")
{
  struct Row
  {
    const char* name_;
    bool hasId_;
    const char* secondId_;
    /// Part of the copy that is sent with the first reply; the rest is late.
    size_t bytesAtOnce_;
  };
  const Row rows[] = {
    { "the copy has the id of the first request", true, "request-b", 0 },
    { "the server returns no ids", false, "request-b", 0 },
    { "the second request has the same id, as of a caller that retries",
      true,
      "request-a",
      0 },
    { "the copy comes in two pieces", true, "request-b", 20 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ScriptedServer server([&](const std::string& aRequest, size_t aNumber) {
      const std::string body = aNumber == 0 ? "first" : "second";
      const std::string bytes = row.hasId_
                                  ? SignedReply(body, "sig-1", IdOf(aRequest))
                                  : ReplyWithoutId(body);
      ScriptedReply reply{ bytes };
      if (aNumber == 0) {
        reply.bytes_ += bytes.substr(0, row.bytesAtOnce_);
        reply.lateBytes_ = bytes.substr(row.bytesAtOnce_);
      }
      return reply;
    });
    ForwardFixture fixture;
    fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
    fixture.Announce("i-1", "proofs", server.Address());
    CHECK(fixture.Get("/proofs/1", seconds(2), "request-a").body() == "first");
    const HttpResponse second =
      fixture.Get("/proofs/2", seconds(2), row.secondId_);
    CHECK(second.body() != "first");
    const bool isCopyToldApart = row.hasId_ &&
                                 std::string(row.secondId_) != "request-a" &&
                                 row.bytesAtOnce_ == 0;
    CHECK(second.result_int() == (isCopyToldApart ? 502 : 200));
  }
}

TEST_CASE("bytes without end from a server are cut short")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n" + kHeaders.signature_ +
                         ": sig-1\r\n" + kHeaders.requestId_ +
                         ": request-1\r\n";
  const std::string filler(4096, 'a');
  struct Row
  {
    const char* name_;
    std::string begin_;
    std::string endless_;
  };
  const Row rows[] = {
    { "header lines", ok, "X-Filler: a\r\n" },
    { "one header line", ok + "X-Filler: ", filler },
    { "a status line", "HTTP/1.1 200 ", filler },
    { "bytes of no protocol", "", filler },
    { "a body that ends with the connection", ok + "\r\n", filler },
    { "a chunked body",
      ok + "Transfer-Encoding: chunked\r\n\r\n",
      "1000\r\n" + filler + "\r\n" },
    { "a chunk header",
      ok + "Transfer-Encoding: chunked\r\n\r\n4;extension=",
      filler },
    { "a trailer",
      ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ",
      filler },
    { "informational replies", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
  };
  // Buffers of the sockets on both sides, beside the limit on the reply.
  constexpr size_t kMaxBytes = 12 * 1024 * 1024;
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ScriptedServer endless([&](const std::string&, size_t) {
      ScriptedReply reply{ row.begin_ };
      reply.endlessBytes_ = row.endless_;
      return reply;
    });
    ForwardFixture fixture;
    fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
    fixture.Announce("i-1", "proofs", endless.Address());
    const TimePoint start = Now();
    CHECK(fixture.Get("/proofs/1", seconds(2)).result_int() == 502);
    CHECK(Now() - start < seconds(1));
    CHECK(endless.EndlessBytesSent() < kMaxBytes);
  }
}

TEST_CASE("a query answers although a shard sends bytes without end")
{
  ScriptedServer endless([&](const std::string& aRequest, size_t) {
    ScriptedReply reply{ "HTTP/1.1 200 OK\r\n" + kHeaders.signature_ +
                         ": sig-9\r\n" + kHeaders.requestId_ + ": " +
                         IdOf(aRequest) + "\r\n\r\n" };
    reply.endlessBytes_ = std::string(4096, 'z');
    return reply;
  });
  ScriptedServer sound([&](const std::string& aRequest, size_t) {
    return ScriptedReply{ SignedReply(
      "0123456789abcdef", "sig-1", IdOf(aRequest)) };
  });
  ForwardFixture fixture;
  RouteDocument document =
    SingleRoutes({ "shard-a", "shard-b" }, RouteEffect::Idempotent);
  Route route = document.routes_.front();
  route.name_ = "query";
  route.pathPrefix_ = "/query/";
  route.target_ =
    GatherTarget{ { ServiceName("shard-a"), ServiceName("shard-b") }, 5, 0.5 };
  document.routes_.push_back(route);
  fixture.SetRoutes(std::move(document));
  fixture.Announce("i-1", "shard-a", endless.Address());
  fixture.Announce("i-2", "shard-b", sound.Address());
  const TimePoint start = Now();
  const HttpResponse response = fixture.Get("/query/1");
  CHECK(response.result_int() == 200);
  CHECK(response.body() == "0123456789abcdef");
  CHECK(HeaderOf(response, kHeaders.missingShards_) == "1");
  CHECK(Now() - start < milliseconds(500));
}
