#ifndef POLICY_ANNOUNCEMENTREGISTRY_H
#define POLICY_ANNOUNCEMENTREGISTRY_H

#include "policy/RoutingTable.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace foxtail {

struct AnnouncementRegistrySettings
{
  /// A server without an announcement for this long is removed.
  milliseconds lease_{ 3000 };
  /// How long a removed server's last incarnation and sequence are kept, so
  /// that a delayed older announcement does not restore the server.
  milliseconds tombstoneRetention_{ 600000 };
};

enum class AnnouncementVerdict
{
  /// The routing table changes.
  Changed,
  /// The lease was renewed; the routing table does not change.
  Renewed,
  /// Older than the stored announcement; ignored.
  Stale,
};

template<>
struct EnumTable<AnnouncementVerdict>
{
  static constexpr std::array<EnumName<AnnouncementVerdict>, 3> kRows{ {
    { AnnouncementVerdict::Changed, "changed" },
    { AnnouncementVerdict::Renewed, "renewed" },
    { AnnouncementVerdict::Stale, "stale" },
  } };
};

/// Collects announcements, orders those of each server by incarnation and
/// sequence, and removes servers whose lease has expired. Does no I/O and reads
/// no clock. Not thread safe.
class AnnouncementRegistry
{
public:
  explicit AnnouncementRegistry(AnnouncementRegistrySettings aSettings);

  AnnouncementVerdict Apply(const Announcement& aAnnouncement, TimePoint aNow);

  /// Renews a lease for another instance that holds it. Unlike Apply(), it
  /// accepts an announcement that is stored already, and restores a server
  /// whose lease expired here because no renewals arrived.
  AnnouncementVerdict RenewFromPeer(const Announcement& aAnnouncement,
                                    TimePoint aNow);

  /// Removes a server whose lease expired at another instance, unless a newer
  /// announcement of it arrived here.
  ///
  /// @return whether it was removed.
  bool Withdraw(const BackendId& aServer,
                Incarnation aIncarnation,
                uint64_t aSequence,
                TimePoint aNow);

  /// Removes servers whose lease has expired.
  ///
  /// @return the removed servers.
  std::vector<BackendId> Expire(TimePoint aNow);

  /// @return a routing table of all servers with a lease.
  std::shared_ptr<const RoutingTable> MakeTable() const;

  size_t Size() const { return live_.size(); }

private:
  struct Tombstone
  {
    Announcement announcement_;
    TimePoint expiresAt_;
    /// Whether the lease expired here and the server did not deregister.
    bool isExpired_ = false;
  };

  void Remove(const BackendId& aServer, TimePoint aNow, bool aIsExpired);

  AnnouncementRegistrySettings settings_;
  std::unordered_map<BackendId, Replica> live_;
  std::unordered_map<BackendId, Tombstone> tombstones_;
};

} // namespace foxtail

#endif // POLICY_ANNOUNCEMENTREGISTRY_H
