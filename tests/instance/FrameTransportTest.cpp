#include "instance/FrameTransport.h"

#include "core/Error.h"
#include "instance/FrameCodec.h"
#include "instance/FrameHandshake.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>
#include <rapidcheck.h>
#include <thread>

using namespace foxtail;
namespace asio = boost::asio;
using Endpoint = FrameTransport::Endpoint;

namespace {

const std::string kKey = "key of the tests";

FrameTransportSettings SettingsOf(const char* aName,
                                  const std::string& aKey = kKey)
{
  FrameTransportSettings settings;
  settings.instance_ = InstanceId(aName);
  settings.deploymentKey_ = aKey;
  settings.connectTimeout_ = milliseconds(500);
  return settings;
}

Endpoint EndpointOf(uint16_t aPort)
{
  return Endpoint(asio::ip::make_address("127.0.0.1"), aPort);
}

Frame MakeFrame(FrameKind aKind, std::string aPayload)
{
  Frame frame;
  frame.kind_ = aKind;
  frame.payload_ = std::move(aPayload);
  return frame;
}

bool WaitUntil(const std::function<bool()>& aCondition)
{
  const TimePoint deadline = Now() + seconds(10);
  while (!aCondition() && Now() < deadline) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  return aCondition();
}

// A transport that records received frames, echoes Relay calls, and answers
// Claim calls after 5 s.
class Node
{
public:
  explicit Node(FrameTransportSettings aSettings)
    : pool_(2)
    , transport_(std::move(aSettings), pool_)
  {
    transport_.OnFrame(
      FrameKind::Membership, [this](const InstanceId& aFrom, Frame aFrame) {
        const std::lock_guard lock(mutex_);
        received_.push_back(aFrom.Value() + ":" + aFrame.payload_);
      });
    transport_.OnCall(
      FrameKind::Relay,
      [](const InstanceId&, Frame aFrame) -> asio::awaitable<Frame> {
        co_return MakeFrame(FrameKind::RelayReply, aFrame.payload_ + "!");
      });
    transport_.OnCall(FrameKind::Command,
                      [](const InstanceId&, Frame) -> asio::awaitable<Frame> {
                        asio::steady_timer timer(
                          co_await asio::this_coro::executor, seconds(5));
                        co_await timer.async_wait(asio::use_awaitable);
                        co_return MakeFrame(FrameKind::CommandReply, "late");
                      });
    startStatus_ = transport_.Start();
    pool_.Start();
  }

  ~Node()
  {
    transport_.Stop();
    pool_.Stop();
  }

  std::vector<std::string> Received()
  {
    const std::lock_guard lock(mutex_);
    return received_;
  }

  absl::StatusOr<Frame> Call(uint16_t aPort,
                             FrameKind aKind,
                             std::string aPayload,
                             milliseconds aTimeout)
  {
    return asio::co_spawn(pool_.Context(0),
                          transport_.Call(EndpointOf(aPort),
                                          MakeFrame(aKind, std::move(aPayload)),
                                          aTimeout),
                          asio::use_future)
      .get();
  }

  WorkerPool pool_;
  FrameTransport transport_;
  absl::Status startStatus_;

private:
  std::mutex mutex_;
  std::vector<std::string> received_;
};

// A peer whose protocol steps are sent one by one, so that a test can violate
// the protocol at any step.
class RawPeer
{
public:
  explicit RawPeer(uint16_t aPort)
    : socket_(context_)
  {
    socket_.connect(EndpointOf(aPort));
    const auto nonce = MakeNonce();
    REQUIRE(nonce.ok());
    own_ = { *nonce, InstanceId("raw") };
  }

  void Write(const std::string& aBytes)
  {
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(aBytes), ignored);
  }

  std::string Read(size_t aCount)
  {
    std::string bytes(aCount, '\0');
    boost::system::error_code error;
    const size_t count = asio::read(socket_, asio::buffer(bytes), error);
    bytes.resize(count);
    return bytes;
  }

  std::string Hello() const { return EncodeHello(own_); }

