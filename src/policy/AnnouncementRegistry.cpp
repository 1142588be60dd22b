#include "policy/AnnouncementRegistry.h"

#include <algorithm>
#include <tuple>

namespace foxtail {

AnnouncementRegistry::AnnouncementRegistry(
  AnnouncementRegistrySettings aSettings)
  : settings_(aSettings)
{
}

AnnouncementVerdict AnnouncementRegistry::Apply(
  const Announcement& aAnnouncement,
  TimePoint aNow)
{
  const auto tombstone = tombstones_.find(aAnnouncement.server_);
  if (tombstone != tombstones_.end()) {
    if (!aAnnouncement.IsNewerThan(tombstone->second.announcement_)) {
      return AnnouncementVerdict::Stale;
    }
    tombstones_.erase(tombstone);
  }
  const auto found = live_.find(aAnnouncement.server_);
  if (found == live_.end()) {
    live_[aAnnouncement.server_] = { aAnnouncement, aNow, aNow };
    if (aAnnouncement.state_ == BackendState::Gone) {
      Remove(aAnnouncement.server_, aNow, false);
      return AnnouncementVerdict::Stale;
    }
    return AnnouncementVerdict::Changed;
  }
  Replica& replica = found->second;
  if (!aAnnouncement.IsNewerThan(replica.announcement_)) {
    return AnnouncementVerdict::Stale;
  }
  const bool isNewIncarnation =
    aAnnouncement.incarnation_ != replica.announcement_.incarnation_;
  const bool isSame = aAnnouncement.IsSameContent(replica.announcement_);
  replica.announcement_ = aAnnouncement;
  replica.lastAnnouncementAt_ = aNow;
  if (isNewIncarnation) {
    replica.firstAnnouncementAt_ = aNow;
  }
  if (aAnnouncement.state_ == BackendState::Gone) {
    Remove(aAnnouncement.server_, aNow, false);
    return AnnouncementVerdict::Changed;
  }
  return isSame && !isNewIncarnation ? AnnouncementVerdict::Renewed
                                     : AnnouncementVerdict::Changed;
}

AnnouncementVerdict AnnouncementRegistry::RenewFromPeer(
  const Announcement& aAnnouncement,
  TimePoint aNow)
{
  const auto tombstone = tombstones_.find(aAnnouncement.server_);
  if (tombstone != tombstones_.end() && tombstone->second.isExpired_ &&
      !tombstone->second.announcement_.IsNewerThan(aAnnouncement)) {
    tombstones_.erase(tombstone);
  }
  const auto found = live_.find(aAnnouncement.server_);
  if (found == live_.end() ||
      aAnnouncement.IsNewerThan(found->second.announcement_)) {
    return Apply(aAnnouncement, aNow);
  }
  const Announcement& stored = found->second.announcement_;
  if (stored.incarnation_ != aAnnouncement.incarnation_ ||
      !stored.IsSameContent(aAnnouncement)) {
    return AnnouncementVerdict::Stale;
  }
  found->second.lastAnnouncementAt_ = aNow;
  return AnnouncementVerdict::Renewed;
}

bool AnnouncementRegistry::Withdraw(const BackendId& aServer,
                                    Incarnation aIncarnation,
                                    uint64_t aSequence,
                                    TimePoint aNow)
{
  const auto found = live_.find(aServer);
  if (found == live_.end()) {
    return false;
  }
  const Announcement& stored = found->second.announcement_;
  if (std::tie(stored.incarnation_, stored.sequence_) >
      std::tie(aIncarnation, aSequence)) {
    return false;
  }
  Remove(aServer, aNow, false);
  return true;
}

void AnnouncementRegistry::Remove(const BackendId& aServer,
                                  TimePoint aNow,
                                  bool aIsExpired)
{
  const auto found = live_.find(aServer);
  tombstones_[aServer] = { std::move(found->second.announcement_),
                           aNow + settings_.tombstoneRetention_,
                           aIsExpired };
  live_.erase(found);
}

std::vector<BackendId> AnnouncementRegistry::Expire(TimePoint aNow)
{
  std::vector<BackendId> expired;
  for (const auto& [server, replica] : live_) {
    if (aNow - replica.lastAnnouncementAt_ > settings_.lease_) {
      expired.push_back(server);
    }
  }
  for (const BackendId& server : expired) {
    Remove(server, aNow, true);
  }
  std::erase_if(tombstones_, [&](const auto& aRow) {
    return aNow > aRow.second.expiresAt_;
  });
  return expired;
}

std::shared_ptr<const RoutingTable> AnnouncementRegistry::MakeTable() const
{
  std::vector<Replica> replicas;
  replicas.reserve(live_.size());
  for (const auto& row : live_) {
    replicas.push_back(row.second);
  }
  // A fixed order for equal content, so that equal tables lead to equal
  // decisions.
  std::sort(replicas.begin(),
            replicas.end(),
            [](const Replica& aLeft, const Replica& aRight) {
              return aLeft.announcement_.server_ < aRight.announcement_.server_;
            });
  return std::make_shared<const RoutingTable>(std::move(replicas));
}

} // namespace foxtail
