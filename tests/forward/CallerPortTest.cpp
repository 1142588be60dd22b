#include "../Support.h"
#include "ForwardFixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

constexpr std::string_view kRequest = "GET /proofs/1 HTTP/1.1\r\n"
                                      "Host: shop.example\r\n\r\n";

ScriptedServer::Script OwnReply()
{
  return [](const std::string&, size_t) {
    return ScriptedReply{ "HTTP/1.1 200 OK\r\n" + HeaderNames{}.signature_ +
                          ": sig-1\r\nContent-Length: 3\r\n\r\nown" };
  };
}

/// A caller with one connection.
class Caller
{
public:
  explicit Caller(const ForwardFixture& aFixture)
    : socket_(context_)
  {
    socket_.connect(aFixture.Endpoint());
  }
  void Send(std::string_view aBytes)
  {
    boost::asio::write(socket_,
                       boost::asio::buffer(aBytes.data(), aBytes.size()));
  }
  /// @return the bytes of the next read.
  std::string ReadSome()
  {
    std::string bytes(4096, '\0');
    boost::system::error_code ignored;
    bytes.resize(socket_.read_some(boost::asio::buffer(bytes), ignored));
    return bytes;
  }
  /// @return all bytes until the connection ends.
  std::string ReadAll()
  {
    std::string bytes;
    boost::system::error_code ignored;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(bytes), ignored);
    return bytes;
  }

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
};

} // namespace

// An instance that was paused must not carry out what callers have given up
// meanwhile, and may have sent elsewhere.
TEST_CASE("a request that is read after its caller has left is sent to no "
          "server")
{
  ScriptedServer server(OwnReply());
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
  fixture.Announce("i-1", "proofs", server.Address());
  // Leaves a connection to the server open.
  REQUIRE(fixture.Get("/proofs/1").result_int() == 200);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(std::make_unique<Caller>(fixture));
  }
  std::this_thread::sleep_for(milliseconds(50));
  fixture.RunOnGatewayThread([&] {
    for (auto& caller : callers) {
      caller->Send(kRequest);
      if (caller != callers.back()) {
        caller.reset();
      }
    }
    std::this_thread::sleep_for(milliseconds(20));
  });
  CHECK(callers.back()->ReadSome().starts_with("HTTP/1.1 200"));
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(server.Requests().size() == 2);
}

TEST_CASE("a planned stop under load answers every request that was accepted")
{
  // The gateway's thread is busy while callers connect and send, and handles
  // the stop before it reads what they sent.
  struct Row
  {
    const char* name_;
    bool isAcceptedBefore_;
    size_t bytesAtOnce_;
  };
  const Row rows[] = {
    { "in the listener's queue, sent", false, kRequest.size() },
    { "in the listener's queue, half sent", false, 20 },
    { "in the listener's queue, nothing sent yet", false, 0 },
    { "an open connection, sent and not read", true, kRequest.size() },
    { "an open connection, half sent", true, 20 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    ScriptedServer server(OwnReply());
    ForwardFixture fixture;
    fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
    fixture.Announce("i-1", "proofs", server.Address());
    std::vector<std::unique_ptr<Caller>> callers;
    const auto connect = [&] {
      for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<Caller>(fixture));
      }
    };
    if (row.isAcceptedBefore_) {
      connect();
      std::this_thread::sleep_for(milliseconds(50));
    }
    fixture.RunOnGatewayThread([&] {
      if (!row.isAcceptedBefore_) {
        connect();
      }
      for (auto& caller : callers) {
        caller->Send(kRequest.substr(0, row.bytesAtOnce_));
      }
      std::this_thread::sleep_for(milliseconds(20));
      fixture.Callers().BeginDrain(Now() + seconds(5), Now());
      fixture.Callers().StopAccepting();
    });
    std::this_thread::sleep_for(milliseconds(30));
    for (auto& caller : callers) {
      if (row.bytesAtOnce_ < kRequest.size()) {
        caller->Send(kRequest.substr(row.bytesAtOnce_));
      }
    }
    size_t answered = 0;
    for (auto& caller : callers) {
      const std::string answer = caller->ReadAll();
      answered += answer.starts_with("HTTP/1.1 200") &&
                      answer.ends_with("own") &&
                      answer.find("Connection: close") != std::string::npos
                    ? 1
                    : 0;
    }
    CHECK(answered == callers.size());
  }
}

