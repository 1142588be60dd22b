#include "backend/BackendConnection.h"

#include "backend/BackendServer.h"
#include "backend/JsonSyntax.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace foxtail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadBytes = 4096;
/// Maximum informational (1xx) replies to one request.
constexpr uint32_t kMaxInformationalReplies = 8;

// Formats the headers that differ between attempts.
class AttemptHead
{
public:
  AttemptHead(const Attempt& aAttempt, TimePoint aNow)
  {
    Append("Foxtail-Request: ");
    Append(aAttempt.content_->requestId_);
    Append("\r\nFoxtail-Attempt: ");
    Append(aAttempt.id_.Value());
    Append("\r\nFoxtail-Deadline-Ms: ");
    Append(MillisLeft(aAttempt.deadline_, aNow));
    if (!aAttempt.content_->idempotencyKey_.empty()) {
      Append("\r\nFoxtail-Idempotency-Key: ");
      Append(aAttempt.content_->idempotencyKey_);
    }
    Append("\r\nContent-Length: ");
    Append(aAttempt.content_->body_.size());
    Append("\r\n\r\n");
  }

  asio::const_buffer Buffer() const { return { content_.data(), size_ }; }

private:
  // Large enough for the bounded request id and idempotency key.
  static constexpr size_t kMaxBytes = 1024;

  static uint64_t MillisLeft(TimePoint aDeadline, TimePoint aNow)
  {
    const auto left = duration_cast<milliseconds>(aDeadline - aNow).count();
    return static_cast<uint64_t>(std::max<int64_t>(1, left));
  }

  void Append(std::string_view aText)
  {
    const size_t count = std::min(aText.size(), kMaxBytes - size_);
    std::copy_n(aText.data(), count, content_.data() + size_);
    size_ += count;
  }

  void Append(uint64_t aNumber)
  {
    std::array<char, 24> digits{};
    const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), aNumber);
    Append({ digits.data(), static_cast<size_t>(end.ptr - digits.data()) });
  }

  std::array<char, kMaxBytes> content_;
  size_t size_ = 0;
};

} // namespace

BackendConnection::BackendConnection(asio::io_context& aContext,
                                     const asio::ip::tcp::endpoint& aEndpoint,
                                     const BackendSettings& aSettings,
                                     std::shared_ptr<ReplyMemory> aReplyMemory,
                                     BackendConnectionListener& aListener)
  : endpoint_(aEndpoint)
  , settings_(aSettings)
  , listener_(aListener)
  , socket_(aContext.get_executor())
  , replyMemory_(std::move(aReplyMemory))
{
}

BackendConnection::~BackendConnection()
{
  replyMemory_->Resize(heldReplyBytes_, 0);
}

void BackendConnection::Connect(TimePoint aNow)
{
  state_ = State::Connecting;
  stateSince_ = aNow;
  socket_.async_connect(endpoint_,
                        [self = shared_from_this()](const Error& aError) {
                          self->OnConnect(aError);
                        });
}

void BackendConnection::OnConnect(const Error& aError)
{
  if (state_ != State::Connecting) {
    return;
  }
  if (aError) {
    Fail(AttemptFault::ConnectFailed);
    return;
  }
  Error ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  state_ = State::Idle;
  Read();
  listener_.OnConnected(*this);
}

void BackendConnection::Send(std::unique_ptr<Attempt> aAttempt, TimePoint aNow)
{
  attempt_ = std::move(aAttempt);
  attempt_->sentAt_ = aNow;
  state_ = State::Busy;
  stateSince_ = aNow;
  parser_.emplace(settings_.maxReplyBytes_);
  informationalReplies_ = 0;
  const AttemptHead head(*attempt_, aNow);
  const std::array<asio::const_buffer, 3> buffers{
    asio::buffer(attempt_->replica_->requestHead_),
    head.Buffer(),
    asio::buffer(attempt_->content_->body_)
  };
  Write(buffers, asio::buffer_size(buffers));
}

