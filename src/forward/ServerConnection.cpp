#include "forward/ServerConnection.h"

#include "core/ReplyStatus.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <cmath>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace foxtail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Bytes per read, enough for a usual reply; larger replies take several reads.
constexpr size_t kReadBytes = 4096;
/// Share of the keep-alive time stated by a server after which an idle
/// connection is no longer used, so that no request is sent while the server
/// closes it.
constexpr double kKeepAliveShare = 0.75;

/// Maximum informational (1xx) replies to one request.
constexpr uint32_t kMaxInformationalReplies = 8;

template<typename T>
bool ParseNumber(std::string_view& aText, T& aValue)
{
  while (!aText.empty() && (aText.front() == ',' || aText.front() == ' ')) {
    aText.remove_prefix(1);
  }
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aValue);
  if (error != std::errc()) {
    return false;
  }
  aText.remove_prefix(static_cast<size_t>(end - aText.data()));
  return true;
}

} // namespace

std::optional<ReportedServerLoad> ParseServerLoad(std::string_view aText)
{
  constexpr double kUsualSlownessPercent = 100;
  ReportedServerLoad load;
  if (!ParseNumber(aText, load.running_) ||
      !ParseNumber(aText, load.waiting_) || !ParseNumber(aText, load.slots_)) {
    return std::nullopt;
  }
  if (uint32_t slownessPercent = 0;
      ParseNumber(aText, slownessPercent) && slownessPercent > 0) {
    load.slowness_ = slownessPercent / kUsualSlownessPercent;
  }
  return load;
}

StatedRateLimit ParseRateLimit(std::string_view aText)
{
  StatedRateLimit limit;
  double perSecond = 0;
  if (ParseNumber(aText, perSecond) && aText.empty() &&
      std::isfinite(perSecond) && perSecond >= 0) {
    limit.perSecond_ = perSecond;
  } else {
    limit.isMalformed_ = true;
  }
  return limit;
}

ServerConnection::ServerConnection(asio::io_context& aContext,
                                   asio::ip::tcp::endpoint aEndpoint,
                                   std::string aServer,
                                   const ServerConnectionSettings& aSettings,
                                   const HeaderNames& aHeaderNames,
                                   ReplyMemory& aReplyMemory,
                                   ServerConnectionListener& aListener)
  : endpoint_(std::move(aEndpoint))
  , server_(std::move(aServer))
  , settings_(aSettings)
  , headerNames_(aHeaderNames)
  , listener_(&aListener)
  , socket_(aContext.get_executor())
  , idleLimit_(aSettings.idleTimeout_)
  , replyMemory_(aReplyMemory)
{
}

void ServerConnection::Connect(TimePoint aNow)
{
  SetState(ServerConnectionState::Connecting, aNow);
  socket_.async_connect(endpoint_,
                        [self = shared_from_this()](const Error& aError) {
                          self->OnConnected(aError);
                        });
}

void ServerConnection::OnConnected(const Error& aError)
{
  if (state_ != ServerConnectionState::Connecting) {
    return;
  }
  const TimePoint now = Now();
  if (aError) {
    Close(ExchangeFault::ConnectFailed, now);
    return;
  }
  connectTime_ = now - stateSince_;
  connectedAt_ = now;
  SetOptions();
  StartParser();
  SetState(ServerConnectionState::Idle, now);
  Read();
  listener_->OnConnectionOpen(*this, now);
}

void ServerConnection::SetOptions()
{
  Error ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const auto timeout =
    static_cast<unsigned int>(settings_.userTimeout_.count());
  ::setsockopt(socket_.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &timeout,
               sizeof(timeout));
}

void ServerConnection::StartParser()
{
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(settings_.maxReplyBytes_);
  parser_->header_limit(settings_.maxReplyHeaderBytes_);
  if (exchange_ != nullptr && exchange_->request_->isHead_) {
    parser_->skip(true);
  }
}