  // Reads the acceptor's hello and proof, and returns the dialer's proof for
  // @p aKey.
  std::string ReadProofAndMakeOwn(const std::string& aKey)
  {
    const std::string start = Read(kHelloFixedBytes);
    const auto length = DecodeHelloStart(start, peer_.nonce_);
    REQUIRE(length.ok());
    peer_.instance_ = InstanceId(Read(*length));
    Read(kProofBytes);
    const auto proof = MakeProof(aKey, HandshakeRole::Dialer, own_, peer_);
    return { proof.begin(), proof.end() };
  }

  // Blocks until the other end closes the connection.
  bool IsClosedByPeer()
  {
    boost::system::error_code error;
    std::array<char, 256> bytes{};
    while (!error) {
      socket_.read_some(asio::buffer(bytes), error);
    }
    return true;
  }

  void Shutdown() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }

private:
  asio::io_context context_;
  asio::ip::tcp::socket socket_;
  HandshakeHello own_;
  HandshakeHello peer_;
};

std::string MembershipBytes(const std::string& aText)
{
  return EncodeFrame(static_cast<uint8_t>(FrameKind::Membership), 0, aText);
}

} // namespace

TEST_CASE("enum tables of the transport are in enumerator order")
{
  CHECK(IsEnumTableOrdered<FrameKind>());
  CHECK(IsEnumTableOrdered<HandshakeRole>());
}

TEST_CASE("frames are parsed from a stream received in chunks of any size")
{
  const bool isKept =
    rc::check([](const std::vector<std::string>& aPayloads, uint8_t aStep) {
      std::string stream;
      for (size_t i = 0; i < aPayloads.size(); ++i) {
        stream += EncodeFrame(static_cast<uint8_t>(i % 10), i, aPayloads[i]);
      }
      FrameParser parser(1 << 20);
      std::vector<std::string> parsed;
      const size_t step = size_t{ aStep } + 1;
      for (size_t at = 0; at < stream.size(); at += step) {
        const size_t count = std::min(step, stream.size() - at);
        const auto space = parser.Prepare();
        std::memcpy(space.data(), stream.data() + at, count);
        parser.Commit(count);
        WireFrame frame;
        while (*parser.Next(frame)) {
          RC_ASSERT(frame.correlation_ == parsed.size());
          parsed.push_back(frame.payload_);
        }
      }
      RC_ASSERT(parsed == aPayloads);
    });
  CHECK(isKept);
}

TEST_CASE("a proof is valid for one role, one key and one pair of hellos only")
{
  const HandshakeHello dialer{ *MakeNonce(), InstanceId("a") };
  const HandshakeHello acceptor{ *MakeNonce(), InstanceId("b") };
  const HandshakeHello other{ *MakeNonce(), InstanceId("a") };
  const HandshakeHello renamed{ dialer.nonce_, InstanceId("c") };
  const auto proof = MakeProof(kKey, HandshakeRole::Dialer, dialer, acceptor);
  CHECK(IsSameProof(proof,
                    MakeProof(kKey, HandshakeRole::Dialer, dialer, acceptor)));
  CHECK(!IsSameProof(
    proof, MakeProof(kKey, HandshakeRole::Acceptor, dialer, acceptor)));
  CHECK(!IsSameProof(
    proof, MakeProof("other", HandshakeRole::Dialer, dialer, acceptor)));
  CHECK(!IsSameProof(proof,
                     MakeProof(kKey, HandshakeRole::Dialer, other, acceptor)));
  CHECK(!IsSameProof(
    proof, MakeProof(kKey, HandshakeRole::Dialer, renamed, acceptor)));
  CHECK(!IsSameProof(proof,
                     MakeProof(kKey, HandshakeRole::Dialer, acceptor, dialer)));
}

TEST_CASE("frames are received in order and replies are matched to calls")
{
  Node a(SettingsOf("a"));
  Node b(SettingsOf("b"));
  std::vector<std::string> expected;
  for (int i = 0; i < 500; ++i) {
    a.transport_.Send(EndpointOf(b.transport_.Port()),
                      MakeFrame(FrameKind::Membership, std::to_string(i)));
    expected.push_back("a:" + std::to_string(i));
  }
  CHECK(WaitUntil([&] { return b.Received().size() == expected.size(); }));
  CHECK(b.Received() == expected);
  CHECK(b.transport_.BytesReceived(FrameKind::Membership) ==
        a.transport_.BytesSent(FrameKind::Membership));
  for (const char* text : { "x", "y" }) {
    const auto reply =
      a.Call(b.transport_.Port(), FrameKind::Relay, text, seconds(5));
    REQUIRE(reply.ok());
    CHECK(reply->payload_ == std::string(text) + "!");
  }
}

