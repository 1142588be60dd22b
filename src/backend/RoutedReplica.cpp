#include "backend/RoutedReplica.h"

namespace foxtail {

RoutedReplica::RoutedReplica(Announcement aAnnouncement,
                             std::shared_ptr<BackendServer> aServer,
                             ZoneDistance aDistance)
  : announcement_(std::move(aAnnouncement))
  , server_(std::move(aServer))
  , distance_(aDistance)
  , versionText_(std::to_string(announcement_.version_.Value()))
  , shardText_(std::to_string(announcement_.shard_.Value()) + "/" +
               std::to_string(announcement_.shardCount_))
{
  requestHead_ = "POST /v1/shard HTTP/1.1\r\nHost: " + announcement_.address_ +
                 "\r\nContent-Type: application/json\r\nFoxtail-Service: " +
                 announcement_.service_.Value() +
                 "\r\nFoxtail-Catalogue: " + announcement_.catalogue_.Value() +
                 "\r\nFoxtail-Version: " + versionText_ +
                 "\r\nFoxtail-Shard: " + shardText_ + "\r\n";
}

} // namespace foxtail
