#ifndef FORWARD_CALLERPORT_H
#define FORWARD_CALLERPORT_H

#include "forward/Gateway.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <unordered_set>

namespace foxtail {

class CallerConnection;

struct CallerPortSettings
{
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;
  /// Maximum open connections; further ones are closed at once. The limit
  /// leaves file descriptors for the connections to backend servers.
  size_t maxConnections_ = 1500;
};

/// Accepts callers' HTTP connections and passes their requests to a gateway.
/// Not thread-safe.
class CallerPort
{
public:
  CallerPort(CallerPortSettings aSettings,
             Gateway& aGateway,
             boost::asio::io_context& aContext,
             Metrics& aMetrics);
  ~CallerPort();
  CallerPort(const CallerPort&) = delete;
  CallerPort& operator=(const CallerPort&) = delete;

  /// Binds the address and starts accepting connections.
  ///
  /// @return InvalidSettings when the address cannot be bound.
  absl::Status Start();
  uint16_t Port() const;

  /// Closes each connection after its next answer from now on. Every request
  /// that is read has an answer by @p aAnswerBy: requests that would probably
  /// not have one are refused, and those in progress end with what they have.
  void BeginDrain(TimePoint aAnswerBy, TimePoint aNow);
  /// Stops accepting connections and closes the idle ones. Requests on
  /// connections that were established before are still answered.
  void StopAccepting();

  size_t OpenConnections() const { return connections_.size(); }
  size_t RequestsInFlight() const { return requestsInFlight_; }

private:
  friend class CallerConnection;

  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;

  void Accept();
  void AddConnection(Socket aSocket);
  /// Accepts the connections that wait in the listener's queue, as closing the
  /// listener resets them.
  void AcceptQueued();
  /// Closes the connections of a stopping instance that have no request, and
  /// refuses requests that have not arrived in time, now and periodically until
  /// no connection is left.
  void CloseUnused();
  void ScheduleSweep();
  CallerLimits Limits() const;

  const CallerPortSettings settings_;
  Gateway& gateway_;
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweepTimer_;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
  size_t requestsInFlight_ = 0;
  bool isDraining_ = false;
  TimePoint answerBy_ = TimePoint::max();
  bool isStopped_ = false;
  prometheus::Counter& requestsTotal_;
  prometheus::Counter& callerDisconnects_;
};

} // namespace foxtail

#endif // FORWARD_CALLERPORT_H
