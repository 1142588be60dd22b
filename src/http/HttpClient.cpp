#include "http/HttpClient.h"

#include "core/Error.h"
#include "core/ReplyStatus.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>

namespace foxtail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

/// Maximum informational (1xx) replies to one request.
constexpr uint32_t kMaxInformationalReplies = 8;
constexpr uint64_t kMaxBodyBytes = uint64_t{ 8 } * 1024 * 1024;
constexpr uint32_t kMaxHeaderBytes = 8 * 1024;

/// Reads a final response of HTTP; everything else is an error.
asio::awaitable<HttpResponse> ReadFinalResponse(beast::tcp_stream& aStream,
                                                beast::flat_buffer& aBuffer,
                                                error_code& aError)
{
  for (uint32_t i = 0; i <= kMaxInformationalReplies; ++i) {
    beast::http::response_parser<HttpResponse::body_type> parser;
    parser.body_limit(kMaxBodyBytes);
    parser.header_limit(kMaxHeaderBytes);
    co_await beast::http::async_read(
      aStream,
      aBuffer,
      parser,
      asio::redirect_error(asio::use_awaitable, aError));
    if (aError) {
      co_return HttpResponse{};
    }
    const ReplyStatusClass status = ClassifyStatus(parser.get().result_int());
    if (status == ReplyStatusClass::Final) {
      co_return parser.release();
    }
    if (status == ReplyStatusClass::Undefined) {
      break;
    }
  }
  aError = beast::http::make_error_code(beast::http::error::bad_status);
  co_return HttpResponse{};
}

} // namespace

HttpClient::HttpClient(asio::any_io_executor aExecutor, TcpEndpoint aEndpoint)
  : endpoint_(std::move(aEndpoint))
  , stream_(std::move(aExecutor))
{
}

void HttpClient::Close()
{
  error_code ignored;
  stream_.socket().close(ignored);
  buffer_.clear();
  isOpen_ = false;
}

bool HttpClient::IsClosedByPeer()
{
  if (!isOpen_) {
    return true;
  }
  char byte = 0;
  const ssize_t count =
    ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // Between exchanges the peer sends no data, so a successful read means that
  // it has closed the connection or violated the protocol.
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<absl::Status> HttpClient::Connect()
{
  error_code error;
  co_await stream_.async_connect(
    endpoint_, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    Close();
    co_return MakeError(ErrorKind::Unavailable,
                        "cannot connect (" + error.message() +
                          "); check that the peer runs at this address");
  }
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  isOpen_ = true;
  co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<HttpResponse>> HttpClient::Exchange(
  HttpRequest aRequest,
  milliseconds aTimeout)
{
  stream_.expires_after(aTimeout);
  if (!isOpen_) {
    if (auto status = co_await Connect(); !status.ok()) {
      co_return status;
    }
  }
  aRequest.prepare_payload();
  error_code error;
  co_await beast::http::async_write(
    stream_, aRequest, asio::redirect_error(asio::use_awaitable, error));
  HttpResponse response;
  if (!error) {
    response = co_await ReadFinalResponse(stream_, buffer_, error);
  }
  if (error) {
    Close();
    const bool isTimeout = error == beast::error::timeout;
    co_return MakeError(isTimeout ? ErrorKind::DeadlineExceeded
                                  : ErrorKind::Protocol,
                        "exchange failed (" + error.message() +
                          "); retry, but the peer may have received the "
                          "request");
  }
  if (!response.keep_alive()) {
    Close();
  }
  co_return response;
}

HttpRequest MakeRequest(beast::http::verb aVerb,
                        std::string_view aTarget,
                        std::string aBody)
{
  constexpr unsigned kHttpVersion11 = 11;
  HttpRequest request(
    aVerb, beast::string_view(aTarget.data(), aTarget.size()), kHttpVersion11);
  request.set(beast::http::field::host, "foxtail");
  if (!aBody.empty()) {
    request.set(beast::http::field::content_type, "application/json");
  }
  request.body() = std::move(aBody);
  return request;
}

absl::StatusOr<HttpResponse> BlockingExchange(const TcpEndpoint& aEndpoint,
                                              HttpRequest aRequest,
                                              milliseconds aTimeout)
{
  asio::io_context context;
  HttpClient client(context.get_executor(), aEndpoint);
  absl::StatusOr<HttpResponse> result =
    MakeError(ErrorKind::Internal, "the exchange did not complete");
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      result = co_await client.Exchange(std::move(aRequest), aTimeout);
    },
    asio::detached);
  context.run();
  return result;
}

absl::StatusOr<TcpEndpoint> ParseEndpoint(std::string_view aText)
{
  const auto invalidAddress = [&] {
    return MakeError(ErrorKind::InvalidSettings,
                     "\"" + std::string(aText) +
                       "\" is not a valid address; give a numeric IP address "
                       "and a port, such as 127.0.0.1:8080");
  };
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return invalidAddress();
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t number = 0;
  const auto parsed =
    std::from_chars(port.data(), port.data() + port.size(), number);
  error_code error;
  const auto address = asio::ip::make_address(std::string(host), error);
  if (error || parsed.ec != std::errc() ||
      parsed.ptr != port.data() + port.size() || number == 0) {
    return invalidAddress();
  }
  return TcpEndpoint(address, number);
}

} // namespace foxtail
