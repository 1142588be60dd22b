#include "instance/AnnouncementSpreadState.h"

#include "instance/SpreadTree.h"
#include "policy/Placement.h"

#include <algorithm>
#include <tuple>

namespace foxtail {

namespace {

uint64_t HashOf(const SpreadRow& aRow)
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

auto AgeOf(const Announcement& aAnnouncement)
{
  return std::make_tuple(aAnnouncement.incarnation_, aAnnouncement.sequence_);
}

auto AgeOf(const Withdrawal& aWithdrawal)
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
  , entries_{ self_ }
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

void AnnouncementSpreadState::Flip(const Row& aRow)
{
  ZoneRows& zone = zoneRows_[aRow.row_.homeZone_];
  zone.total_ ^= aRow.rowHash_;
  zone.buckets_[aRow.nameHash_ % kBuckets] ^= aRow.rowHash_;
}

void AnnouncementSpreadState::Erase(const BackendId& aServer)
{
  const auto found = rows_.find(aServer);
  if (found == rows_.end()) {
    return;
  }
  Flip(found->second);
  namesByHash_.erase(found->second.nameHash_);
  owned_.erase(aServer);
  rows_.erase(found);
}

void AnnouncementSpreadState::Insert(const SpreadRow& aRow, TimePoint aNow)
{
  const BackendId& server = aRow.announcement_.server_;
  std::optional<TimePoint> directAt;
  if (const auto found = rows_.find(server); found != rows_.end()) {
    directAt = found->second.directAt_;
    Erase(server);
  }
  tombstones_.erase(server);
  Row& row = rows_[server];
  row.row_ = aRow;
  row.nameHash_ = RendezvousHash(server.Value());
  row.rowHash_ = HashOf(aRow);
  row.directAt_ = directAt;
  namesByHash_[row.nameHash_] = server;
  Flip(row);
  Own(row, aNow);
}

AnnouncementSpreadState::Adoption AnnouncementSpreadState::Adopt(
  const SpreadRow& aRow,
  TimePoint aNow)
{
  const Announcement& announcement = aRow.announcement_;
  const auto tombstone = tombstones_.find(announcement.server_);
  if (tombstone != tombstones_.end() &&
      AgeOf(announcement) <= AgeOf(tombstone->second.withdrawal_)) {
    return Adoption::Refused;
  }
  const auto found = rows_.find(announcement.server_);
  if (found != rows_.end()) {
    SpreadRow& known = found->second.row_;
    if (!announcement.IsNewerThan(known.announcement_)) {
      return Adoption::Known;
    }
    if (HashOf(aRow) == found->second.rowHash_) {
      known.announcement_.sequence_ = announcement.sequence_;
      return Adoption::Known;
    }
  }
  if (announcement.state_ == BackendState::Gone) {
    const bool wasKnown = found != rows_.end();
    Erase(announcement.server_);
    Bury(WithdrawalOf(announcement), aNow);
    return wasKnown ? Adoption::News : Adoption::Known;
  }
  Insert(aRow, aNow);
  return Adoption::News;
}

void AnnouncementSpreadState::Bury(const Withdrawal& aWithdrawal,
                                   TimePoint aNow)
{
  tombstones_[aWithdrawal.server_] = { aWithdrawal, aNow + settings_.memory_ };
}

bool AnnouncementSpreadState::Withdraw(const Withdrawal& aWithdrawal,
                                       TimePoint aNow)
{
  const auto found = rows_.find(aWithdrawal.server_);
  if (found == rows_.end()) {
    const auto tombstone = tombstones_.find(aWithdrawal.server_);
    if (tombstone == tombstones_.end() ||
        AgeOf(tombstone->second.withdrawal_) < AgeOf(aWithdrawal)) {
      Bury(aWithdrawal, aNow);
    }
    return false;
  }
  const Row& row = found->second;
  if (AgeOf(row.row_.announcement_) > AgeOf(aWithdrawal)) {
    // Heard since, here or by an owner: the others have to be told.
    const auto lease = owned_.find(aWithdrawal.server_);
    const bool isHeard =
      (row.directAt_ && aNow - *row.directAt_ < settings_.lease_) ||
      (lease != owned_.end() &&
       aNow - lease->second.heardAt_ < settings_.lease_);
    if (isHeard) {
      pendingRows_.insert(aWithdrawal.server_);
    }
    return false;
  }
  Erase(aWithdrawal.server_);
  Bury(aWithdrawal, aNow);
  effects_.withdrawn_.push_back(aWithdrawal);
  return true;
}

// --- owners ---------------------------------------------------------------

std::vector<InstanceId> AnnouncementSpreadState::OwnersOf(
  const BackendId& aServer) const
{
  return ChooseOwners(aServer.Value(), entries_, settings_.owners_);
}

void AnnouncementSpreadState::Own(const Row& aRow, TimePoint aNow)
{
  const BackendId& server = aRow.row_.announcement_.server_;
  if (aRow.row_.homeZone_ != zone_) {
    owned_.erase(server);
    return;
  }
  const auto owners = OwnersOf(server);
  const auto found = std::find(owners.begin(), owners.end(), self_);
  if (found == owners.end()) {
    owned_.erase(server);
    return;
  }
  const auto rank = static_cast<uint32_t>(found - owners.begin());
  const auto lease = owned_.try_emplace(server, Lease{ aNow, rank });
  lease.first->second.rank_ = rank;
}

void AnnouncementSpreadState::UpdateOwned(TimePoint aNow)
{
  for (const auto& row : rows_) {
    Own(row.second, aNow);
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
  if (zones != reachableZones_ || entries != entries_) {
    reachableZones_ = std::move(zones);
    CompareSoon(aNow);
  }
  if (entries == entries_) {
    return;
  }
  entries_ = std::move(entries);
  UpdateOwned(aNow);
}

void AnnouncementSpreadState::CompareSoon(TimePoint aNow)
{
  soonCompares_ = settings_.soonCompares_;
  nextCompareAt_ = std::min(nextCompareAt_, aNow + settings_.soonInterval_);
}

void AnnouncementSpreadState::CheckLeases(TimePoint aNow)
{
  std::vector<Withdrawal> lapsed;
  for (const auto& [server, lease] : owned_) {
    const Duration limit =
      settings_.lease_ + settings_.leaseStep_ * lease.rank_;
    if (aNow - lease.heardAt_ > limit) {
      lapsed.push_back(WithdrawalOf(rows_.at(server).row_.announcement_));
    }
  }
  for (const Withdrawal& withdrawal : lapsed) {
    Withdraw(withdrawal, aNow);
    pendingWithdrawals_.push_back(withdrawal);
  }
}

// --- steps ----------------------------------------------------------------

void AnnouncementSpreadState::OnDirect(const Announcement& aAnnouncement,
                                       TimePoint aNow)
{
  const SpreadRow row{ aAnnouncement, zone_ };
  if (Adopt(row, aNow) == Adoption::News) {
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
    found->second.directAt_ = aNow;
  }
  const auto lease = owned_.find(aAnnouncement.server_);
  if (lease != owned_.end()) {
    lease->second.heardAt_ = aNow;
  }
}

void AnnouncementSpreadState::OnMessage(const AnnouncementMessage& aMessage,
                                        TimePoint aNow)
{
  switch (aMessage.kind_) {
    case AnnouncementMessageKind::Spread:
      TakeSpread(aMessage, aNow);
      break;
    case AnnouncementMessageKind::Renewals:
      TakeRenewals(aMessage, aNow);
      break;
    case AnnouncementMessageKind::Compare:
      TakeCompare(aMessage);
      break;
    case AnnouncementMessageKind::Buckets:
      TakeBuckets(aMessage);
      break;
    case AnnouncementMessageKind::Rows:
      TakeRows(aMessage, aNow);
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
  if (aNow >= nextVouchAt_) {
    nextVouchAt_ = aNow + settings_.vouchInterval_;
    Vouch();
  }
  if (aNow >= nextCompareAt_) {
    const bool isSoon = soonCompares_ > 0;
    soonCompares_ -= isSoon ? 1 : 0;
    const auto interval = static_cast<uint64_t>(
      (isSoon ? settings_.soonInterval_ : settings_.compareInterval_).count());
    nextCompareAt_ =
      aNow + milliseconds(interval / 2 + random_.Below(interval));
    Compare();
  }
  if (aNow >= nextForgetAt_) {
    nextForgetAt_ = aNow + seconds(1);
    std::erase_if(tombstones_, [&](const auto& aEntry) {
      return aNow > aEntry.second.forgetAt_;
    });
  }
}

AnnouncementEffects AnnouncementSpreadState::TakeEffects()
{
  return std::exchange(effects_, {});
}

void AnnouncementSpreadState::Vouch()
{
  // The owners of this zone say when a lease runs out; of another zone no word
  // can come while it cannot be reached.
  std::set<ZoneName> vouchedZones{ zone_ };
  for (const ZoneSummary& zone : view_->zones_) {
    if (zone.isReachable_) {
      vouchedZones.insert(zone.zone_);
    }
  }
  for (const auto& row : rows_) {
    if (vouchedZones.contains(row.second.row_.homeZone_)) {
      effects_.vouched_.push_back(row.second.row_.announcement_);
    }
  }
}

// --- changes --------------------------------------------------------------

void AnnouncementSpreadState::SendRows(
  AnnouncementMessageKind aKind,
  const std::string& aTo,
  const InstanceId& aOrigin,
  const std::vector<SpreadRow>& aRows,
  const std::vector<Withdrawal>& aWithdrawals)
{
  size_t begin = 0;
  do {
    const size_t end = std::min(begin + settings_.maxRows_, aRows.size());
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

void AnnouncementSpreadState::ForwardDown(
  const InstanceId& aOrigin,
  const std::vector<SpreadRow>& aRows,
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
  std::vector<SpreadRow> rows;
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
  ForwardDown(self_, rows, withdrawals);
  for (const ZoneSummary& zone : view_->zones_) {
    if (zone.delegates_.empty()) {
      continue;
    }
    const size_t index = random_.Below(zone.delegates_.size());
    SendRows(AnnouncementMessageKind::Spread,
             zone.delegates_[index].endpoint_,
             InstanceId(),
             rows,
             withdrawals);
  }
}

void AnnouncementSpreadState::TakeSpread(const AnnouncementMessage& aMessage,
                                         TimePoint aNow)
{
  std::vector<SpreadRow> rows;
  std::vector<Withdrawal> withdrawals;
  for (const SpreadRow& row : aMessage.rows_) {
    if (Adopt(row, aNow) == Adoption::News) {
      rows.push_back(row);
      effects_.changed_.push_back(row.announcement_);
    }
  }
  for (const Withdrawal& withdrawal : aMessage.withdrawals_) {
    if (Withdraw(withdrawal, aNow)) {
      withdrawals.push_back(withdrawal);
    }
  }
  // What was known already has gone down another branch.
  ForwardDown(aMessage.origin_.Value().empty() ? self_ : aMessage.origin_,
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
    const Row& row = found->second;
    for (const InstanceId& owner : OwnersOf(server)) {
      if (owner != self_) {
        byOwner[owner].push_back({ row.nameHash_,
                                   row.row_.announcement_.incarnation_,
                                   row.row_.announcement_.sequence_ });
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
    // Nothing is answered: the endpoint would only take bytes.
    message.endpoint_.clear();
    message.renewals_ = std::move(renewals);
    effects_.messages_.push_back({ member->endpoint_, std::move(message) });
  }
}

void AnnouncementSpreadState::TakeRenewals(const AnnouncementMessage& aMessage,
                                           TimePoint aNow)
{
  for (const Renewal& renewal : aMessage.renewals_) {
    const auto name = namesByHash_.find(renewal.nameHash_);
    if (name == namesByHash_.end()) {
      continue;
    }
    Announcement& known = rows_.at(name->second).row_.announcement_;
    if (renewal.incarnation_ != known.incarnation_) {
      continue;
    }
    if (renewal.sequence_ <= known.sequence_) {
      continue;
    }
    known.sequence_ = renewal.sequence_;
    const auto lease = owned_.find(name->second);
    if (lease != owned_.end()) {
      lease->second.heardAt_ = aNow;
    }
  }
}

// --- repair ---------------------------------------------------------------

bool AnnouncementSpreadState::IsOwnMember(const std::string& aEndpoint) const
{
  return std::any_of(
    view_->members_.begin(), view_->members_.end(), [&](const Member& aMember) {
      return aMember.endpoint_ == aEndpoint;
    });
}

void AnnouncementSpreadState::Compare()
{
  std::vector<std::string> peers;
  bool isDelegateLikely = false;
  const auto owners = ChooseOwners(zone_.Value(), entries_, 3);
  isDelegateLikely =
    std::find(owners.begin(), owners.end(), self_) != owners.end();
  for (const Member& member : view_->members_) {
    if (member.instance_ != self_ && member.role_ == InstanceRole::Entry) {
      peers.push_back(member.endpoint_);
    }
  }
  std::vector<std::string> targets;
  if (!peers.empty()) {
    targets.push_back(peers[random_.Below(peers.size())]);
  }
  if (isDelegateLikely && !view_->zones_.empty()) {
    const ZoneSummary& zone =
      view_->zones_[random_.Below(view_->zones_.size())];
    if (!zone.delegates_.empty()) {
      targets.push_back(
        zone.delegates_[random_.Below(zone.delegates_.size())].endpoint_);
    }
  }
  AnnouncementMessage message = MakeMessage(AnnouncementMessageKind::Compare);
  for (const auto& [zone, rows] : zoneRows_) {
    message.hashes_.push_back({ RendezvousHash(zone.Value()), rows.total_ });
  }
  for (const std::string& target : targets) {
    effects_.messages_.push_back({ target, message });
  }
}

void AnnouncementSpreadState::TakeCompare(const AnnouncementMessage& aMessage)
{
  std::unordered_map<uint64_t, uint64_t> theirs;
  for (const ZoneRowsHash& hash : aMessage.hashes_) {
    theirs[hash.zone_] = hash.rows_;
  }
  for (const auto& [zone, rows] : zoneRows_) {
    const auto found = theirs.find(RendezvousHash(zone.Value()));
    const uint64_t total = found == theirs.end() ? 0 : found->second;
    if (total == rows.total_) {
      continue;
    }
    AnnouncementMessage reply = MakeMessage(AnnouncementMessageKind::Buckets);
    reply.zone_ = zone;
    reply.buckets_.assign(rows.buckets_.begin(), rows.buckets_.end());
    effects_.messages_.push_back({ aMessage.endpoint_, std::move(reply) });
  }
}

std::vector<SpreadRow> AnnouncementSpreadState::RowsOf(const ZoneName& aZone,
                                                       uint64_t aBuckets) const
{
  std::vector<SpreadRow> rows;
  for (const auto& entry : rows_) {
    const Row& row = entry.second;
    const bool isWanted =
      ((aBuckets >> (row.nameHash_ % kBuckets)) & uint64_t{ 1 }) != 0;
    if (row.row_.homeZone_ == aZone && isWanted) {
      rows.push_back(row.row_);
    }
  }
  return rows;
}

void AnnouncementSpreadState::TakeBuckets(const AnnouncementMessage& aMessage)
{
  if (aMessage.buckets_.size() != kBuckets) {
    return;
  }
  const ZoneRows& own = zoneRows_[aMessage.zone_];
  uint64_t differing = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    if (own.buckets_[i] != aMessage.buckets_[i]) {
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
  AnnouncementMessage& last = effects_.messages_.back().message_;
  last.zone_ = aMessage.zone_;
  last.wantedBuckets_ = differing;
}

void AnnouncementSpreadState::AnswerRefused(const SpreadRow& aRow,
                                            const std::string& aFrom)
{
  const BackendId& server = aRow.announcement_.server_;
  const bool isHome = aRow.homeZone_ == zone_;
  const auto owners = isHome ? OwnersOf(server) : std::vector<InstanceId>();
  const bool isOwner =
    std::find(owners.begin(), owners.end(), self_) != owners.end();
  if (isOwner || (isHome && !IsOwnMember(aFrom))) {
    SendRows(AnnouncementMessageKind::Rows,
             aFrom,
             InstanceId(),
             {},
             { tombstones_.at(server).withdrawal_ });
    return;
  }
  // Only an owner knows which of the two is right: it tells both.
  const Member* owner = owners.empty() ? nullptr : view_->Find(owners.front());
  if (owner != nullptr) {
    AnnouncementMessage question = MakeMessage(AnnouncementMessageKind::Rows);
    question.rows_.push_back(aRow);
    effects_.messages_.push_back({ owner->endpoint_, question });
    question.endpoint_ = aFrom;
    effects_.messages_.push_back({ owner->endpoint_, std::move(question) });
  }
}

void AnnouncementSpreadState::TakeRows(const AnnouncementMessage& aMessage,
                                       TimePoint aNow)
{
  std::vector<SpreadRow> news;
  std::vector<SpreadRow> newer;
  for (const SpreadRow& row : aMessage.rows_) {
    switch (Adopt(row, aNow)) {
      case Adoption::News:
        news.push_back(row);
        effects_.changed_.push_back(row.announcement_);
        break;
      case Adoption::Refused:
        AnswerRefused(row, aMessage.endpoint_);
        break;
      case Adoption::Known: {
        const auto known = rows_.find(row.announcement_.server_);
        if (known != rows_.end() &&
            known->second.row_.announcement_.IsNewerThan(row.announcement_)) {
          newer.push_back(known->second.row_);
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
  // What came from another zone is news to this one.
  if (!IsOwnMember(aMessage.endpoint_)) {
    ForwardDown(self_, news, withdrawals);
  }
}

} // namespace foxtail
