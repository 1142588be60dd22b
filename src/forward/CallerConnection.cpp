#include "forward/CallerConnection.h"

#include "core/Log.h"
#include "forward/HopByHop.h"
#include "forward/RequestFingerprint.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace foxtail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadBytes = 4096;
/// Maximum buffered bytes of pipelined requests while one is in progress.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;
/// Time in which the first request of a new connection arrives: several round
/// trips between regions.
constexpr milliseconds kFirstRequestTime{ 200 };
/// Longest time limit that a caller may state.
constexpr milliseconds kMaxDeadline{ 600000 };

std::string_view ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

CallerConnection::CallerConnection(Socket aSocket, CallerPort& aPort)
  : socket_(std::move(aSocket))
  , port_(aPort)
{
}

void CallerConnection::Start(TimePoint aNow)
{
  Error ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  SetPhase(Phase::Idle, aNow);
  StartParser();
  Read();
}

void CallerConnection::CloseIfTimedOut(const CallerLimits& aLimits,
                                       TimePoint aNow)
{
  if (phase_ == Phase::Idle && aNow - phaseSince_ > aLimits.idleTimeout_) {
    Close();
  } else if (phase_ == Phase::Reading &&
             aNow - phaseSince_ > aLimits.headerTimeout_) {
    Refuse(static_cast<unsigned>(http::status::request_timeout),
           "the request took too long to arrive; send it at once");
  }
}

void CallerConnection::CloseIfUnused(TimePoint aNow)
{
  Error error;
  const bool hasUnreadBytes = socket_.available(error) > 0;
  const bool isNew = isFirstRequest_ && aNow - phaseSince_ < kFirstRequestTime;
  if (phase_ == Phase::Idle && !isNew && (error || !hasUnreadBytes)) {
    Close();
  }
}

void CallerConnection::LimitAnswerTime(TimePoint aAnswerBy, TimePoint aNow)
{
  if (handler_ != nullptr) {
    handler_->LimitAnswerTime(aAnswerBy, aNow);
  }
}

void CallerConnection::RefuseIfIncomplete()
{
  if (phase_ == Phase::Reading) {
    Refuse(static_cast<unsigned>(http::status::service_unavailable),
           "this instance is stopping, and the request has not arrived in "
           "full; send it again on a new connection");
  }
}

void CallerConnection::StartParser()
{
  const CallerLimits limits = port_.Limits();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(limits.maxHeaderBytes_);
  parser_->body_limit(limits.maxBodyBytes_);
  isContinueSent_ = false;
}

void CallerConnection::Read()
{
  if (isReading_ || phase_ == Phase::Closed ||
      buffer_.size() > kMaxPipelinedBytes) {
    return;
  }
  isReading_ = true;
  socket_.async_read_some(
    buffer_.prepare(kReadBytes),
    [self = shared_from_this()](const Error& aError, size_t aBytes) {
      self->isReading_ = false;
      self->OnRead(aError, aBytes);
    });
}

void CallerConnection::OnRead(const Error& aError, size_t aBytes)
{
  if (phase_ == Phase::Closed) {
    return;
  }
  const TimePoint now = Now();
  if (aError) {
    OnCallerDisconnected(now);
    return;
  }
  buffer_.commit(aBytes);
  if (phase_ == Phase::Idle || phase_ == Phase::Reading) {
    Parse(now);
  }
  Read();
}

void CallerConnection::Parse(TimePoint aNow)
{
  if (phase_ == Phase::Idle && buffer_.size() > 0) {
    SetPhase(Phase::Reading, aNow);
  }
  while (buffer_.size() > 0 && !parser_->is_done()) {
    Error error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      OnParseError(error);
      return;
    }
  }
  if (parser_->is_done()) {
    OnRequest(aNow);
    return;
  }
  const bool wantsContinue =
    parser_->is_header_done() && !isContinueSent_ &&
    parser_->get().find(http::field::expect) != parser_->get().end();
  if (wantsContinue) {
    isContinueSent_ = true;
    Error ignored;
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    socket_.write_some(asio::buffer(kContinue), ignored);
  }
}

