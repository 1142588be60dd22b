#include "ForwardFixture.h"

#include <atomic>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

const HeaderNames kHeaders;

/// @return a reply with @p aStatusLine that is otherwise faultless.
std::string ReplyWith(const std::string& aStatusLine,
                      const std::string& aLines = {})
{
  return aStatusLine + "\r\n" + kHeaders.requestId_ + ": request-1\r\n" +
         kHeaders.signature_ + ": sig-1\r\n" + aLines +
         "Content-Length: 2\r\n\r\nok";
}

/// Heads that are no final reply of HTTP/1.x. The first came from a faulty
/// server and was delivered to a caller.
std::vector<std::string> ForeignReplies()
{
  const std::string notRun = kHeaders.notRun_ + ": 1\r\n";
  std::vector<std::string> replies{
    ReplyWith("HTTP/1.1 000 "),
    ReplyWith("HTTP/1.1 000 ", notRun),
    ReplyWith("HTTP/1.1 600 Odd", notRun),
    ReplyWith("HTTP/2.0 200 OK"),
    ReplyWith("HTTP/0.9 200 OK"),
    ReplyWith("HTTP/1.1 20 OK"),
    ReplyWith("HTTP/1.1 2000 OK"),
    ReplyWith("HTTP/1.1 2x0 OK"),
    ReplyWith("HTTP/1.1  200 OK"),
    ReplyWith("HTTP/1.1 -200 OK"),
    ReplyWith("http/1.1 200 OK"),
    ReplyWith("ICY 200 OK"),
    ReplyWith("200 OK"),
    ReplyWith("GET / HTTP/1.1"),
    ReplyWith("\r\n\r\nHTTP/1.1 000 OK"),
    "HTTP/1.1 103 Early Hints\r\n\r\n" + ReplyWith("HTTP/1.1 099 Odd"),
    "ok",
    std::string(4, '\0'),
  };
  for (const char* status :
       { "001", "042", "099", "600", "601", "666", "700", "999" }) {
    replies.push_back(ReplyWith("HTTP/1.1 " + std::string(status) + " Odd"));
    replies.push_back(ReplyWith("HTTP/1.0 " + std::string(status) + " Odd"));
  }
  return replies;
}

RouteDocument Routes(RouteEffect aEffect, uint32_t aMaxAttempts)
{
  RouteDocument document = SingleRoutes({ "proofs" }, aEffect, aMaxAttempts);
  Route route = document.routes_[0];
  route.name_ = "all";
  route.pathPrefix_ = "/all/";
  route.effect_ = RouteEffect::Idempotent;
  route.target_ = GatherTarget{ { ServiceName("proofs") }, 3, 1.0 };
  document.routes_.push_back(route);
  return document;
}

/// Sends a reply that the test changes, and closes the connection after it, as
/// parts of a reply could otherwise be waited for.
class ChangingServer
{
public:
  ChangingServer()
    : server_([this](const std::string&, size_t) {
      const std::lock_guard lock(mutex_);
      ScriptedReply reply;
      reply.bytes_ = bytes_;
      reply.closeAfter_ = closesAfter_;
      return reply;
    })
  {
  }

  void Set(std::string aBytes, bool aClosesAfter)
  {
    const std::lock_guard lock(mutex_);
    bytes_ = std::move(aBytes);
    closesAfter_ = aClosesAfter;
  }

  std::mutex mutex_;
  std::string bytes_;
  bool closesAfter_ = false;
  ScriptedServer server_;
};

} // namespace

// A faulty server sent status 000, and the caller received it as the response.
TEST_CASE("a reply that HTTP does not define is a failure of its server")
{
  ChangingServer server;
  ForwardFixture fixture;
  fixture.SetRoutes(Routes(RouteEffect::AtMostOnce, 1));
  fixture.Announce("i-1", "proofs", server.server_.Address());
  for (const std::string& reply : ForeignReplies()) {
    for (const char* target : { "/proofs/1", "/all/1" }) {
      CAPTURE(reply);
      CAPTURE(std::string(target));
      server.Set(reply, true);
      const size_t before = server.server_.Requests().size();
      CHECK(fixture.Get(target).result_int() == 502);
      CHECK(server.server_.Requests().size() == before + 1);
    }
  }
}

