#ifndef BACKEND_BACKENDSERVER_H
#define BACKEND_BACKENDSERVER_H

#include "backend/BackendConnectionPool.h"
#include "backend/BackendSignals.h"
#include "core/Ids.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace foxtail {

/// One incarnation of a backend server at one address. One worker owns the
/// connections, so that the connection limit is kept without a lock; every
/// worker can read the signals.
class BackendServer
{
public:
  BackendServer(BackendId aId,
                Incarnation aIncarnation,
                boost::asio::ip::tcp::endpoint aEndpoint,
                size_t aOwner)
    : id_(std::move(aId))
    , incarnation_(aIncarnation)
    , endpoint_(std::move(aEndpoint))
    , owner_(aOwner)
  {
  }

  const BackendId& Id() const { return id_; }
  Incarnation GetIncarnation() const { return incarnation_; }
  const boost::asio::ip::tcp::endpoint& Endpoint() const { return endpoint_; }
  /// @return the index of the worker that owns the connections.
  size_t OwnerWorker() const { return owner_; }

  BackendSignals& Signals() { return signals_; }
  const BackendSignals& Signals() const { return signals_; }

  /// The connections, for the owning worker only; null until it creates them.
  std::unique_ptr<BackendConnectionPool>& Connections() { return connections_; }

private:
  BackendId id_;
  Incarnation incarnation_;
  boost::asio::ip::tcp::endpoint endpoint_;
  size_t owner_;
  BackendSignals signals_;
  std::unique_ptr<BackendConnectionPool> connections_;
};

} // namespace foxtail

#endif // BACKEND_BACKENDSERVER_H