void CallerConnection::OnParseError(const Error& aError)
{
  if (aError == http::error::body_limit) {
    Refuse(static_cast<unsigned>(http::status::payload_too_large),
           "the body is too large; send a smaller one");
  } else if (aError == http::error::header_limit) {
    Refuse(static_cast<unsigned>(http::status::request_header_fields_too_large),
           "the header is too large; send a smaller one");
  } else {
    Refuse(static_cast<unsigned>(http::status::bad_request),
           "the request is malformed (" + aError.message() +
             "); send HTTP/1.1");
  }
}

ForwardRequest CallerConnection::ReleaseRequest(TimePoint aNow)
{
  const HeaderNames& headerNames = port_.gateway_.Headers();
  auto message = parser_->release();
  ForwardRequest request;
  request.method_ = ToView(message.method_string());
  request.target_ = ToView(message.target());
  request.host_ = ToView(message[http::field::host]);
  request.id_ = RequestId(std::string(ToView(message[headerNames.requestId_])));
  request.isHead_ = message.method() == http::verb::head;
  request.hasBody_ = message.has_content_length() || message.chunked();
  const std::array<std::string, 2> ownHeaders{ headerNames.timeLeftMs_,
                                               headerNames.expectedServer_ };
  AppendEndToEndHeaders(request.headers_, message.base(), ownHeaders);
  request.body_ = std::move(message.body());
  request.credentials_ = ToView(message[http::field::authorization]);
  request.fingerprint_ = FingerprintOf(request);
  request.startedAt_ = aNow;
  const Duration roundTrip = RoundTrip();
  request.returnDelay_ = roundTrip / 2;
  // Before its first request, a caller also waited one round trip for the
  // connect.
  request.callerStartedAt_ =
    aNow - (isFirstRequest_ ? roundTrip + roundTrip / 2 : roundTrip / 2);
  isFirstRequest_ = false;
  int64_t timeLeftMs = port_.gateway_.Settings().defaultDeadline_.count();
  const std::string_view text = ToView(message[headerNames.timeLeftMs_]);
  int64_t statedMs = 0;
  if (std::from_chars(text.data(), text.data() + text.size(), statedMs).ec ==
      std::errc()) {
    timeLeftMs = std::clamp<int64_t>(statedMs, 1, kMaxDeadline.count());
  }
  const Duration readDelay = port_.gateway_.PossibleReadDelay(aNow);
  request.callerStartedAt_ -= readDelay;
  request.deadline_ = aNow + milliseconds(timeLeftMs) - readDelay;
  mustClose_ = !message.keep_alive();
  isHead_ = request.isHead_;
  return request;
}