TEST_CASE("each status that HTTP defines reaches the caller, and no other")
{
  ChangingServer server;
  ForwardFixture fixture;
  fixture.SetRoutes(Routes(RouteEffect::AtMostOnce, 1));
  fixture.Announce("i-1", "proofs", server.server_.Address());
  std::string delivered;
  std::string lost;
  for (unsigned status = 0; status < 1000; ++status) {
    std::string digits = std::to_string(status);
    digits.insert(0, 3 - digits.size(), '0');
    const bool isFinal = status >= 200 && status < 600;
    const bool hasBody = status != 204 && status != 304 && status >= 200;
    // To a caller these mean that the request has not run, which a reply
    // without the header for it does not say; 421 is another server's.
    const bool meansNotRun = status == 408 || status == 429 || status == 503;
    const unsigned expected = status == 421 ? 503 : meansNotRun ? 502 : status;
    std::string reply = ReplyWith("HTTP/1.1 " + digits + " Text");
    if (!hasBody) {
      reply.resize(reply.find("Content-Length"));
      reply += "\r\n";
    }
    server.Set(reply, !isFinal);
    const unsigned received = fixture.Get("/proofs/1").result_int();
    if (isFinal && received != expected) {
      lost += digits + " ";
    }
    if (!isFinal && received != 502) {
      delivered += digits + " ";
    }
  }
  CHECK(delivered == "");
  CHECK(lost == "");
}

TEST_CASE("a reply that HTTP does not define loses its connection, and an "
          "idempotent request goes to another server")
{
  std::atomic<size_t> oddReplies{ 0 };
  ScriptedServer odd([&](const std::string&, size_t) {
    ++oddReplies;
    ScriptedReply reply;
    reply.bytes_ = ReplyWith("HTTP/1.1 000 ");
    return reply;
  });
  ScriptedServer sound([&](const std::string&, size_t) {
    ScriptedReply reply;
    reply.bytes_ = SignedReply("sound");
    return reply;
  });
  ForwardFixture fixture;
  fixture.SetRoutes(Routes(RouteEffect::Idempotent, 2));
  fixture.Announce("i-1", "proofs", odd.Address());
  fixture.Announce("i-2", "proofs", sound.Address());
  constexpr size_t kRequests = 40;
  for (size_t i = 0; i < kRequests; ++i) {
    const HttpResponse response = fixture.Get("/proofs/1");
    CHECK(response.result_int() == 200);
    CHECK(response.body() == "sound");
  }
  CHECK(oddReplies > 0);
  CHECK(odd.Connections() >= oddReplies);
}

// Mutations of a small seed corpus: whatever a server sends, the caller gets
// one response of HTTP, and a success only with a status line that says so.
TEST_CASE("no mutated head of a reply reaches the caller as another status")
{
  ChangingServer server;
  ForwardFixture fixture;
  fixture.SetRoutes(Routes(RouteEffect::AtMostOnce, 1));
  fixture.Announce("i-1", "proofs", server.server_.Address());
  std::vector<std::string> corpus = ForeignReplies();
  corpus.push_back(SignedReply("ok"));
  corpus.push_back(ReplyWith("HTTP/1.1 404 Not Found"));
  corpus.push_back("HTTP/1.1 100 Continue\r\n\r\n" + SignedReply("ok"));
  CHECK(rc::check([&] {
    std::string reply = *rc::gen::elementOf(corpus);
    const auto changes = *rc::gen::resize(
      4,
      rc::gen::container<std::vector<std::pair<size_t, char>>>(
        rc::gen::pair(rc::gen::inRange<size_t>(0, 48),
                      rc::gen::element('0', '6', '9', ' ', '\r', '\n', 'H'))));
    for (const auto& [at, byte] : changes) {
      reply[at % reply.size()] = byte;
    }
    server.Set(reply, true);
    const unsigned status = fixture.Get("/proofs/1").result_int();
    RC_ASSERT(status >= 200 && status < 600);
    const bool isOwn = status == 502 || status == 503 || status == 504;
    RC_ASSERT(isOwn ||
              reply.find(" " + std::to_string(status)) != std::string::npos);
  }));
}