void BackendConnection::SendCancel(AttemptId aId, TimePoint aNow)
{
  state_ = State::Cancelling;
  stateSince_ = aNow;
  parser_.emplace(settings_.maxReplyBytes_);
  informationalReplies_ = 0;
  const std::string text =
    "POST /v1/cancel HTTP/1.1\r\nHost: backend\r\nFoxtail-Attempt: " +
    std::to_string(aId.Value()) + "\r\nContent-Length: 0\r\n\r\n";
  Write(asio::buffer(text), text.size());
}

// Usually the socket accepts the whole request at once, which saves an
// asynchronous operation; only the remaining bytes are written by one.
template<typename Buffers>
void BackendConnection::Write(const Buffers& aBuffers, size_t aBytes)
{
  Error error;
  size_t sent = socket_.send(aBuffers, 0, error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    error.clear();
    sent = 0;
  }
  if (error) {
    // Reports the failure from a posted handler, so that the listener is never
    // called from within Send().
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Fail(AttemptFault::ConnectionClosed);
    });
    return;
  }
  if (sent == aBytes) {
    return;
  }
  unsentBytes_.resize(aBytes);
  asio::buffer_copy(asio::buffer(unsentBytes_), aBuffers);
  unsentBytes_.erase(0, sent);
  asio::async_write(socket_,
                    asio::buffer(unsentBytes_),
                    [self = shared_from_this()](const Error& aError, size_t) {
                      self->unsentBytes_.clear();
                      if (aError) {
                        self->Fail(AttemptFault::ConnectionClosed);
                      }
                    });
}

