#include "standin/StandinConnection.h"

#include "standin/StandinServer.h"

#include <boost/asio/write.hpp>

namespace foxtail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

StandinConnection::StandinConnection(StandinServer& aServer,
                                     asio::ip::tcp::socket aSocket)
  : timer_(aSocket.get_executor())
  , server_(aServer)
  , socket_(std::move(aSocket))
{
}

void StandinConnection::Start(milliseconds aConnectCost)
{
  openedAt_ = Now();
  connectCost_ = aConnectCost;
  if (aConnectCost == milliseconds::zero()) {
    Read();
    return;
  }
  timer_.expires_after(aConnectCost);
  timer_.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError && !self->isClosed_) {
      self->Read();
    }
  });
}

void StandinConnection::Read()
{
  socket_.async_read_some(
    asio::buffer(chunk_),
    [self = shared_from_this()](const error_code& aError, size_t aCount) {
      if (aError) {
        self->Close();
        return;
      }
      self->OnRead(aCount);
    });
}

void StandinConnection::OnRead(size_t aCount)
{
  if (isClosed_) {
    return;
  }
  pending_.append(chunk_.data(), aCount);
  if (isBusy_) {
    // The contract allows one request at a time on a connection.
    ++server_.Stats().contractFaults_;
    Close();
    return;
  }
  if (Parse() && !isClosed_) {
    Read();
  }
}

bool StandinConnection::Parse()
{
  if (!parser_) {
    parser_.emplace();
    parser_->eager(true);
  }
  error_code error;
  const size_t used = parser_->put(asio::buffer(pending_), error);
  pending_.erase(0, used);
  if (error == http::error::need_more) {
    return true;
  }
  if (error) {
    ++server_.Stats().contractFaults_;
    Close();
    return false;
  }
  if (!parser_->is_done()) {
    return true;
  }
  HttpRequest request = parser_->release();
  parser_.reset();
  isBusy_ = true;
  OnRequest(std::move(request));
  return true;
}

void StandinConnection::OnRequest(HttpRequest aRequest)
{
  const std::string_view path = PathOf(aRequest);
  if (path == "/v1/health") {
    Respond(server_.HealthResponse());
  } else if (path == "/v1/load") {
    Respond(server_.LoadResponse());
  } else if (path == "/v1/cancel") {
    server_.CancelAttempt(HeaderOf(aRequest, "Foxtail-Attempt"));
    Respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  } else if (path == "/v1/shard") {
    // A connection that was opened for this very request made it wait.
    const TimePoint now = Now();
    constexpr milliseconds kMargin{ 2 };
    if (isFirst_ && now - openedAt_ < connectCost_ + kMargin) {
      ++server_.Stats().requestPathConnects_;
    }
    isFirst_ = false;
    auto request = ShardRequest::Parse(std::move(aRequest), now);
    if (!request) {
      ++server_.Stats().contractFaults_;
      Respond("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    request_ = std::move(*request);
    server_.Receive(shared_from_this(), now);
  } else {
    Respond("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  }
}

void StandinConnection::Respond(std::string aBytes, size_t aCutBytes)
{
  if (isClosed_) {
    return;
  }
  state_ = JobState::None;
  output_ = std::move(aBytes);
  output_.erase(output_.size() - aCutBytes);
  // The peer may send its next request before the write's handler has run.
  isBusy_ = false;
  asio::async_write(
    socket_,
    asio::buffer(output_),
    [self = shared_from_this(), aCutBytes](const error_code& aError, size_t) {
      if (aError || aCutBytes > 0) {
        self->Close();
      }
    });
}

void StandinConnection::Close()
{
  if (isClosed_) {
    return;
  }
  isClosed_ = true;
  error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  server_.OnClosed(shared_from_this());
}

} // namespace foxtail
