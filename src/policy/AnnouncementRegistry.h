#ifndef POLICY_ANNOUNCEMENTREGISTRY_H
#define POLICY_ANNOUNCEMENTREGISTRY_H

#include "policy/RoutingTable.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace foxtail {

struct AnnouncementRegistrySettings
{
  /// A server that is not heard for this long is removed.
  milliseconds lease_{ 3000 };
  /// How long a removed server's last incarnation and sequence are remembered,
  /// so that an old announcement that arrives late does not bring it back.
  milliseconds tombstoneRetention_{ 600000 };
};

enum class AnnouncementVerdict
{
  /// Changes the routing table.
  Changed,
  /// Renews the lease, changes nothing.
  Renewed,
  /// Older than what is known, and ignored.
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

/// Collects announcements, orders each server's by incarnation and sequence,
/// and removes servers whose lease ran out. Pure: no I/O, no clock. Not thread
/// safe.
class AnnouncementRegistry
{
public:
  explicit AnnouncementRegistry(AnnouncementRegistrySettings aSettings);

  AnnouncementVerdict Apply(const Announcement& aAnnouncement, TimePoint aNow);

  /// Renews a lease on the word of an instance that holds it. Unlike Apply(),
  /// this takes an announcement that is known already, also of a server whose
  /// lease ran out here for want of such words.
  AnnouncementVerdict RenewFromPeer(const Announcement& aAnnouncement,
                                    TimePoint aNow);

  /// Removes a server whose lease ran out elsewhere, unless it was heard since.
  ///
  /// @return whether it was removed.
  bool Withdraw(const BackendId& aServer,
                Incarnation aIncarnation,
                uint64_t aSequence,
                TimePoint aNow);

  /// Removes servers whose lease is over.
  ///
  /// @return the removed servers.
  std::vector<BackendId> Expire(TimePoint aNow);

  /// @return a table of all servers with a lease.
  std::shared_ptr<const RoutingTable> MakeTable() const;

  size_t Size() const { return live_.size(); }

private:
  struct Tombstone
  {
    Announcement announcement_;
    TimePoint expiresAt_;
    /// Its lease ran out here; nobody said that it is gone.
    bool isExpired_ = false;
  };

  void Remove(const BackendId& aServer, TimePoint aNow, bool aIsExpired);

  AnnouncementRegistrySettings settings_;
  std::unordered_map<BackendId, Replica> live_;
  std::unordered_map<BackendId, Tombstone> tombstones_;
};

} // namespace foxtail

#endif // POLICY_ANNOUNCEMENTREGISTRY_H