TEST_CASE("the error of a failed call states whether the frame was sent")
{
  Node a(SettingsOf("a"));
  Node b(SettingsOf("b"));
  Node foreign(SettingsOf("c", "another key"));
  uint16_t closedPort = 0;
  {
    const Node gone(SettingsOf("gone"));
    closedPort = gone.transport_.Port();
  }
  struct Row
  {
    const char* name_;
    uint16_t port_;
    FrameKind kind_;
    ErrorKind expected_;
  };
  const Row rows[] = {
    { "no listener on the port",
      closedPort,
      FrameKind::Relay,
      ErrorKind::Unavailable },
    { "the peer has another key",
      foreign.transport_.Port(),
      FrameKind::Relay,
      ErrorKind::Unavailable },
    { "the reply arrives after the deadline",
      b.transport_.Port(),
      FrameKind::Command,
      ErrorKind::DeadlineExceeded },
    { "the peer has no handler",
      b.transport_.Port(),
      FrameKind::DocumentRead,
      ErrorKind::DeadlineExceeded },
  };
  for (const Row& row : rows) {
    INFO(std::string(row.name_));
    const auto reply = a.Call(row.port_, row.kind_, "x", milliseconds(900));
    REQUIRE(!reply.ok());
    CHECK(KindOf(reply.status()) == row.expected_);
  }
  CHECK(foreign.Received().empty());
  CHECK(a.transport_.HandshakesRefused() +
          foreign.transport_.HandshakesRefused() >
        0);
}

TEST_CASE("a transport without a deployment key or a name does not start")
{
  CHECK(KindOf(Node(SettingsOf("a", "")).startStatus_) ==
        ErrorKind::InvalidSettings);
  CHECK(KindOf(Node(SettingsOf("")).startStatus_) ==
        ErrorKind::InvalidSettings);
}

TEST_CASE(
  "connections that violate the protocol are closed, and their frames are "
  "not accepted")
{
  Node node(SettingsOf("node"));
  const uint16_t port = node.transport_.Port();
  struct Row
  {
    const char* name_;
    std::function<void(RawPeer&)> attack_;
  };
  const Row rows[] = {
    { "invalid bytes",
      [](RawPeer& aPeer) { aPeer.Write(std::string(4096, '\xAB')); } },
    { "no bytes at all", [](RawPeer&) {} },
    { "a truncated hello",
      [](RawPeer& aPeer) {
        aPeer.Write(aPeer.Hello().substr(0, 20));
        aPeer.Shutdown();
      } },
    { "a frame in place of the proof",
      [](RawPeer& aPeer) {
        aPeer.Write(aPeer.Hello());
        aPeer.ReadProofAndMakeOwn(kKey);
        aPeer.Write(MembershipBytes(std::string(64, 'x')));
      } },
    { "a proof made with another key",
      [](RawPeer& aPeer) {
        aPeer.Write(aPeer.Hello());
        const std::string proof = aPeer.ReadProofAndMakeOwn("another key");
        aPeer.Write(proof + MembershipBytes("x"));
      } },
    { "a hello without a proof",
      [](RawPeer& aPeer) { aPeer.Write(aPeer.Hello()); } },
    { "an oversized length after the proof",
      [](RawPeer& aPeer) {
        aPeer.Write(aPeer.Hello());
        aPeer.Write(aPeer.ReadProofAndMakeOwn(kKey));
        aPeer.Write(std::string("\xFF\xFF\xFF\x7F", 4));
      } },
    { "a length shorter than the header",
      [](RawPeer& aPeer) {
        aPeer.Write(aPeer.Hello());
        aPeer.Write(aPeer.ReadProofAndMakeOwn(kKey));
        aPeer.Write(std::string(4, '\0'));
      } },
    { "an unknown kind",
      [](RawPeer& aPeer) {
        aPeer.Write(aPeer.Hello());
        aPeer.Write(aPeer.ReadProofAndMakeOwn(kKey));
        aPeer.Write(EncodeFrame(99, 0, "x"));
      } },
    { "a truncated frame",
      [](RawPeer& aPeer) {
        aPeer.Write(aPeer.Hello());
        aPeer.Write(aPeer.ReadProofAndMakeOwn(kKey));
        aPeer.Write(MembershipBytes("xxxx").substr(0, 14));
        aPeer.Shutdown();
      } },
  };
  for (const Row& row : rows) {
    INFO(std::string(row.name_));
    RawPeer peer(port);
    row.attack_(peer);
    CHECK(peer.IsClosedByPeer());
    CHECK(node.Received().empty());
  }

  SUBCASE("a valid peer is still accepted, and its replayed proof is not")
  {
    RawPeer good(port);
    const std::string hello = good.Hello();
    good.Write(hello);
    const std::string proof = good.ReadProofAndMakeOwn(kKey);
    good.Write(proof + MembershipBytes("good"));
    CHECK(WaitUntil([&] { return node.Received().size() == 1; }));
    CHECK(node.Received() == std::vector<std::string>{ "raw:good" });

    RawPeer replay(port);
    replay.Write(hello + proof + MembershipBytes("replayed"));
    CHECK(replay.IsClosedByPeer());
    CHECK(node.Received().size() == 1);
  }
}

