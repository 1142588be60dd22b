#include "forward/CallerConnection.h"

#include "core/Log.h"
#include "forward/HopByHop.h"
#include "forward/RequestFingerprint.h"

#include <algorithm>
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
constexpr size_t kMaxPipelinedBytes = 16 * 1024;
/// Memory that an open connection holds in any case.
constexpr size_t kConnectionBytes = 2048;
/// Capacity of the buffers that an idle connection keeps.
constexpr size_t kKeptBytes = 8 * 1024;
/// Time in which the first request of a new connection arrives: several round
/// trips between regions.
constexpr milliseconds kFirstRequestTime{ 200 };
/// Longest time limit that a caller may state.
constexpr milliseconds kMaxDeadline{ 600000 };

/// @return the capacity of @p aBuffer once it has room for the next read. Its
/// growth doubles what it holds.
size_t CapacityAfterRead(const boost::beast::flat_buffer& aBuffer)
{
  return std::max(
    { aBuffer.capacity(), 2 * aBuffer.size(), aBuffer.size() + kReadBytes });
}

std::string_view ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string_view ToView(const boost::beast::flat_buffer& aBuffer)
{
  const auto bytes = aBuffer.data();
  return { static_cast<const char*>(bytes.data()), bytes.size() };
}

} // namespace

CallerConnection::CallerConnection(Socket aSocket, CallerPort& aPort)
  : socket_(std::move(aSocket))
  , port_(aPort)
  , charge_(aPort.settings_.peerBytes_)
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
    port_.slowRequests_.Increment();
    Refuse(static_cast<unsigned>(http::status::request_timeout),
           "the request took too long to arrive; send it at once");
  } else if (phase_ == Phase::Writing) {
    const milliseconds extension(output_.size() * 1000 /
                                 port_.settings_.minWriteBytesPerSecond_);
    if (aNow - phaseSince_ > port_.settings_.writeTimeout_ + extension) {
      port_.slowReaders_.Increment();
      LogLine(LogLevel::Info, "answer_read_too_slowly")
        .Add("bytes", output_.size());
      Close();
    }
  }
}

void CallerConnection::Evict()
{
  if (phase_ != Phase::Reading) {
    Close();
    return;
  }
  Refuse(static_cast<unsigned>(http::status::service_unavailable),
         "this instance is short of memory and closes the slowest connections; "
         "send the request at once, on a new connection");
}

ConnectionProgress CallerConnection::Progress(size_t aIndex,
                                              TimePoint aNow) const
{
  return { aIndex,
           charge_.Bytes(),
           progress_.Bytes(aNow),
           phaseSince_,
           phase_ == Phase::Running };
}

size_t CallerConnection::HeldBytes() const
{
  return kConnectionBytes + CapacityAfterRead(buffer_) + requestBytes_ +
         output_.capacity();
}

bool CallerConnection::Reserve(TimePoint aNow)
{
  if (port_.Reserve(*this, HeldBytes(), aNow)) {
    return true;
  }
  if (phase_ == Phase::Running || phase_ == Phase::Writing) {
    return false;
  }
  port_.budgetRefusals_.Increment();
  if (phase_ == Phase::Idle) {
    Close();
  } else {
    Evict();
  }
  return false;
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
  isHeaderChecked_ = false;
  refusal_.reset();
  requestBytes_ = 0;
  headerCost_ = HeaderCost();
}

void CallerConnection::Read()
{
  const size_t maxBytes =
    std::max<size_t>(kMaxPipelinedBytes, port_.Limits().maxHeaderBytes_);
  if (isReading_ || phase_ == Phase::Closed || buffer_.size() > maxBytes ||
      !Reserve(Now())) {
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
  progress_.Add(aBytes, now);
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
  if (!ParseBuffer(aNow)) {
    return;
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

bool CallerConnection::ParseBuffer(TimePoint aNow)
{
  while (buffer_.size() > 0 && !parser_->is_done()) {
    const bool isInHeader = !parser_->is_header_done();
    if (isInHeader) {
      headerCost_.BeforeParse(ToView(buffer_));
      requestBytes_ = headerCost_.Bytes();
      if (!Reserve(aNow)) {
        return false;
      }
    }
    Error error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (isInHeader) {
      headerCost_.AfterParse(ToView(buffer_));
    }
    if (parser_->is_header_done()) {
      DiscardUnusedBody(aNow);
      const std::string& body = parser_->get().body();
      requestBytes_ =
        headerCost_.Bytes() +
        (parser_->content_length() ? body.size() : body.capacity());
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      OnParseError(error);
      return false;
    }
  }
  return true;
}

void CallerConnection::DiscardUnusedBody(TimePoint aNow)
{
  if (!isHeaderChecked_) {
    isHeaderChecked_ = true;
    const auto& message = parser_->get();
    if (!parser_->is_done()) {
      refusal_ = port_.gateway_.RefusalWithoutRoute(
        ToView(message[http::field::host]), ToView(message.target()), aNow);
    }
    if (refusal_) {
      port_.discardedBodies_.Increment();
    }
  }
  if (refusal_) {
    std::string().swap(parser_->get().body());
  }
}

void CallerConnection::OnParseError(const Error& aError)
{
  if (aError == http::error::body_limit ||
      aError == http::error::header_limit) {
    port_.oversizedRequests_.Increment();
  }
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
  if (refusal_) {
    const ForwardAnswer refusal = *std::exchange(refusal_, std::nullopt);
    SendAnswer(refusal);
    return;
  }
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
  requestBytes_ = 0;
  const TimePoint now = Now();
  SetPhase(Phase::Writing, now);
  // The request may have run, so its answer is written in any case.
  charge_.Resize(HeldBytes());
  Write();
}

void CallerConnection::Refuse(unsigned aStatus, std::string_view aReason)
{
  LogLine(LogLevel::Info, "request_refused_unread")
    .Add("status", aStatus)
    .Add("reason", aReason);
  mustClose_ = true;
  // Releases what has arrived of the request.
  StartParser();
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
  if (output_.capacity() > kKeptBytes) {
    std::string().swap(output_);
  }
  if (buffer_.size() == 0 && !isReading_ && buffer_.capacity() > kKeptBytes) {
    buffer_.shrink_to_fit();
  }
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
