#ifndef FORWARD_CALLERPORT_H
#define FORWARD_CALLERPORT_H

#include "core/ByteBudget.h"
#include "core/ConnectionEviction.h"
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
  /// Maximum open connections. Beyond it, a connection that waits for its
  /// caller is closed for each new one, or the new one if all are served. The
  /// limit leaves file descriptors for the connections to backend servers.
  size_t maxConnections_ = 1500;
  /// Time limit for writing an answer, extended by the time that the answer
  /// takes at minWriteBytesPerSecond_.
  milliseconds writeTimeout_{ 10000 };
  size_t minWriteBytesPerSecond_ = size_t{ 16 } * 1024;
  /// Budget of all bytes that the process holds for its peers.
  std::shared_ptr<ByteBudget> peerBytes_ = std::make_shared<ByteBudget>();
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

  /// Charges @p aBytes in all for a connection; closes others that wait for
  /// their callers when the budget is short.
  ///
  /// @return whether the bytes are charged.
  bool Reserve(CallerConnection& aConnection, size_t aBytes, TimePoint aNow);
  /// Closes connections that wait for their callers.
  ///
  /// @param aBytes bytes to free; 0 to free one connection.
  /// @param aFor the connection that they are freed for, which is kept.
  void Evict(size_t aBytes, const CallerConnection* aFor, TimePoint aNow);
  /// Returns freed memory to the system once a crowd has gone.
  void ReturnMemory();
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
  prometheus::Counter& evictions_;
  prometheus::Counter& budgetRefusals_;
  prometheus::Counter& connectionRefusals_;
  prometheus::Counter& slowRequests_;
  prometheus::Counter& slowReaders_;
  prometheus::Counter& oversizedRequests_;
  prometheus::Counter& discardedBodies_;
  prometheus::Gauge& bytesInUse_;
};

} // namespace foxtail

#endif // FORWARD_CALLERPORT_H
