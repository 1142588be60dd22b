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
  /// A server whose owners do not hear of it for this long is withdrawn: the
  /// lease of an announcement and the time that a renewal takes to its owner.
  milliseconds lease_{ 3500 };
  /// How much longer each further owner waits before it withdraws.
  milliseconds leaseStep_{ 1500 };
  /// How often renewed leases are passed to their owners.
  milliseconds renewInterval_{ 250 };
  /// How often the leases of what is known are renewed in the registry.
  milliseconds registryRenewInterval_{ 1000 };
  /// How often hashes are compared with another instance.
  milliseconds compareInterval_{ 2000 };
  /// The same after a change of the view, when more may be missing, and how
  /// many such comparisons follow a change.
  milliseconds earlyCompareInterval_{ 200 };
  uint32_t earlyCompares_ = 5;
  /// How long a withdrawal is remembered.
  milliseconds tombstoneRetention_{ 600000 };
  /// Children of an instance in the tree by which changes travel.
  uint32_t fanOut_ = 16;
  /// Rows in one message.
  uint32_t maxRowsPerMessage_ = 200;
};

/// A message and the endpoint that it goes to.
struct OutgoingAnnouncements
{
  std::string to_;
  AnnouncementMessage message_;
};

/// What is to be done after a step of AnnouncementSpreadState.
struct AnnouncementEffects
{
  std::vector<OutgoingAnnouncements> messages_;
  /// Changed for the registry.
  std::vector<Announcement> changed_;
  /// Servers whose lease holds, by the word of their owners.
  std::vector<Announcement> renewed_;
  std::vector<Withdrawal> withdrawn_;
};

/// Spreads announcements of backend servers: changes go to every instance down
/// a tree, renewals only to the two instances of the server's zone that hold
/// its lease and say when it runs out. Pure: the present time is an argument.
/// Not thread safe.
class AnnouncementSpreadState
{
public:
  AnnouncementSpreadState(AnnouncementSpreadSettings aSettings,
                          InstanceId aSelf,
                          ZoneName aZone,
                          std::string aEndpoint,
                          uint64_t aSeed);

  /// Takes the instances that are alive; owners change with them.
  void SetView(std::shared_ptr<const MembershipView> aView, TimePoint aNow);

  /// Takes an announcement that a backend server sent to this instance.
  void OnServerAnnouncement(const Announcement& aAnnouncement, TimePoint aNow);

  void OnMessage(const AnnouncementMessage& aMessage, TimePoint aNow);

  /// Call every 50 ms or so.
  void OnTick(TimePoint aNow);

  /// @return what the steps since the last call have to effect.
  AnnouncementEffects TakeEffects();

  size_t ServerCount() const { return rows_.size(); }
  /// @return the servers whose lease is held here.
  size_t LeaseCount() const { return leases_.size(); }

private:
  static constexpr size_t kBuckets = 64;

  struct StoredRow
  {
    AnnouncementRow row_;
    uint64_t nameHash_ = 0;
    /// Of the content and the incarnation, not of the sequence.
    uint64_t contentHash_ = 0;
    std::optional<TimePoint> receivedFromServerAt_;
  };
  struct Tombstone
  {
    Withdrawal withdrawal_;
    TimePoint expiresAt_;
  };
  struct Lease
  {
    TimePoint renewedAt_;
    /// 0 for the first owner.
    uint32_t rank_ = 0;
  };
  struct ZoneHashes
  {
    std::array<uint64_t, kBuckets> bucketHashes_{};
    uint64_t rowsHash_ = 0;
  };
  enum class RowResult
  {
    Changed,
    Unchanged,
    /// Withdrawn, as far as is known here.
    Withdrawn,
  };

  RowResult ApplyRow(const AnnouncementRow& aRow, TimePoint aNow);
  void Insert(const AnnouncementRow& aRow, TimePoint aNow);
  void Erase(const BackendId& aServer);
  void ToggleInHashes(const StoredRow& aRow);
  bool Withdraw(const Withdrawal& aWithdrawal, TimePoint aNow);
  void AddTombstone(const Withdrawal& aWithdrawal, TimePoint aNow);
  std::vector<InstanceId> OwnersOf(const BackendId& aServer) const;
  void UpdateAllOwnership(TimePoint aNow);
  void ScheduleEarlyCompares(TimePoint aNow);
  void UpdateOwnership(const StoredRow& aRow, TimePoint aNow);

  void HandleSpread(const AnnouncementMessage& aMessage, TimePoint aNow);
  void HandleRenewals(const AnnouncementMessage& aMessage, TimePoint aNow);
  void HandleDigests(const AnnouncementMessage& aMessage);
  void HandleBuckets(const AnnouncementMessage& aMessage);
  void HandleRows(const AnnouncementMessage& aMessage, TimePoint aNow);
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
  /// Comparisons that follow a change of the view sooner than usual.
  uint32_t earlyCompares_ = 0;
  TimePoint nextTombstoneSweepAt_{};
  AnnouncementEffects effects_;
};

} // namespace foxtail

#endif // INSTANCE_ANNOUNCEMENTSPREADSTATE_H
