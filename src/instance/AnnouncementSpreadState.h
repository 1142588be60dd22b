#ifndef INSTANCE_ANNOUNCEMENTSPREADSTATE_H
#define INSTANCE_ANNOUNCEMENTSPREADSTATE_H

#include "core/RandomSource.h"
#include "core/Time.h"
#include "instance/AnnouncementMessages.h"
#include "instance/MembershipTypes.h"

#include <map>
#include <set>
#include <unordered_map>

namespace foxtail {

struct AnnouncementSpreadSettings
{
  /// Instances of a server's zone that hold its lease.
  uint32_t ownersPerServer_ = 2;
  /// An owner withdraws a server after this long without a renewal. It is the
  /// lease of an announcement plus the time in which a renewal reaches the
  /// owner.
  milliseconds lease_{ 3500 };
  /// Added to the lease for each position of an owner after the first: how much
  /// longer it waits before it withdraws a server.
  milliseconds leaseStep_{ 1500 };
  /// How often renewals are sent to the owners of the servers.
  milliseconds renewInterval_{ 250 };
  /// How often the leases of the stored servers are renewed in the registry.
  milliseconds registryRenewInterval_{ 1000 };
  /// How often the digests of all zones are sent to another instance, which
  /// compares them with its own.
  milliseconds compareInterval_{ 2000 };
  /// Interval of these comparisons after a change of the view, when more rows
  /// may be missing.
  milliseconds earlyCompareInterval_{ 200 };
  /// Number of comparisons at that interval after a change of the view.
  uint32_t earlyCompares_ = 5;
  /// How long the tombstone of a withdrawn server is kept.
  milliseconds tombstoneRetention_{ 600000 };
  /// Children of an instance in the dissemination tree.
  uint32_t fanOut_ = 16;
  /// Most rows in one message; more rows are split over several messages.
  uint32_t maxRowsPerMessage_ = 200;
};

/// A message and the endpoint of its receiver.
struct OutgoingAnnouncements
{
  std::string to_;
  AnnouncementMessage message_;
};

/// Actions that the caller of AnnouncementSpreadState has to carry out.
struct AnnouncementEffects
{
  std::vector<OutgoingAnnouncements> messages_;
  /// Announcements with new content, for the registry.
  std::vector<Announcement> changed_;
  /// Latest announcements of servers whose lease their owners still hold.
  std::vector<Announcement> renewed_;
  /// Servers whose lease has expired, or that have deregistered.
  std::vector<Withdrawal> withdrawn_;
};

/// Disseminates announcements of backend servers among the instances. Does no
/// I/O and reads no clock: the present time is an argument. Not thread safe.
///
/// - Changes of content reach every instance down a dissemination tree of each
///   zone.
/// - Renewals reach only the owners: the instances of the server's zone that
///   hold its lease and withdraw the server when the lease expires.
/// - Rows that were lost are repaired by anti-entropy: an instance sends a
///   digest for each zone, the receiver replies with the bucket hashes of the
///   zones that differ, and both then exchange the rows of the buckets that
///   differ.
class AnnouncementSpreadState
{
public:
  AnnouncementSpreadState(AnnouncementSpreadSettings aSettings,
                          InstanceId aSelf,
                          ZoneName aZone,
                          std::string aEndpoint,
                          uint64_t aSeed);

  /// Sets the instances that are alive, and updates the owners of all servers.
  void SetView(std::shared_ptr<const MembershipView> aView, TimePoint aNow);

  /// Handles an announcement that a backend server sent to this instance.
  void OnServerAnnouncement(const Announcement& aAnnouncement, TimePoint aNow);

  /// Handles a message from another instance.
  void OnMessage(const AnnouncementMessage& aMessage, TimePoint aNow);

  /// Checks the leases and sends all messages that are due. To be called about
  /// every 50 ms.
  void OnTick(TimePoint aNow);

  /// @return the effects of all steps since the last call.
  AnnouncementEffects TakeEffects();

  /// @return the number of servers known from all instances.
  size_t ServerCount() const { return rows_.size(); }
  /// @return the number of servers whose lease this instance holds.
  size_t LeaseCount() const { return leases_.size(); }

private:
  /// The rows of a zone are divided by the hash of their server's name; a set
  /// of buckets is a 64 bit mask.
  static constexpr size_t kBuckets = 64;