void BackendConnection::Read()
{
  socket_.async_read_some(
    buffer_.prepare(kReadBytes),
    [self = shared_from_this()](const Error& aError, size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void BackendConnection::OnRead(const Error& aError, size_t aBytes)
{
  if (state_ == State::Closed) {
    return;
  }
  if (aError) {
    const bool hasBegun = parser_ && parser_->got_some();
    Fail(hasBegun ? AttemptFault::CutShort : AttemptFault::ConnectionClosed);
    return;
  }
  buffer_.commit(aBytes);
  if (state_ == State::Idle) {
    // The bytes belong to no request, so that a later reply could not be
    // matched to its request.
    Fail(AttemptFault::Malformed);
    return;
  }
  if (Parse()) {
    Read();
  }
}

bool BackendConnection::Parse()
{
  Error error;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    const size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      const bool isTooLarge =
        error == http::error::body_limit || error == http::error::header_limit;
      Fail(isTooLarge ? AttemptFault::TooLarge : AttemptFault::Malformed);
      return false;
    }
    const bool isInformational = parser_->IsInformational();
    const bool hasUnknownEnd =
      parser_->is_header_done() && !parser_->HasKnownLength();
    if (isInformational ? ++informationalReplies_ > kMaxInformationalReplies
                        : hasUnknownEnd) {
      Fail(AttemptFault::Malformed);
      return false;
    }
    if (isInformational) {
      parser_.emplace(settings_.maxReplyBytes_);
    }
  }
  if (!parser_->is_done()) {
    const AttemptFault fault = CheckReplySize();
    if (fault != AttemptFault::None) {
      Fail(fault);
    }
    return fault == AttemptFault::None;
  }
  OnReplyComplete();
  return state_ != State::Closed;
}

AttemptFault BackendConnection::CheckReplySize()
{
  // The parser takes the header and the body from the buffer as they arrive,
  // but leaves an incomplete chunk header or trailer there.
  if (buffer_.size() > ReplyParser::kMaxHeaderBytes) {
    return AttemptFault::Malformed;
  }
  return replyMemory_->Resize(heldReplyBytes_,
                              parser_->Body().size() + buffer_.size())
           ? AttemptFault::None
           : AttemptFault::TooLarge;
}

void BackendConnection::OnReplyComplete()
{
  hasCompletedExchange_ = true;
  replyMemory_->Resize(heldReplyBytes_, 0);
  const bool isReusable =
    parser_->keep_alive() && buffer_.size() == 0 && unsentBytes_.empty();
  const bool wasAbandoned = state_ != State::Busy;
  const State previousState = state_;
  std::unique_ptr<Attempt> attempt = std::move(attempt_);
  bool isTrusted = true;
  if (!wasAbandoned) {
    SetResult(*attempt);
    isTrusted = attempt->outcome_ != AttemptOutcome::Failed ||
                attempt->fault_ == AttemptFault::BadStatus;
  }
  parser_.reset();
  if (isReusable && isTrusted) {
    state_ = State::Idle;
  } else {
    Close();
  }
  // The listener may release this connection.
  const auto self = shared_from_this();
  if (wasAbandoned) {
    listener_.OnDrained(*this, previousState);
  } else {
    listener_.OnAttemptDone(*this, std::move(attempt));
  }
}

void BackendConnection::SetResult(Attempt& aAttempt)
{
  aAttempt.load_ = parser_->Load();
  if (parser_->AttemptId() != aAttempt.id_.Value()) {
    aAttempt.outcome_ = AttemptOutcome::Failed;
    aAttempt.fault_ = AttemptFault::WrongAttempt;
    return;
  }
  if (parser_->Status() != static_cast<unsigned>(http::status::ok)) {
    aAttempt.outcome_ =
      parser_->IsNotRun() ? AttemptOutcome::Refused : AttemptOutcome::Failed;
    aAttempt.fault_ = FaultOfErrorReply();
    return;
  }
  aAttempt.fault_ = CheckReply(*aAttempt.replica_);
  if (aAttempt.fault_ != AttemptFault::None) {
    aAttempt.outcome_ = AttemptOutcome::Failed;
    return;
  }
  aAttempt.outcome_ = AttemptOutcome::Replied;
  aAttempt.reply_ = parser_->TakeBody();
}

AttemptFault BackendConnection::FaultOfErrorReply() const
{
  if (parser_->IsNotRun()) {
    const auto fault = FromName<AttemptFault>(parser_->RefusalReason());
    if (fault && *fault >= AttemptFault::Overloaded &&
        *fault <= AttemptFault::Cancelled) {
      return *fault;
    }
    return AttemptFault::Overloaded;
  }
  return AttemptFault::BadStatus;
}

AttemptFault BackendConnection::CheckReply(const RoutedReplica& aReplica) const
{
  if (parser_->Version() != aReplica.versionText_) {
    return AttemptFault::WrongVersion;
  }
  if (parser_->Shard() != aReplica.shardText_) {
    return AttemptFault::WrongShard;
  }
  if (!IsWellFormedJson(parser_->Body())) {
    return AttemptFault::BadBody;
  }
  return AttemptFault::None;
}

std::unique_ptr<Attempt> BackendConnection::Abandon(TimePoint aNow)
{
  state_ = State::Draining;
  stateSince_ = aNow;
  return std::move(attempt_);
}

void BackendConnection::Close()
{
  state_ = State::Closed;
  replyMemory_->Resize(heldReplyBytes_, 0);
  Error ignored;
  socket_.close(ignored);
}

void BackendConnection::Fail(AttemptFault aFault)
{
  if (state_ == State::Closed) {
    return;
  }
  const State previousState = state_;
  Close();
  std::unique_ptr<Attempt> attempt = std::move(attempt_);
  const auto self = shared_from_this();
  if (attempt) {
    attempt->outcome_ = AttemptOutcome::Failed;
    attempt->fault_ = aFault;
    listener_.OnAttemptDone(*this, std::move(attempt));
    return;
  }
  listener_.OnClosed(*this, previousState, aFault);
}

void BackendConnection::CloseIfOverdue(TimePoint aNow)
{
  const Duration age = aNow - stateSince_;
  if (state_ == State::Connecting && age > settings_.connectTimeout_) {
    Fail(AttemptFault::ConnectFailed);
  } else if ((state_ == State::Draining || state_ == State::Cancelling) &&
             age > settings_.drainTimeout_) {
    Fail(AttemptFault::ConnectionClosed);
  }
}

} // namespace foxtail