void ServerConnection::Send(std::shared_ptr<Exchange> aExchange, TimePoint aNow)
{
  exchange_ = std::move(aExchange);
  SetState(ServerConnectionState::Busy, aNow);
  const ForwardRequest& request = *exchange_->request_;
  lastRequestId_ = request.id_;
  ++requestsSent_;
  informationalReplies_ = 0;
  if (request.isHead_) {
    StartParser();
  }
  const std::string& headers =
    exchange_->headers_ ? *exchange_->headers_ : request.headers_;
  const auto timeLeftMs = std::max<int64_t>(
    1, duration_cast<milliseconds>(exchange_->deadline_ - aNow).count());
  output_.clear();
  written_ = 0;
  output_.reserve(request.method_.size() + request.target_.size() +
                  headers.size() + request.body_.size() + 256);
  output_ += request.method_;
  output_ += ' ';
  output_ += request.target_;
  output_ += " HTTP/1.1\r\n";
  output_ += headers;
  output_ +=
    headerNames_.timeLeftMs_ + ": " + std::to_string(timeLeftMs) + "\r\n";
  output_ += headerNames_.expectedServer_ + ": " + server_ + "\r\n";
  if (request.hasBody_) {
    output_ +=
      "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
  }
  output_ += "\r\n";
  output_ += request.body_;
  exchange_->sentAt_ = aNow;
  Error error;
  written_ = socket_.write_some(asio::buffer(output_), error);
  if (error && error != asio::error::would_block) {
    written_ = 0;
    // The listener must not be called from within Send(). The shutdown makes
    // the pending read fail, which reports the error.
    Error ignored;
    socket_.shutdown(Socket::shutdown_both, ignored);
    return;
  }
  if (written_ < output_.size()) {
    WriteRest();
  }
}

void ServerConnection::WriteRest()
{
  isWriting_ = true;
  asio::async_write(
    socket_,
    asio::buffer(output_.data() + written_, output_.size() - written_),
    [self = shared_from_this()](const Error& aError, size_t) {
      self->isWriting_ = false;
      if (aError && self->state_ == ServerConnectionState::Busy) {
        self->Close(ExchangeFault::Closed, Now());
      }
    });
}