Duration CallerConnection::RoundTrip()
{
  tcp_info info{};
  socklen_t length = sizeof(info);
  const int failed = ::getsockopt(
    socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
  // Without a measurement, only AnswerTimingSettings::margin_ covers the
  // transit time.
  return failed != 0 ? Duration::zero() : Duration(microseconds(info.tcpi_rtt));
}

void CallerConnection::OnRequest(TimePoint aNow)
{
  SetPhase(Phase::Running, aNow);
  ++port_.requestsInFlight_;
  port_.requestsTotal_.Increment();
  ForwardRequest request = ReleaseRequest(aNow);
  if (request.deadline_ <= aNow) {
    LogLine(LogLevel::Warning, "request_read_too_late")
      .Add("request", request.id_)
      .Add("possible_delay_ms",
           ToMilliseconds(port_.gateway_.PossibleReadDelay(aNow)));
    SendAnswer(MakeLocalAnswer(
      AnswerSource::NotRun,
      static_cast<unsigned>(http::status::service_unavailable),
      "this instance was paused and may have read the request after its time "
      "limit; try again",
      port_.gateway_.Settings().retryAfter_));
    return;
  }
  auto handler = port_.gateway_.Begin(
    std::move(request),
    [weak = weak_from_this()](const ForwardAnswer& aAnswer) {
      if (const auto self = weak.lock()) {
        self->SendAnswer(aAnswer);
      }
    },
    aNow);
  if (phase_ == Phase::Running) {
    handler_ = std::move(handler);
  }
}

void CallerConnection::SendAnswer(const ForwardAnswer& aAnswer)
{
  if (phase_ != Phase::Running) {
    return;
  }
  handler_ = nullptr;
  --port_.requestsInFlight_;
  if (port_.isDraining_) {
    mustClose_ = true;
  }
  const auto reason =
    http::obsolete_reason(static_cast<http::status>(aAnswer.status_));
  output_ = "HTTP/1.1 " + std::to_string(aAnswer.status_) + " ";
  output_.append(reason.data(), reason.size());
  output_ += "\r\n" + aAnswer.headers_;
  const bool hasNoBody = aAnswer.status_ == 204 || aAnswer.status_ == 304;
  if (!hasNoBody && !isHead_) {
    output_ +=
      "Content-Length: " + std::to_string(aAnswer.body_.size()) + "\r\n";
  }
  if (mustClose_) {
    output_ += "Connection: close\r\n";
  }
  output_ += "\r\n";
  if (!hasNoBody && !isHead_) {
    output_ += aAnswer.body_;
  }
  SetPhase(Phase::Writing, Now());
  Write();
}

void CallerConnection::Refuse(unsigned aStatus, std::string_view aReason)
{
  LogLine(LogLevel::Info, "request_refused_unread")
    .Add("status", aStatus)
    .Add("reason", aReason);
  mustClose_ = true;
  SetPhase(Phase::Running, Now());
  ++port_.requestsInFlight_;
  SendAnswer(MakeLocalAnswer(AnswerSource::NotRun, aStatus, aReason));
}

void CallerConnection::Write()
{
  Error error;
  const size_t written = socket_.write_some(asio::buffer(output_), error);
  if (error && error != asio::error::would_block) {
    Close();
    return;
  }
  const size_t sent = error ? 0 : written;
  if (sent == output_.size()) {
    // Posted, so that pipelined requests on one connection do not recurse.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->OnWritten({}); });
    return;
  }
  asio::async_write(socket_,
                    asio::buffer(output_.data() + sent, output_.size() - sent),
                    [self = shared_from_this()](const Error& aError, size_t) {
                      self->OnWritten(aError);
                    });
}

void CallerConnection::OnWritten(const Error& aError)
{
  if (phase_ != Phase::Writing) {
    return;
  }
  if (aError || mustClose_) {
    Close();
    return;
  }
  const TimePoint now = Now();
  output_.clear();
  SetPhase(Phase::Idle, now);
  StartParser();
  Parse(now);
  Read();
}

void CallerConnection::OnCallerDisconnected(TimePoint aNow)
{
  if (phase_ == Phase::Running) {
    port_.callerDisconnects_.Increment();
  }
  if (handler_ != nullptr) {
    handler_->OnCallerDisconnected(aNow);
  }
  Close();
}

void CallerConnection::Close()
{
  if (phase_ == Phase::Closed) {
    return;
  }
  if (phase_ == Phase::Running) {
    --port_.requestsInFlight_;
  }
  phase_ = Phase::Closed;
  handler_ = nullptr;
  Error ignored;
  socket_.shutdown(Socket::shutdown_both, ignored);
  socket_.close(ignored);
  port_.connections_.erase(shared_from_this());
}

void CallerConnection::SetPhase(Phase aPhase, TimePoint aNow)
{
  phase_ = aPhase;
  phaseSince_ = aNow;
}

} // namespace foxtail
