#include "instance/AnnouncementSpreadState.h"

#include "instance/SpreadTree.h"
#include "policy/Placement.h"

#include <algorithm>
#include <tuple>

namespace foxtail {

namespace {

uint64_t ContentHashOf(const AnnouncementRow& aRow)
{
  const Announcement& announcement = aRow.announcement_;
  uint64_t hash = RendezvousHash(announcement.server_.Value());
  const auto mix = [&](uint64_t aValue) {
    hash = RendezvousScore(hash, aValue);
  };
  mix(announcement.incarnation_.Value());
  mix(RendezvousHash(announcement.service_.Value()));
  mix(RendezvousHash(announcement.catalogue_.Value()));
  mix(announcement.version_.Value());
  mix(announcement.shard_.Value());
  mix(announcement.shardCount_);
  mix(RendezvousHash(announcement.zone_.Value()));
  mix(RendezvousHash(announcement.address_));
  mix(announcement.slots_);
  mix(announcement.connections_);
  mix(static_cast<uint64_t>(announcement.state_));
  mix(RendezvousHash(aRow.homeZone_.Value()));
  return hash;
}

auto RevisionOf(const Announcement& aAnnouncement)
{
  return std::make_tuple(aAnnouncement.incarnation_, aAnnouncement.sequence_);
}

auto RevisionOf(const Withdrawal& aWithdrawal)
{
  return std::make_tuple(aWithdrawal.incarnation_, aWithdrawal.sequence_);
}

Withdrawal WithdrawalOf(const Announcement& aAnnouncement)
{
  return { aAnnouncement.server_,
           aAnnouncement.incarnation_,
           aAnnouncement.sequence_ };
}

} // namespace

AnnouncementSpreadState::AnnouncementSpreadState(
  AnnouncementSpreadSettings aSettings,
  InstanceId aSelf,
  ZoneName aZone,
  std::string aEndpoint,
  uint64_t aSeed)
  : settings_(aSettings)
  , self_(std::move(aSelf))
  , zone_(std::move(aZone))
  , endpoint_(std::move(aEndpoint))
  , random_(aSeed)
  , view_(std::make_shared<MembershipView>())
  , entryInstances_{ self_ }
{
}

AnnouncementMessage AnnouncementSpreadState::MakeMessage(
  AnnouncementMessageKind aKind) const
{
  AnnouncementMessage message;
  message.kind_ = aKind;
  message.endpoint_ = endpoint_;
  return message;
}

// --- rows -----------------------------------------------------------------

void AnnouncementSpreadState::ToggleInHashes(const StoredRow& aRow)
{
  ZoneHashes& zone = zoneHashes_[aRow.row_.homeZone_];
  zone.rowsHash_ ^= aRow.contentHash_;
  zone.bucketHashes_[aRow.nameHash_ % kBuckets] ^= aRow.contentHash_;
}

void AnnouncementSpreadState::Erase(const BackendId& aServer)
{
  const auto found = rows_.find(aServer);
  if (found == rows_.end()) {
    return;
  }
  ToggleInHashes(found->second);
  serversByHash_.erase(found->second.nameHash_);
  leases_.erase(aServer);
  rows_.erase(found);
}

void AnnouncementSpreadState::Insert(const AnnouncementRow& aRow,
                                     TimePoint aNow)
{
  const BackendId& server = aRow.announcement_.server_;
  std::optional<TimePoint> receivedFromServerAt;
  if (const auto found = rows_.find(server); found != rows_.end()) {
    receivedFromServerAt = found->second.receivedFromServerAt_;
    Erase(server);
  }
  tombstones_.erase(server);
  StoredRow& row = rows_[server];
  row.row_ = aRow;
  row.nameHash_ = RendezvousHash(server.Value());
  row.contentHash_ = ContentHashOf(aRow);
  row.receivedFromServerAt_ = receivedFromServerAt;
  serversByHash_[row.nameHash_] = server;
  ToggleInHashes(row);
  UpdateOwnership(row, aNow);
}

AnnouncementSpreadState::RowResult AnnouncementSpreadState::ApplyRow(
  const AnnouncementRow& aRow,
  TimePoint aNow)
{
  const Announcement& announcement = aRow.announcement_;
  const auto tombstone = tombstones_.find(announcement.server_);
  if (tombstone != tombstones_.end() &&
      RevisionOf(announcement) <= RevisionOf(tombstone->second.withdrawal_)) {
    return RowResult::Withdrawn;
  }
  const auto found = rows_.find(announcement.server_);
  if (found != rows_.end()) {
    AnnouncementRow& stored = found->second.row_;
    if (!announcement.IsNewerThan(stored.announcement_)) {
      return RowResult::Unchanged;
    }
    if (ContentHashOf(aRow) == found->second.contentHash_) {
      stored.announcement_.sequence_ = announcement.sequence_;
      return RowResult::Unchanged;
    }
  }
  if (announcement.state_ == BackendState::Gone) {
    const bool wasStored = found != rows_.end();
    Erase(announcement.server_);
    AddTombstone(WithdrawalOf(announcement), aNow);
    return wasStored ? RowResult::Changed : RowResult::Unchanged;
  }
  Insert(aRow, aNow);
  return RowResult::Changed;
}

void AnnouncementSpreadState::AddTombstone(const Withdrawal& aWithdrawal,
                                           TimePoint aNow)
{
  tombstones_[aWithdrawal.server_] = { aWithdrawal,
                                       aNow + settings_.tombstoneRetention_ };
}

bool AnnouncementSpreadState::Withdraw(const Withdrawal& aWithdrawal,
                                       TimePoint aNow)
{
  const auto found = rows_.find(aWithdrawal.server_);
  if (found == rows_.end()) {
    const auto tombstone = tombstones_.find(aWithdrawal.server_);
    if (tombstone == tombstones_.end() ||
        RevisionOf(tombstone->second.withdrawal_) < RevisionOf(aWithdrawal)) {
      AddTombstone(aWithdrawal, aNow);
    }
    return false;
  }
  const StoredRow& row = found->second;
  if (RevisionOf(row.row_.announcement_) > RevisionOf(aWithdrawal)) {
    // The server announced itself after the withdrawal, to this instance or to
    // an owner. Its row is spread again, to correct the other instances.
    const auto lease = leases_.find(aWithdrawal.server_);
    const bool wasRenewedRecently =
      (row.receivedFromServerAt_ &&
       aNow - *row.receivedFromServerAt_ < settings_.lease_) ||
      (lease != leases_.end() &&
       aNow - lease->second.renewedAt_ < settings_.lease_);
    if (wasRenewedRecently) {
      pendingRows_.insert(aWithdrawal.server_);
    }
    return false;
  }
  Erase(aWithdrawal.server_);
  AddTombstone(aWithdrawal, aNow);
  effects_.withdrawn_.push_back(aWithdrawal);
  return true;
}

// --- owners ---------------------------------------------------------------

std::vector<InstanceId> AnnouncementSpreadState::OwnersOf(
  const BackendId& aServer) const
{
  return ChooseOwners(
    aServer.Value(), entryInstances_, settings_.ownersPerServer_);
}

void AnnouncementSpreadState::UpdateOwnership(const StoredRow& aRow,
                                              TimePoint aNow)
{
  const BackendId& server = aRow.row_.announcement_.server_;
  if (aRow.row_.homeZone_ != zone_) {
    leases_.erase(server);
    return;
  }
  const auto owners = OwnersOf(server);
  const auto found = std::find(owners.begin(), owners.end(), self_);
  if (found == owners.end()) {
    leases_.erase(server);
    return;
  }
  const auto rank = static_cast<uint32_t>(found - owners.begin());
  const auto lease = leases_.try_emplace(server, Lease{ aNow, rank });
  lease.first->second.rank_ = rank;
}

void AnnouncementSpreadState::UpdateAllOwnership(TimePoint aNow)
{
  for (const auto& row : rows_) {
    UpdateOwnership(row.second, aNow);
  }
}

void AnnouncementSpreadState::SetView(
  std::shared_ptr<const MembershipView> aView,
  TimePoint aNow)
{
  view_ = std::move(aView);
  std::vector<InstanceId> entries = view_->OwnZoneEntryNames();
  if (entries.empty()) {
    entries.push_back(self_);
  }
  std::vector<ZoneName> zones;
  for (const ZoneSummary& zone : view_->zones_) {
    if (zone.isReachable_) {
      zones.push_back(zone.zone_);
    }
  }
  if (zones != reachableZones_ || entries != entryInstances_) {
    reachableZones_ = std::move(zones);
    ScheduleEarlyCompares(aNow);
  }
  if (entries == entryInstances_) {
    return;
  }
  entryInstances_ = std::move(entries);
  UpdateAllOwnership(aNow);
}

void AnnouncementSpreadState::ScheduleEarlyCompares(TimePoint aNow)
{
  earlyCompares_ = settings_.earlyCompares_;
  nextCompareAt_ =
    std::min(nextCompareAt_, aNow + settings_.earlyCompareInterval_);
}

void AnnouncementSpreadState::CheckLeases(TimePoint aNow)
{
  std::vector<Withdrawal> expired;
  for (const auto& [server, lease] : leases_) {
    const Duration limit =
      settings_.lease_ + settings_.leaseStep_ * lease.rank_;
    if (aNow - lease.renewedAt_ > limit) {
      expired.push_back(WithdrawalOf(rows_.at(server).row_.announcement_));
    }
  }
  for (const Withdrawal& withdrawal : expired) {
    Withdraw(withdrawal, aNow);
    pendingWithdrawals_.push_back(withdrawal);
  }
}

// --- events ---------------------------------------------------------------

void AnnouncementSpreadState::OnServerAnnouncement(
  const Announcement& aAnnouncement,
  TimePoint aNow)
{
  const AnnouncementRow row{ aAnnouncement, zone_ };
  if (ApplyRow(row, aNow) == RowResult::Changed) {
    pendingRows_.insert(aAnnouncement.server_);
    if (aAnnouncement.state_ == BackendState::Gone) {
      pendingRows_.erase(aAnnouncement.server_);
      pendingWithdrawals_.push_back(WithdrawalOf(aAnnouncement));
    }
  } else {
    pendingRenewals_.insert(aAnnouncement.server_);
  }
  const auto found = rows_.find(aAnnouncement.server_);
  if (found != rows_.end()) {
    found->second.receivedFromServerAt_ = aNow;
  }
  const auto lease = leases_.find(aAnnouncement.server_);
  if (lease != leases_.end()) {
    lease->second.renewedAt_ = aNow;
  }
}

void AnnouncementSpreadState::OnMessage(const AnnouncementMessage& aMessage,
                                        TimePoint aNow)
{
  switch (aMessage.kind_) {
    case AnnouncementMessageKind::Spread:
      HandleSpread(aMessage, aNow);
      break;
    case AnnouncementMessageKind::Renewals:
      HandleRenewals(aMessage, aNow);
      break;
    case AnnouncementMessageKind::Digests:
      HandleDigests(aMessage);
      break;
    case AnnouncementMessageKind::Buckets:
      HandleBuckets(aMessage);
      break;
    case AnnouncementMessageKind::Rows:
      HandleRows(aMessage, aNow);
      break;
  }
}

void AnnouncementSpreadState::OnTick(TimePoint aNow)
{
  CheckLeases(aNow);
  FlushChanges();
  if (aNow >= nextRenewAt_) {
    nextRenewAt_ = aNow + settings_.renewInterval_;
    FlushRenewals();
  }
  if (aNow >= nextRegistryRenewAt_) {
    nextRegistryRenewAt_ = aNow + settings_.registryRenewInterval_;
    RenewInRegistry();
  }
  if (aNow >= nextCompareAt_) {
    const bool isEarly = earlyCompares_ > 0;
    earlyCompares_ -= isEarly ? 1 : 0;
    const auto interval = static_cast<uint64_t>(
      (isEarly ? settings_.earlyCompareInterval_ : settings_.compareInterval_)
        .count());
    nextCompareAt_ =
      aNow + milliseconds(interval / 2 + random_.NextBelow(interval));
    SendDigests();
  }
  if (aNow >= nextTombstoneSweepAt_) {
    nextTombstoneSweepAt_ = aNow + seconds(1);
    std::erase_if(tombstones_, [&](const auto& aEntry) {
      return aNow > aEntry.second.expiresAt_;
    });
  }
}

AnnouncementEffects AnnouncementSpreadState::TakeEffects()
{
  return std::exchange(effects_, {});
}

void AnnouncementSpreadState::RenewInRegistry()
{
  // The owners in a zone withdraw its servers. Withdrawals by the owners of
  // another zone do not arrive while that zone is unreachable, so the leases of
  // its servers are not renewed then.
  std::set<ZoneName> renewedZones{ zone_ };
  for (const ZoneSummary& zone : view_->zones_) {
    if (zone.isReachable_) {
      renewedZones.insert(zone.zone_);
    }
  }
  for (const auto& row : rows_) {
    if (renewedZones.contains(row.second.row_.homeZone_)) {
      effects_.renewed_.push_back(row.second.row_.announcement_);
    }
  }
}

// --- dissemination --------------------------------------------------------

void AnnouncementSpreadState::SendRows(
  AnnouncementMessageKind aKind,
  const std::string& aTo,
  const InstanceId& aOrigin,
  const std::vector<AnnouncementRow>& aRows,
  const std::vector<Withdrawal>& aWithdrawals)
{
  size_t begin = 0;
  do {
    const size_t end =
      std::min(begin + settings_.maxRowsPerMessage_, aRows.size());
    AnnouncementMessage message = MakeMessage(aKind);
    message.origin_ = aOrigin;
    message.rows_.assign(aRows.begin() + static_cast<std::ptrdiff_t>(begin),
                         aRows.begin() + static_cast<std::ptrdiff_t>(end));
    if (begin == 0) {
      message.withdrawals_ = aWithdrawals;
    }
    effects_.messages_.push_back({ aTo, std::move(message) });
    begin = end;
  } while (begin < aRows.size());
}

void AnnouncementSpreadState::ForwardToChildren(
  const InstanceId& aOrigin,
  const std::vector<AnnouncementRow>& aRows,
  const std::vector<Withdrawal>& aWithdrawals)
{
  if (aRows.empty() && aWithdrawals.empty()) {
    return;
  }
  for (const Member* child :
       TreeChildren(aOrigin, self_, view_->members_, settings_.fanOut_)) {
    SendRows(AnnouncementMessageKind::Spread,
             child->endpoint_,
             aOrigin,
             aRows,
             aWithdrawals);
  }
}

void AnnouncementSpreadState::FlushChanges()
{
  std::vector<AnnouncementRow> rows;
  for (const BackendId& server : pendingRows_) {
    const auto found = rows_.find(server);
    if (found != rows_.end()) {
      rows.push_back(found->second.row_);
    }
  }
  pendingRows_.clear();
  const auto withdrawals = std::exchange(pendingWithdrawals_, {});
  if (rows.empty() && withdrawals.empty()) {
    return;
  }
  ForwardToChildren(self_, rows, withdrawals);
  for (const ZoneSummary& zone : view_->zones_) {
    if (zone.delegates_.empty()) {
      continue;
    }
    const size_t index = random_.NextBelow(zone.delegates_.size());
    SendRows(AnnouncementMessageKind::Spread,
             zone.delegates_[index].endpoint_,
             InstanceId(),
             rows,
             withdrawals);
  }
}

void AnnouncementSpreadState::HandleSpread(const AnnouncementMessage& aMessage,
                                           TimePoint aNow)
{
  std::vector<AnnouncementRow> rows;
  std::vector<Withdrawal> withdrawals;
  for (const AnnouncementRow& row : aMessage.rows_) {
    if (ApplyRow(row, aNow) == RowResult::Changed) {
      rows.push_back(row);
      effects_.changed_.push_back(row.announcement_);
    }
  }
  for (const Withdrawal& withdrawal : aMessage.withdrawals_) {
    if (Withdraw(withdrawal, aNow)) {
      withdrawals.push_back(withdrawal);
    }
  }
  // Rows and withdrawals that were stored before have been forwarded already.
  ForwardToChildren(aMessage.origin_.Value().empty() ? self_ : aMessage.origin_,
                    rows,
                    withdrawals);
}

// --- leases ---------------------------------------------------------------

void AnnouncementSpreadState::FlushRenewals()
{
  std::map<InstanceId, std::vector<Renewal>> byOwner;
  for (const BackendId& server : pendingRenewals_) {
    const auto found = rows_.find(server);
    if (found == rows_.end()) {
      continue;
    }
    const StoredRow& row = found->second;
    for (const InstanceId& owner : OwnersOf(server)) {
      if (owner != self_) {
        byOwner[owner].push_back({ row.nameHash_,
                                   row.row_.announcement_.incarnation_,
                                   row.row_.announcement_.sequence_,
                                   row.contentHash_ });
      }
    }
  }
  pendingRenewals_.clear();
  for (auto& [owner, renewals] : byOwner) {
    const Member* member = view_->Find(owner);
    if (member == nullptr) {
      continue;
    }
    AnnouncementMessage message =
      MakeMessage(AnnouncementMessageKind::Renewals);
    // Renewals get no reply, so the sender's endpoint is left out to save
    // bytes.
    message.endpoint_.clear();
    message.renewals_ = std::move(renewals);
    effects_.messages_.push_back({ member->endpoint_, std::move(message) });
  }
}

void AnnouncementSpreadState::HandleRenewals(
  const AnnouncementMessage& aMessage,
  TimePoint aNow)
{
  for (const Renewal& renewal : aMessage.renewals_) {
    const auto server = serversByHash_.find(renewal.nameHash_);
    if (server == serversByHash_.end()) {
      continue;
    }
    Announcement& stored = rows_.at(server->second).row_.announcement_;
    if (renewal.incarnation_ != stored.incarnation_) {
      continue;
    }
    if (renewal.sequence_ <= stored.sequence_) {
      continue;
    }
    // A renewal may overtake the change that it follows. It must not give its
    // sequence to the content of before, which would then outrank the change.
    if (renewal.contentHash_ == rows_.at(server->second).contentHash_) {
      stored.sequence_ = renewal.sequence_;
    }
    const auto lease = leases_.find(server->second);
    if (lease != leases_.end()) {
      lease->second.renewedAt_ = aNow;
    }
  }
}

// --- anti-entropy ---------------------------------------------------------

bool AnnouncementSpreadState::IsOwnZoneMember(
  const std::string& aEndpoint) const
{
  return std::any_of(
    view_->members_.begin(), view_->members_.end(), [&](const Member& aMember) {
      return aMember.endpoint_ == aEndpoint;
    });
}

void AnnouncementSpreadState::SendDigests()
{
  std::vector<std::string> peers;
  // Delegates of the zone, chosen in the same way by the membership.
  bool isDelegateLikely = false;
  const auto owners = ChooseOwners(zone_.Value(), entryInstances_, 3);
  isDelegateLikely =
    std::find(owners.begin(), owners.end(), self_) != owners.end();
  for (const Member& member : view_->members_) {
    if (member.instance_ != self_ && member.role_ == InstanceRole::Entry) {
      peers.push_back(member.endpoint_);
    }
  }
  std::vector<std::string> targets;
  if (!peers.empty()) {
    targets.push_back(peers[random_.NextBelow(peers.size())]);
  }
  if (isDelegateLikely && !view_->zones_.empty()) {
    const ZoneSummary& zone =
      view_->zones_[random_.NextBelow(view_->zones_.size())];
    if (!zone.delegates_.empty()) {
      targets.push_back(
        zone.delegates_[random_.NextBelow(zone.delegates_.size())].endpoint_);
    }
  }
  AnnouncementMessage message = MakeMessage(AnnouncementMessageKind::Digests);
  for (const auto& [zone, rows] : zoneHashes_) {
    message.digests_.push_back(
      { RendezvousHash(zone.Value()), rows.rowsHash_ });
  }
  for (const std::string& target : targets) {
    effects_.messages_.push_back({ target, message });
  }
}

void AnnouncementSpreadState::HandleDigests(const AnnouncementMessage& aMessage)
{
  std::unordered_map<uint64_t, uint64_t> peerHashes;
  for (const ZoneDigest& digest : aMessage.digests_) {
    peerHashes[digest.zoneHash_] = digest.rowsHash_;
  }
  for (const auto& [zone, rows] : zoneHashes_) {
    const auto found = peerHashes.find(RendezvousHash(zone.Value()));
    const uint64_t peerHash = found == peerHashes.end() ? 0 : found->second;
    if (peerHash == rows.rowsHash_) {
      continue;
    }
    AnnouncementMessage reply = MakeMessage(AnnouncementMessageKind::Buckets);
    reply.zone_ = zone;
    reply.bucketHashes_.assign(rows.bucketHashes_.begin(),
                               rows.bucketHashes_.end());
    effects_.messages_.push_back({ aMessage.endpoint_, std::move(reply) });
  }
}

std::vector<AnnouncementRow> AnnouncementSpreadState::RowsOf(
  const ZoneName& aZone,
  uint64_t aBuckets) const
{
  std::vector<AnnouncementRow> rows;
  for (const auto& entry : rows_) {
    const StoredRow& row = entry.second;
    const bool isWanted =
      ((aBuckets >> (row.nameHash_ % kBuckets)) & uint64_t{ 1 }) != 0;
    if (row.row_.homeZone_ == aZone && isWanted) {
      rows.push_back(row.row_);
    }
  }
  return rows;
}

void AnnouncementSpreadState::HandleBuckets(const AnnouncementMessage& aMessage)
{
  if (aMessage.bucketHashes_.size() != kBuckets) {
    return;
  }
  const ZoneHashes& ownHashes = zoneHashes_[aMessage.zone_];
  uint64_t differing = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    if (ownHashes.bucketHashes_[i] != aMessage.bucketHashes_[i]) {
      differing |= uint64_t{ 1 } << i;
    }
  }
  if (differing == 0) {
    return;
  }
  SendRows(AnnouncementMessageKind::Rows,
           aMessage.endpoint_,
           InstanceId(),
           RowsOf(aMessage.zone_, differing),
           {});
  AnnouncementMessage& lastMessage = effects_.messages_.back().message_;
  lastMessage.zone_ = aMessage.zone_;
  lastMessage.wantedBuckets_ = differing;
}

