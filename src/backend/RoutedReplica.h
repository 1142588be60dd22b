#ifndef BACKEND_ROUTEDREPLICA_H
#define BACKEND_ROUTEDREPLICA_H

#include "policy/RoutingTable.h"
#include "policy/ZoneMap.h"

#include <memory>
#include <string>

namespace foxtail {

class BackendServer;

/// One announced content of a backend server, with what an attempt to it needs
/// made beforehand. Immutable: a server that announces another version gets
/// another one, so that an attempt states the version that its plan pinned.
struct RoutedReplica
{
  RoutedReplica(Announcement aAnnouncement,
                std::shared_ptr<BackendServer> aServer,
                ZoneDistance aDistance);

  Announcement announcement_;
  std::shared_ptr<BackendServer> server_;
  /// From this instance's availability zone.
  ZoneDistance distance_;
  /// Request line and the headers that are the same for each attempt.
  std::string requestHead_;
  /// Values that a reply must echo.
  std::string versionText_;
  std::string shardText_;
};

} // namespace foxtail

#endif // BACKEND_ROUTEDREPLICA_H
