#ifndef EDGE_SERVERREGISTRATION_H
#define EDGE_SERVERREGISTRATION_H

#include "control/DepartureLog.h"
#include "feed/FeedSource.h"

namespace foxtail {

/// Receives announcements and deregistrations of backend servers on a control
/// instance. The feed passes them on at once; a departure (a server drains or
/// has deregistered) is also committed through the replicated log before it is
/// acknowledged, so that the server does not come back into use when this
/// instance or all of them are lost. Thread safe.
class ServerRegistration
{
public:
  ServerRegistration(FeedSource& aFeed, DepartureLog& aDepartures);

  /// @return Ok when the announcement may be acknowledged; InvalidRequest when
  /// it is refused. Another error means that a departure is not confirmed to be
  /// committed; the server sends it again to any control instance.
  boost::asio::awaitable<absl::Status>
  Announce(ServerAnnouncement aAnnouncement, WallTime aWallNow, TimePoint aNow);

  /// @param aStartedAtMs start of the server's process in milliseconds since
  /// the Unix epoch; 0 when the deregistration does not state it.
  /// @return like Announce(); NotFound when the start is not stated and this
  /// instance has no announcement of the server.
  boost::asio::awaitable<absl::Status> Deregister(BackendId aId,
                                                  uint64_t aStartedAtMs,
                                                  WallTime aWallNow,
                                                  TimePoint aNow);

private:
  boost::asio::awaitable<absl::Status> Commit(ServerAnnouncement aDeparture,
                                              TimePoint aNow);

  FeedSource& feed_;
  DepartureLog& departures_;
};

} // namespace foxtail

#endif // EDGE_SERVERREGISTRATION_H