namespace {

// Accepts one connection and proves the key, then neither reads nor writes.
void AcceptThenStopResponding(asio::ip::tcp::acceptor& aAcceptor,
                              asio::ip::tcp::socket& aSocket)
{
  aAcceptor.accept(aSocket);
  std::string start(kHelloFixedBytes, '\0');
  asio::read(aSocket, asio::buffer(start));
  HandshakeHello dialer;
  const auto length = DecodeHelloStart(start, dialer.nonce_);
  std::string name(*length, '\0');
  asio::read(aSocket, asio::buffer(name));
  dialer.instance_ = InstanceId(name);
  const HandshakeHello own{ *MakeNonce(), InstanceId("silent") };
  const auto proof = MakeProof(kKey, HandshakeRole::Acceptor, dialer, own);
  asio::write(
    aSocket,
    asio::buffer(EncodeHello(own) + std::string(proof.begin(), proof.end())));
}

} // namespace

TEST_CASE("a peer that stops responding is detected before the call's deadline")
{
  Node a(SettingsOf("a"));
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context, EndpointOf(0));
  asio::ip::tcp::socket socket(context);
  std::thread silent([&] { AcceptThenStopResponding(acceptor, socket); });
  const auto reply = a.Call(
    acceptor.local_endpoint().port(), FrameKind::Relay, "x", seconds(60));
  silent.join();
  REQUIRE(!reply.ok());
  CHECK(KindOf(reply.status()) == ErrorKind::Protocol);
}

TEST_CASE("frames beyond the queue limit are dropped and counted")
{
  FrameTransportSettings settings = SettingsOf("a");
  settings.maxQueuedBytes_ = 64 * 1024;
  Node a(settings);
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context, EndpointOf(0));
  asio::ip::tcp::socket socket(context);
  std::thread silent([&] { AcceptThenStopResponding(acceptor, socket); });
  for (int i = 0; i < 2000; ++i) {
    a.transport_.Send(
      EndpointOf(acceptor.local_endpoint().port()),
      MakeFrame(FrameKind::Membership, std::string(32 * 1024, 'x')));
  }
  silent.join();
  CHECK(WaitUntil([&] { return a.transport_.FramesDropped() > 0; }));
}

TEST_CASE(
  "a restarted peer is reconnected, and a stopped transport sends nothing")
{
  Node a(SettingsOf("a"));
  uint16_t port = 0;
  {
    Node b(SettingsOf("b"));
    port = b.transport_.Port();
    CHECK(a.Call(port, FrameKind::Relay, "x", seconds(5)).ok());
  }
  CHECK(!a.Call(port, FrameKind::Relay, "x", milliseconds(300)).ok());
  FrameTransportSettings settings = SettingsOf("b");
  settings.port_ = port;
  Node restarted(settings);
  REQUIRE(restarted.startStatus_.ok());
  CHECK(WaitUntil(
    [&] { return a.Call(port, FrameKind::Relay, "x", seconds(5)).ok(); }));
  a.transport_.Stop();
  CHECK(
    KindOf(a.Call(port, FrameKind::Relay, "x", milliseconds(300)).status()) ==
    ErrorKind::Unavailable);
}