void AnnouncementSpreadState::ReplyToWithdrawnRow(const AnnouncementRow& aRow,
                                                  const std::string& aFrom)
{
  const BackendId& server = aRow.announcement_.server_;
  const bool isOwnZone = aRow.homeZone_ == zone_;
  const auto owners = isOwnZone ? OwnersOf(server) : std::vector<InstanceId>();
  const bool isOwner =
    std::find(owners.begin(), owners.end(), self_) != owners.end();
  if (isOwner || (isOwnZone && !IsOwnZoneMember(aFrom))) {
    SendRows(AnnouncementMessageKind::Rows,
             aFrom,
             InstanceId(),
             {},
             { tombstones_.at(server).withdrawal_ });
    return;
  }
  // Only an owner can decide whether the server is withdrawn. It gets the row
  // twice, and so replies both to this instance and to the sender of the row.
  const Member* owner = owners.empty() ? nullptr : view_->Find(owners.front());
  if (owner != nullptr) {
    AnnouncementMessage query = MakeMessage(AnnouncementMessageKind::Rows);
    query.rows_.push_back(aRow);
    effects_.messages_.push_back({ owner->endpoint_, query });
    query.endpoint_ = aFrom;
    effects_.messages_.push_back({ owner->endpoint_, std::move(query) });
  }
}

