#include "ForwardFixture.h"

#include <boost/asio/read.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

using Socket = boost::asio::ip::tcp::socket;

std::string RequestOf(const std::string& aPath, const std::string& aLines)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: shop.example\r\n" +
         HeaderNames{}.requestId_ + ": request-1\r\n" + aLines + "\r\n";
}

std::string ReadAll(Socket& aSocket)
{
  std::string bytes;
  boost::system::error_code ignored;
  boost::asio::read(aSocket, boost::asio::dynamic_buffer(bytes), ignored);
  return bytes;
}

void Write(Socket& aSocket, const std::string& aBytes)
{
  boost::asio::write(aSocket, boost::asio::buffer(aBytes));
}

/// @return a document with the documented limits.
RouteDocument Routes()
{
  RouteDocument document = SingleRoutes({ "proofs" }, RouteEffect::AtMostOnce);
  document.limits_.maxBodyBytes_ = 262144;
  return document;
}

ScriptedServer::Script Signed()
{
  return [](const std::string&, size_t) {
    return ScriptedReply{ SignedReply("own") };
  };
}

} // namespace

TEST_CASE("a single request of the largest documented size is served")
{
  struct Row
  {
    const char* name_;
    std::string request_;
  };
  std::string fields;
  while (fields.size() < 16000) {
    fields += "a:\r\n";
  }
  std::string chunks;
  for (int i = 0; i < 256; ++i) {
    chunks += "400\r\n" + std::string(1024, 'x') + "\r\n";
  }
  const std::string last = "Connection: close\r\n";
  const Row rows[] = {
    { "the largest body",
      RequestOf("/proofs/1", last + "Content-Length: 262144\r\n") +
        std::string(262144, 'x') },
    { "the largest body in chunks",
      RequestOf("/proofs/1", last + "Transfer-Encoding: chunked\r\n") + chunks +
        "0\r\n\r\n" },
    { "4,000 header fields", RequestOf("/proofs/1", last + fields) },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    ScriptedServer server(Signed());
    ForwardFixture fixture;
    fixture.SetRoutes(Routes());
    fixture.Announce("i-1", "proofs", server.Address());
    boost::asio::io_context context;
    Socket socket(context);
    socket.connect(fixture.Endpoint());
    Write(socket, row.request_);
    CHECK(ReadAll(socket).starts_with("HTTP/1.1 200"));
    CHECK(server.Requests().size() == 1);
  }
}

TEST_CASE("a request whose route appears while its body is discarded is not "
          "forwarded with an empty body")
{
  ScriptedServer server(Signed());
  ForwardFixture fixture;
  RouteDocument other = Routes();
  other.routes_[0].pathPrefix_ = "/other/";
  fixture.SetRoutes(other);
  fixture.Announce("i-1", "proofs", server.Address());
  boost::asio::io_context context;
  Socket socket(context);
  socket.connect(fixture.Endpoint());
  Write(socket,
        RequestOf("/proofs/1", "Connection: close\r\nContent-Length: 6\r\n") +
          "abc");
  std::this_thread::sleep_for(milliseconds(100));
  fixture.SetRoutes(Routes());
  Write(socket, "def");
  CHECK(ReadAll(socket).starts_with("HTTP/1.1 404"));
  CHECK(server.Requests().empty());
}

TEST_CASE("a body without a route is discarded, and its connection is kept")
{
  ScriptedServer server(Signed());
  ForwardFixture fixture;
  fixture.SetRoutes(Routes());
  fixture.Announce("i-1", "proofs", server.Address());
  boost::asio::io_context context;
  Socket socket(context);
  socket.connect(fixture.Endpoint());
  Write(socket,
        RequestOf("/nowhere/1", "Content-Length: 262144\r\n") +
          std::string(262144, 'x') +
          RequestOf("/proofs/1", "Connection: close\r\n"));
  const std::string answers = ReadAll(socket);
  CHECK(answers.starts_with("HTTP/1.1 404"));
  CHECK(answers.find("HTTP/1.1 200") != std::string::npos);
}
