#ifndef HTTP_HTTPCLIENT_H
#define HTTP_HTTPCLIENT_H

#include "core/Time.h"
#include "http/HttpTypes.h"

#include <absl/status/statusor.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace foxtail {

/// HTTP/1.1 connection to one endpoint, opened by the first exchange and reused
/// by later ones. Used from one strand, for one exchange at a time.
class HttpClient
{
public:
  HttpClient(boost::asio::any_io_executor aExecutor, TcpEndpoint aEndpoint);

  /// Sends a request and reads the whole response. Any failure closes the
  /// connection, so that a late response is never taken for the response to the
  /// next request.
  ///
  /// @param aTimeout covers connecting and the exchange together.
  /// @return the response; Unavailable when the connection could not be opened
  /// and nothing was sent; DeadlineExceeded or Protocol when the exchange timed
  /// out or failed after that, also because the response exceeds 8 MiB or its
  /// header 8 KiB.
  boost::asio::awaitable<absl::StatusOr<HttpResponse>> Exchange(
    HttpRequest aRequest,
    milliseconds aTimeout);

  bool IsOpen() const { return isOpen_; }
  /// @return whether the connection is not open, or is idle and was closed by
  /// the peer. Does not block.
  bool IsClosedByPeer();
  void Close();

private:
  static constexpr size_t kMaxBufferBytes = size_t{ 64 } * 1024;

  boost::asio::awaitable<absl::Status> Connect();

  TcpEndpoint endpoint_;
  boost::beast::tcp_stream stream_;
  /// What the parser has not taken yet. The limit bounds chunk headers and
  /// trailers, which the parser leaves here until they are complete.
  boost::beast::flat_buffer buffer_{ kMaxBufferBytes };
  bool isOpen_ = false;
};

/// @return a request with a Host header and the body @p aBody; a non-empty body
/// gets Content-Type application/json.
HttpRequest MakeRequest(boost::beast::http::verb aVerb,
                        std::string_view aTarget,
                        std::string aBody = {});

/// Runs one exchange on a new connection and io_context and blocks until it
/// completes; for command-line programs and tests.
absl::StatusOr<HttpResponse> BlockingExchange(const TcpEndpoint& aEndpoint,
                                              HttpRequest aRequest,
                                              milliseconds aTimeout);

/// @param aText numeric IP address and port, such as 127.0.0.1:8080 or
/// [::1]:8080.
/// @return InvalidSettings when @p aText is not an address of this form.
absl::StatusOr<TcpEndpoint> ParseEndpoint(std::string_view aText);

} // namespace foxtail

#endif // HTTP_HTTPCLIENT_H
