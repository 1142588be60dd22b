#ifndef HTTP_HTTPSERVER_H
#define HTTP_HTTPSERVER_H

#include "core/ByteBudget.h"
#include "core/JsonReader.h"
#include "core/Time.h"
#include "core/WorkerPool.h"
#include "http/HttpTypes.h"

#include <absl/status/status.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtail {

/// Settings of one HTTP listener.
struct HttpServerSettings
{
  /// Numeric IP address to listen on.
  std::string address_ = "127.0.0.1";
  /// Port to listen on; 0 selects a free port.
  uint16_t port_ = 0;
  /// Maximum size of a request header, in bytes.
  uint32_t maxHeaderBytes_ = 16 * 1024;
  /// Maximum size of a request body, in bytes.
  uint64_t maxBodyBytes_ = 1024 * 1024;
  /// Returns the maximum body size of a request by its header, in bytes; 0 if
  /// the body is not used, which is then discarded. Without it, maxBodyBytes_
  /// holds for all requests.
  std::function<uint64_t(const HttpRequest& aHeader)> bodyLimit_;
  /// Budget of all bytes that the process holds for its peers.
  std::shared_ptr<ByteBudget> peerBytes_ = std::make_shared<ByteBudget>();
  /// Maximum number of open connections. Beyond it, a connection that waits for
  /// its peer is closed for each new one, or the new one if all are served.
  size_t maxConnections_ = 4096;
  /// Time after which a connection that is idle between requests is closed.
  milliseconds idleTimeout_{ 60000 };
  /// Time limit for reading a request after its first byte has arrived, and for
  /// writing a response.
  milliseconds transferTimeout_{ 10000 };

  /// Reads the address, the port and the limits above.
  static HttpServerSettings Read(JsonReader& aReader, uint16_t aDefaultPort);
};

/// HTTP/1.1 server on a WorkerPool. Each connection is assigned to one worker,
/// on which the handler runs as a coroutine. A malformed, too large or too slow
/// request gets an error response, or its connection is closed. Start and stop
/// from one thread.
class HttpServer
{
public:
  /// Returns the response to one request. The coroutine runs on the worker of
  /// the connection and may use that worker's executor.
  using Handler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  HttpServer(HttpServerSettings aSettings, WorkerPool& aWorkers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address and starts accepting connections.
  ///
  /// @return InvalidSettings when the address cannot be bound.
  absl::Status Start(Handler aHandler);

  /// @return the bound port, after Start().
  uint16_t Port() const;

  /// Begins a graceful shutdown: each connection closes after its next
  /// response. The server continues to accept connections, so that requests
  /// already on their way are not refused.
  void BeginDrain();

  /// Stops accepting and closes idle connections; in-flight requests continue.
  void StopAccepting();

  /// @return the number of requests that are being read, handled or answered.
  size_t RequestsInFlight() const;
  size_t OpenConnections() const;
  /// @return connections closed for the sake of others, and requests refused
  /// as the byte budget was used up.
  size_t Evictions() const;
  size_t BudgetRefusals() const;

  /// Blocks until all connections are closed or @p aTimeout has passed.
  ///
  /// @return whether no request is in flight.
  bool WaitUntilIdle(milliseconds aTimeout) const;

private:
  struct SharedState;
  std::shared_ptr<SharedState> shared_;
};

} // namespace foxtail

#endif // HTTP_HTTPSERVER_H
