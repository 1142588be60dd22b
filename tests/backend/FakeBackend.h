#ifndef TESTS_BACKEND_FAKEBACKEND_H
#define TESTS_BACKEND_FAKEBACKEND_H

#include "core/Time.h"
#include "http/HttpTypes.h"
#include "policy/Announcement.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace foxtail {

/// What a fake backend server sends back, byte by byte as the test wants it.
struct FakeReply
{
  std::string bytes_;
  milliseconds delay_{ 0 };
  bool isClosedAfter_ = false;
  /// Keeps the connection open and never answers.
  bool isHanging_ = false;
  /// Sent after bytes_ again and again until the connection closes, if not
  /// empty.
  std::string endlessBytes_{};
};

/// The parts of a reply that follows the contract, to be changed by faults.
struct ReplyParts
{
  std::string status_ = "200 OK";
  std::string attempt_;
  std::string version_;
  std::string shard_;
  std::string extra_;
  std::string body_ = "{}";

  explicit ReplyParts(const HttpRequest& aRequest)
    : attempt_(HeaderOf(aRequest, "Foxtail-Attempt"))
    , version_(HeaderOf(aRequest, "Foxtail-Version"))
    , shard_(HeaderOf(aRequest, "Foxtail-Shard"))
  {
  }

  std::string Text() const
  {
    return "HTTP/1.1 " + status_ + "\r\nFoxtail-Attempt: " + attempt_ +
           "\r\nFoxtail-Version: " + version_ + "\r\nFoxtail-Shard: " + shard_ +
           "\r\n" + extra_ + "Content-Length: " + std::to_string(body_.size()) +
           "\r\n\r\n" + body_;
  }
};

inline FakeReply RefusedNotRun(const HttpRequest& aRequest,
                               const std::string& aReason)
{
  ReplyParts parts(aRequest);
  parts.status_ = "503 Service Unavailable";
  parts.extra_ =
    "Foxtail-Outcome: not_run\r\nFoxtail-Reason: " + aReason + "\r\n";
  return { parts.Text(), {}, false, false };
}

/// A backend server on a loopback port, on a thread of its own, whose replies
/// a function makes.
class FakeBackend
{
public:
  using Script = std::function<FakeReply(const HttpRequest&)>;

  explicit FakeBackend(Script aScript)
    : script_(std::move(aScript))
    , acceptor_(context_,
                TcpEndpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , port_(acceptor_.local_endpoint().port())
    , thread_([this] { Run(); })
  {
  }

  ~FakeBackend()
  {
    context_.stop();
    thread_.join();
  }

  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  /// Closes connections beyond @p aLimit as soon as they are accepted.
  void SetLimit(size_t aLimit) { limit_ = aLimit; }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// @return shard requests that were read; cancels are not counted.
  size_t Requests() const { return requests_; }
  size_t Cancels() const { return cancels_; }
  size_t Connections() const { return connections_; }
  size_t MostOpen() const { return mostOpen_; }
  /// @return bytes sent as FakeReply::endlessBytes_.
  size_t EndlessBytesSent() const { return endlessBytesSent_; }

private:
  void Run()
  {
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
    context_.run();
  }

  boost::asio::awaitable<void> Accept()
  {
    while (true) {
      auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(
        context_, Serve(std::move(socket)), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket)
  {
    ++connections_;
    if (open_ >= limit_) {
      co_return;
    }
    ++open_;
    mostOpen_ = std::max<size_t>(mostOpen_, open_);
    boost::beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen) {
      isOpen = co_await ServeOne(aSocket, buffer);
    }
    --open_;
  }

  boost::asio::awaitable<bool> ServeOne(boost::asio::ip::tcp::socket& aSocket,
                                        boost::beast::flat_buffer& aBuffer)
  {
    HttpRequest request;
    boost::system::error_code error;
    co_await boost::beast::http::async_read(
      aSocket,
      aBuffer,
      request,
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
      co_return false;
    }
    FakeReply reply;
    if (PathOf(request) == "/v1/cancel") {
      ++cancels_;
      reply.bytes_ = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    } else {
      ++requests_;
      reply = script_(request);
    }
    boost::asio::steady_timer timer(context_, reply.delay_);
    if (reply.isHanging_) {
      timer.expires_after(seconds(60));
    }
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_await boost::asio::async_write(
      aSocket,
      boost::asio::buffer(reply.bytes_),
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    while (!reply.endlessBytes_.empty() && !error) {
      endlessBytesSent_ += co_await boost::asio::async_write(
        aSocket,
        boost::asio::buffer(reply.endlessBytes_),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
    co_return !error && !reply.isClosedAfter_;
  }

  Script script_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  uint16_t port_;
  std::atomic<size_t> limit_{ SIZE_MAX };
  std::atomic<size_t> requests_{ 0 };
  std::atomic<size_t> cancels_{ 0 };
  std::atomic<size_t> connections_{ 0 };
  std::atomic<size_t> open_{ 0 };
  std::atomic<size_t> mostOpen_{ 0 };
  std::atomic<size_t> endlessBytesSent_{ 0 };
  std::thread thread_;
};

/// @return an announcement of a ready server of service "desk", catalogue
/// "packets", version 1, shard 0 of 1.
inline Announcement AnnouncementOf(const std::string& aServer,
                                   const std::string& aAddress)
{
  Announcement announcement;
  announcement.server_ = BackendId(aServer);
  announcement.incarnation_ = Incarnation(1);
  announcement.sequence_ = 1;
  announcement.service_ = ServiceName("desk");
  announcement.catalogue_ = CatalogueName("packets");
  announcement.version_ = IndexVersion(1);
  announcement.zone_ = ZoneName("hanoi");
  announcement.address_ = aAddress;
  announcement.slots_ = 8;
  announcement.connections_ = 8;
  announcement.state_ = BackendState::Ready;
  return announcement;
}

/// Waits until a condition holds.
/// @return whether it did within 10 s.
template<typename Condition>
bool WaitFor(Condition&& aCondition)
{
  const TimePoint end = Now() + seconds(10);
  while (!aCondition()) {
    if (Now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

} // namespace foxtail

#endif // TESTS_BACKEND_FAKEBACKEND_H
