#ifndef HTTP_HTTPSERVER_H
#define HTTP_HTTPSERVER_H

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
  /// Address to listen on, an IP number.
  std::string address_ = "127.0.0.1";
  /// Port to listen on; 0 lets the system choose.
  uint16_t port_ = 0;
  /// Largest header of a request, in bytes.
  uint32_t maxHeaderBytes_ = 16 * 1024;
  /// Largest body of a request, in bytes.
  uint64_t maxBodyBytes_ = 1024 * 1024;
  /// Open connections; more are closed at once.
  size_t maxConnections_ = 4096;
  /// How long a connection may be idle between requests.
  milliseconds idleTimeout_{ 60000 };
  /// How long a request may take to arrive once its first byte has, and a
  /// response to be taken.
  milliseconds transferTimeout_{ 10000 };

  /// Reads the members address, port and the limits above.
  static HttpServerSettings Read(JsonReader& aReader, uint16_t aDefaultPort);
};

/// Serves HTTP/1.1 on a WorkerPool: each connection lives on one worker, and
/// its handler runs there as a coroutine. Requests that are malformed, too
/// large or too slow are answered with an error or have their connection
/// closed. Start and stop from one thread.
class HttpServer
{
public:
  /// Answers one request. Runs on the connection's worker; the awaiting
  /// connection is that worker's, so the coroutine may use its executor.
  using Handler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  HttpServer(HttpServerSettings aSettings, WorkerPool& aWorkers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and begins to accept.
  ///
  /// @return InvalidSettings when the address cannot be bound.
  absl::Status Start(Handler aHandler);

  /// @return the bound port, after Start().
  uint16_t Port() const;

  /// Begins a graceful shutdown: each further response closes its connection.
  /// Accepting goes on, so that no request on its way is refused.
  void BeginDrain();

  /// Stops accepting and closes idle connections; requests in flight go on.
  void StopAccepting();

  /// @return the requests being read, handled or answered.
  size_t RequestsInFlight() const;
  size_t OpenConnections() const;

  /// Blocks until no request is in flight or the time is over.
  ///
  /// @return whether none is left.
  bool WaitUntilIdle(milliseconds aTimeout) const;

private:
  struct SharedState;
  std::shared_ptr<SharedState> shared_;
};

} // namespace foxtail

#endif // HTTP_HTTPSERVER_H