TEST_CASE("a stopping instance closes the connections without a request")
{
  ForwardFixture fixture;
  Caller caller(fixture);
  std::this_thread::sleep_for(milliseconds(20));
  const TimePoint start = Now();
  fixture.RunOnGatewayThread([&] {
    fixture.Callers().BeginDrain(Now() + seconds(5), Now());
    fixture.Callers().StopAccepting();
  });
  CHECK(caller.ReadAll().empty());
  CHECK(Now() - start < milliseconds(500));
}

// Requests that arrived slowly, late in a stop, were passed on and cut with the
// process at its end.
TEST_CASE("a stopping instance refuses requests that it cannot answer in time")
{
  ScriptedServer server(OwnReply());
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
  fixture.Announce("i-1", "proofs", server.Address());
  struct Row
  {
    const char* name_;
    milliseconds restAfter_;
    const char* status_;
  };
  // The route's objective is 200 ms, and it is for actions.
  const Row rows[] = {
    { "complete with enough time left", milliseconds(100), "200" },
    { "complete too late", milliseconds(600), "503" },
    { "never complete", milliseconds(5000), "503" },
  };
  std::vector<std::unique_ptr<Caller>> callers;
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    callers.push_back(std::make_unique<Caller>(fixture));
    callers.back()->Send(kRequest.substr(0, 20));
  }
  std::this_thread::sleep_for(milliseconds(50));
  const TimePoint begin = Now();
  const TimePoint answerBy = begin + milliseconds(900);
  fixture.RunOnGatewayThread([&] {
    fixture.Callers().BeginDrain(answerBy, Now());
    fixture.Callers().StopAccepting();
  });
  for (size_t i = 0; i < callers.size(); ++i) {
    CAPTURE(rows[i].name_);
    if (begin + rows[i].restAfter_ < answerBy) {
      std::this_thread::sleep_until(begin + rows[i].restAfter_);
      callers[i]->Send(kRequest.substr(20));
    }
    const std::string answer = callers[i]->ReadAll();
    CHECK(answer.substr(9, 3) == rows[i].status_);
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
  CHECK(Now() < answerBy + milliseconds(200));
  CHECK(server.Requests().size() == 1);
}

TEST_CASE("a stopping instance answers requests whose work outlasts the stop")
{
  ScriptedServer server([](const std::string&, size_t) {
    ScriptedReply reply;
    reply.isSilent_ = true;
    return reply;
  });
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
  fixture.Announce("i-1", "proofs", server.Address());
  Caller caller(fixture);
  caller.Send(kRequest);
  REQUIRE(WaitUntil([&] { return server.Requests().size() == 1; }));
  fixture.RunOnGatewayThread([&] {
    fixture.Callers().BeginDrain(Now() + milliseconds(300), Now());
    fixture.Callers().StopAccepting();
  });
  const TimePoint begin = Now();
  // The outcome of the action is unknown.
  CHECK(caller.ReadAll().starts_with("HTTP/1.1 504"));
  CHECK(Now() - begin < milliseconds(600));
}

TEST_CASE("a process that was paused does not run a request whose time is over")
{
  ScriptedServer server(OwnReply());
  ForwardFixture fixture;
  fixture.SetRoutes(SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce));
  fixture.Announce("i-1", "proofs", server.Address());
  const std::string request =
    "GET /proofs/1 HTTP/1.1\r\nHost: shop.example\r\n" +
    HeaderNames{}.timeLeftMs_ + ": 300\r\n\r\n";
  std::string answer;
  std::thread caller([&] {
    std::this_thread::sleep_for(milliseconds(50));
    Caller paused(fixture);
    paused.Send(request);
    answer = paused.ReadSome();
  });
  fixture.RunOnGatewayThread(
    [] { std::this_thread::sleep_for(milliseconds(900)); });
  caller.join();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(server.Requests().empty());
  // It serves the next request as usual.
  CHECK(fixture.Get("/proofs/2").result_int() == 200);
}