void AnnouncementSpreadState::HandleRows(const AnnouncementMessage& aMessage,
                                         TimePoint aNow)
{
  std::vector<AnnouncementRow> changed;
  std::vector<AnnouncementRow> newer;
  for (const AnnouncementRow& row : aMessage.rows_) {
    switch (ApplyRow(row, aNow)) {
      case RowResult::Changed:
        changed.push_back(row);
        effects_.changed_.push_back(row.announcement_);
        break;
      case RowResult::Withdrawn:
        ReplyToWithdrawnRow(row, aMessage.endpoint_);
        break;
      case RowResult::Unchanged: {
        const auto stored = rows_.find(row.announcement_.server_);
        if (stored != rows_.end() &&
            stored->second.row_.announcement_.IsNewerThan(row.announcement_)) {
          newer.push_back(stored->second.row_);
        }
        break;
      }
    }
  }
  std::vector<Withdrawal> withdrawals;
  for (const Withdrawal& withdrawal : aMessage.withdrawals_) {
    if (Withdraw(withdrawal, aNow)) {
      withdrawals.push_back(withdrawal);
    }
  }
  if (aMessage.wantedBuckets_ != 0) {
    SendRows(AnnouncementMessageKind::Rows,
             aMessage.endpoint_,
             InstanceId(),
             RowsOf(aMessage.zone_, aMessage.wantedBuckets_),
             {});
  } else if (!newer.empty()) {
    SendRows(AnnouncementMessageKind::Rows,
             aMessage.endpoint_,
             InstanceId(),
             newer,
             {});
  }
  // Changes received from another zone are forwarded in this zone.
  if (!IsOwnZoneMember(aMessage.endpoint_)) {
    ForwardToChildren(self_, changed, withdrawals);
  }
}

} // namespace foxtail