  struct StoredRow
  {
    AnnouncementRow row_;
    /// Hash of the server's name.
    uint64_t nameHash_ = 0;
    /// Covers the content and the incarnation, not the sequence.
    uint64_t contentHash_ = 0;
    /// Time of the last announcement received from the server itself.
    std::optional<TimePoint> receivedFromServerAt_;
  };
  /// Keeps older announcements of a withdrawn server from being applied.
  struct Tombstone
  {
    Withdrawal withdrawal_;
    TimePoint expiresAt_;
  };
  struct Lease
  {
    TimePoint renewedAt_;
    /// Position of this instance among the server's owners, 0 for the first.
    uint32_t rank_ = 0;
  };
  /// XOR of the content hashes of a zone's rows, for each bucket and in all.
  struct ZoneHashes
  {
    std::array<uint64_t, kBuckets> bucketHashes_{};
    uint64_t rowsHash_ = 0;
  };
  enum class RowResult
  {
    /// The row's content is new and is applied.
    Changed,
    /// The row is not newer, or only its sequence is.
    Unchanged,
    /// A tombstone here is at least as new as the row.
    Withdrawn,
  };

  RowResult ApplyRow(const AnnouncementRow& aRow, TimePoint aNow);
  void Insert(const AnnouncementRow& aRow, TimePoint aNow);
  void Erase(const BackendId& aServer);
  /// Adds the row to its zone's hashes, or removes it from them.
  void ToggleInHashes(const StoredRow& aRow);
  /// @return whether the server was removed.
  bool Withdraw(const Withdrawal& aWithdrawal, TimePoint aNow);
  void AddTombstone(const Withdrawal& aWithdrawal, TimePoint aNow);
  std::vector<InstanceId> OwnersOf(const BackendId& aServer) const;
  void UpdateAllOwnership(TimePoint aNow);
  void ScheduleEarlyCompares(TimePoint aNow);
  /// Begins or ends the lease of the row's server at this instance.
  void UpdateOwnership(const StoredRow& aRow, TimePoint aNow);

  void HandleSpread(const AnnouncementMessage& aMessage, TimePoint aNow);
  void HandleRenewals(const AnnouncementMessage& aMessage, TimePoint aNow);
  void HandleDigests(const AnnouncementMessage& aMessage);
  void HandleBuckets(const AnnouncementMessage& aMessage);
  void HandleRows(const AnnouncementMessage& aMessage, TimePoint aNow);
  /// Informs the sender of a row for which this instance has a tombstone.
  void ReplyToWithdrawnRow(const AnnouncementRow& aRow,
                           const std::string& aFrom);
  void ForwardToChildren(const InstanceId& aOrigin,
                         const std::vector<AnnouncementRow>& aRows,
                         const std::vector<Withdrawal>& aWithdrawals);
  void SendRows(AnnouncementMessageKind aKind,
                const std::string& aTo,
                const InstanceId& aOrigin,
                const std::vector<AnnouncementRow>& aRows,
                const std::vector<Withdrawal>& aWithdrawals);
  void FlushChanges();
  void FlushRenewals();
  void CheckLeases(TimePoint aNow);
  void RenewInRegistry();
  void SendDigests();
  /// @param aBuckets bit i selects bucket i.
  std::vector<AnnouncementRow> RowsOf(const ZoneName& aZone,
                                      uint64_t aBuckets) const;
  bool IsOwnZoneMember(const std::string& aEndpoint) const;
  AnnouncementMessage MakeMessage(AnnouncementMessageKind aKind) const;

  AnnouncementSpreadSettings settings_;
  InstanceId self_;
  ZoneName zone_;
  std::string endpoint_;
  RandomSource random_;
  std::shared_ptr<const MembershipView> view_;
  std::vector<InstanceId> entryInstances_;
  std::vector<ZoneName> reachableZones_;

  std::unordered_map<BackendId, StoredRow> rows_;
  std::unordered_map<uint64_t, BackendId> serversByHash_;
  std::unordered_map<BackendId, Tombstone> tombstones_;
  std::unordered_map<BackendId, Lease> leases_;
  std::map<ZoneName, ZoneHashes> zoneHashes_;

  std::set<BackendId> pendingRows_;
  std::vector<Withdrawal> pendingWithdrawals_;
  std::set<BackendId> pendingRenewals_;
  TimePoint nextRenewAt_{};
  TimePoint nextRegistryRenewAt_{};
  TimePoint nextCompareAt_{};
  /// Comparisons left at the early interval since the last change of the view.
  uint32_t earlyCompares_ = 0;
  TimePoint nextTombstoneSweepAt_{};
  AnnouncementEffects effects_;
};

} // namespace foxtail

#endif // INSTANCE_ANNOUNCEMENTSPREADSTATE_H