void ServerConnection::Read()
{
  socket_.async_read_some(
    buffer_.prepare(kReadBytes),
    [self = shared_from_this()](const Error& aError, size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void ServerConnection::OnRead(const Error& aError, size_t aBytes)
{
  if (state_ == ServerConnectionState::Closed) {
    return;
  }
  const TimePoint now = Now();
  buffer_.commit(aBytes);
  if (aError) {
    OnReadError(aError, now);
    return;
  }
  hasRead_ = true;
  if (state_ != ServerConnectionState::Busy) {
    // No request is outstanding, so the bytes belong to none.
    Close(ExchangeFault::Malformed, now);
    return;
  }
  Parse(now);
  if (state_ == ServerConnectionState::Busy) {
    if (const auto fault = CheckReplySize(); fault != ExchangeFault::None) {
      Close(fault, now);
    }
  }
  if (state_ != ServerConnectionState::Closed) {
    Read();
  }
}

void ServerConnection::Parse(TimePoint aNow)
{
  while (buffer_.size() > 0 && !parser_->is_done()) {
    Error error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) {
      return;
    }
    if (error) {
      Close(error == http::error::body_limit ? ExchangeFault::TooLarge
                                             : ExchangeFault::Malformed,
            aNow);
      return;
    }
    if (!parser_->is_header_done()) {
      continue;
    }
    const ReplyStatusClass status = ClassifyStatus(parser_->get().result_int());
    if (status == ReplyStatusClass::Undefined) {
      Close(ExchangeFault::Malformed, aNow);
      return;
    }
    if (status == ReplyStatusClass::Informational) {
      if (++informationalReplies_ > kMaxInformationalReplies) {
        Close(ExchangeFault::Malformed, aNow);
        return;
      }
      StartParser();
    }
  }
  if (parser_->is_done()) {
    OnReply(aNow);
  }
}

ExchangeFault ServerConnection::CheckReplySize()
{
  // The parser takes the header and the body from the buffer as they arrive,
  // but leaves an incomplete chunk header or trailer there.
  if (buffer_.size() > settings_.maxReplyHeaderBytes_) {
    return ExchangeFault::Malformed;
  }
  const size_t bodyBytes = parser_->get().body().size();
  const bool isUnsized =
    parser_->is_header_done() && !parser_->content_length().has_value();
  if (isUnsized && bodyBytes > exchange_->maxUnsizedReplyBytes_) {
    return ExchangeFault::TooLarge;
  }
  return replyMemory_.Resize(heldReplyBytes_, bodyBytes + buffer_.size())
           ? ExchangeFault::None
           : ExchangeFault::TooLarge;
}

void ServerConnection::OnReadError(const Error& aError, TimePoint aNow)
{
  if (state_ == ServerConnectionState::Busy && aError == asio::error::eof &&
      parser_->is_header_done() && !parser_->is_done()) {
    // Only an orderly close (EOF) may complete a body without a length.
    Error error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      OnReply(aNow);
      return;
    }
    Close(ExchangeFault::Truncated, aNow);
    return;
  }
  if (IsResetOnConnect(aError, aNow)) {
    Close(ExchangeFault::ResetOnConnect, aNow);
    return;
  }
  Close(parser_ && parser_->got_some() ? ExchangeFault::Truncated
                                       : ExchangeFault::Closed,
        aNow);
}

bool ServerConnection::IsResetOnConnect(const Error& aError,
                                        TimePoint aNow) const
{
  // A server with too many connections resets a new one at once, so the reset
  // arrives within about one round trip after the connect completes.
  constexpr milliseconds kSchedulingMargin{ 5 };
  return aError == asio::error::connection_reset && !hasRead_ &&
         aNow - connectedAt_ <= connectTime_ + kSchedulingMargin;
}

void ServerConnection::OnReply(TimePoint aNow)
{
  auto reply = parser_->release();
  replyMemory_.Resize(heldReplyBytes_, 0);
  const bool isUnusable = buffer_.size() > 0 || isWriting_ ||
                          !reply.keep_alive() || reply.need_eof() ||
                          reply.count(headerNames_.requestId_) == 0;
  ApplyKeepAlive(reply);
  if (const auto load = reply.find(headerNames_.load_); load != reply.end()) {
    load_ = ParseServerLoad({ load->value().data(), load->value().size() });
  }
  const auto limit = reply.find(headerNames_.rateLimit_);
  rateLimit_ =
    limit == reply.end()
      ? StatedRateLimit{}
      : ParseRateLimit({ limit->value().data(), limit->value().size() });
  Exchange& exchange = *exchange_;
  notices_ = ReadServerNotices(reply, headerNames_);
  ClassifyReply(exchange, reply);
  if (exchange.outcome_ == ExchangeOutcome::Failed ||
      exchange.fault_ == ExchangeFault::WrongServer) {
    // The reply may be of another server, or belong to another request.
    notices_ = {};
  }
  const bool isMismatched = exchange.fault_ == ExchangeFault::RequestIdMismatch;
  if (isUnusable || isMismatched) {
    Error ignored;
    socket_.close(ignored);
    SetState(ServerConnectionState::Closed, aNow);
  } else {
    SetState(ServerConnectionState::Idle, aNow);
    parser_.reset();
  }
  auto finished = std::move(exchange_);
  exchange_ = nullptr;
  if (state_ == ServerConnectionState::Idle) {
    StartParser();
  }
  if (listener_ != nullptr) {
    listener_->OnExchangeDone(*this, std::move(finished), aNow);
  }
}

void ServerConnection::ClassifyReply(Exchange& aExchange,
                                     Parser::value_type& aReply)
{
  const auto header = [&](const std::string& aName) {
    const auto found = aReply.find(aName);
    return found == aReply.end()
             ? std::string_view()
             : std::string_view(found->value().data(), found->value().size());
  };
  const std::string_view id = header(headerNames_.requestId_);
  const unsigned status = aReply.result_int();
  // Without an id, only a connection's first reply certainly belongs to the
  // request.
  const bool isOwnReply =
    id.empty() ? requestsSent_ == 1 : id == aExchange.request_->id_.Value();
  if (!isOwnReply) {
    aExchange.outcome_ = ExchangeOutcome::Failed;
    aExchange.fault_ = ExchangeFault::RequestIdMismatch;
    return;
  }
  if (status == static_cast<unsigned>(http::status::misdirected_request)) {
    aExchange.outcome_ = ExchangeOutcome::Refused;
    aExchange.fault_ = ExchangeFault::WrongServer;
    return;
  }
  if (!header(headerNames_.notRun_).empty()) {
    aExchange.outcome_ = ExchangeOutcome::Refused;
    aExchange.fault_ = ExchangeFault::Shed;
    return;
  }
  const std::string_view signature = header(headerNames_.signature_);
  const bool isSuccess = status >= 200 && status < 300;
  const bool isEncoded =
    aReply.find(http::field::content_encoding) != aReply.end();
  if (isSuccess && (signature.empty() || isEncoded)) {
    aExchange.outcome_ = ExchangeOutcome::Failed;
    aExchange.fault_ = ExchangeFault::Unsigned;
    return;
  }
  aExchange.outcome_ = ExchangeOutcome::Answered;
  aExchange.fault_ = ExchangeFault::None;
  aExchange.reply_.status_ = status;
  aExchange.reply_.signature_ = signature;
  aExchange.reply_.body_ = std::move(aReply.body());
  aExchange.reply_.headers_ = std::move(aReply.base());
}

void ServerConnection::ApplyKeepAlive(const Parser::value_type& aReply)
{
  const auto found = aReply.find(http::field::keep_alive);
  if (found == aReply.end()) {
    return;
  }
  std::string_view text(found->value().data(), found->value().size());
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const size_t at = text.find(kTimeoutParameter);
  if (at == std::string_view::npos) {
    return;
  }
  text.remove_prefix(at + kTimeoutParameter.size());
  if (uint32_t stated = 0; ParseNumber(text, stated) && stated > 0) {
    const auto usable = std::chrono::duration<double>(stated * kKeepAliveShare);
    idleLimit_ =
      std::min(settings_.idleTimeout_, duration_cast<milliseconds>(usable));
  }
}

void ServerConnection::CloseWithoutNotice()
{
  listener_ = nullptr;
  exchange_ = nullptr;
  replyMemory_.Resize(heldReplyBytes_, 0);
  Error ignored;
  socket_.close(ignored);
  state_ = ServerConnectionState::Closed;
}

void ServerConnection::Abort(ExchangeFault aFault, TimePoint aNow)
{
  if (state_ != ServerConnectionState::Closed) {
    Close(aFault, aNow);
  }
}

void ServerConnection::Close(ExchangeFault aFault, TimePoint aNow)
{
  Error ignored;
  socket_.close(ignored);
  SetState(ServerConnectionState::Closed, aNow);
  replyMemory_.Resize(heldReplyBytes_, 0);
  if (listener_ == nullptr) {
    return;
  }
  if (exchange_ == nullptr) {
    listener_->OnConnectionClosed(*this, aFault, aNow);
    return;
  }
  auto finished = std::move(exchange_);
  exchange_ = nullptr;
  finished->outcome_ = written_ == 0 && !isWriting_ ? ExchangeOutcome::NotSent
                                                    : ExchangeOutcome::Failed;
  finished->fault_ = aFault;
  listener_->OnExchangeDone(*this, std::move(finished), aNow);
}

void ServerConnection::SetState(ServerConnectionState aState, TimePoint aNow)
{
  state_ = aState;
  stateSince_ = aNow;
}

} // namespace foxtail
