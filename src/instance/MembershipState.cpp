#include "instance/MembershipState.h"

#include "policy/Placement.h"

#include <algorithm>
#include <set>

namespace foxtail {

namespace {

// A member whose view hash differs for longer than this is sent a sync with
// this instance's digest.
constexpr milliseconds kSyncAfter{ 1500 };
constexpr milliseconds kRefutationPromptInterval{ 200 };
constexpr milliseconds kMinSeedBackoff{ 250 };

/// Calls @p aVisit with successive chunks of at most @p aSize rows.
template<typename Visit>
void ForEachChunk(const std::vector<Member>& aRows,
                  size_t aSize,
                  Visit&& aVisit)
{
  for (size_t begin = 0; begin < aRows.size(); begin += aSize) {
    const size_t end = std::min(begin + aSize, aRows.size());
    aVisit(
      std::vector<Member>(aRows.begin() + static_cast<std::ptrdiff_t>(begin),
                          aRows.begin() + static_cast<std::ptrdiff_t>(end)));
  }
}

} // namespace

MembershipState::MembershipState(MembershipSettings aSettings,
                                 Member aSelf,
                                 uint64_t aSeed)
  : settings_(std::move(aSettings))
  , self_(std::move(aSelf))
  , selfHash_(RendezvousHash(self_.instance_.Value()))
  , random_(aSeed)
{
  std::erase(settings_.seeds_, self_.endpoint_);
}

// --- outgoing messages ----------------------------------------------------

MembershipMessage MembershipState::MakeMessage(
  MembershipMessageKind aKind) const
{
  MembershipMessage message;
  message.kind_ = aKind;
  message.from_ = self_.instance_;
  message.endpoint_ = self_.endpoint_;
  message.documentVersion_ = documentVersion_;
  message.viewHash_ = viewHash_;
  return message;
}

void MembershipState::Send(const std::string& aTo, MembershipMessage aMessage)
{
  outgoing_.push_back({ aTo, std::move(aMessage) });
}

void MembershipState::SendSync(const std::string& aTo, bool aHasDigest)
{
  MembershipMessage message = MakeMessage(MembershipMessageKind::Sync);
  message.members_.push_back(self_);
  if (aHasDigest) {
    message.digest_.push_back({ selfHash_, RowHash(self_) });
    for (const auto& [name, row] : rows_) {
      if (IsLive(row)) {
        message.digest_.push_back({ row.nameHash_, RowHash(row.member_) });
      }
    }
  }
  Send(aTo, std::move(message));
}

void MembershipState::SendRows(const std::string& aTo,
                               const std::vector<Member>& aRows)
{
  ForEachChunk(aRows, settings_.maxRows_, [&](std::vector<Member> aChunk) {
    MembershipMessage message = MakeMessage(MembershipMessageKind::Rows);
    message.members_ = std::move(aChunk);
    Send(aTo, std::move(message));
  });
}

void MembershipState::Flush(TimePoint aNow)
{
  if (pendingRows_.empty() && pendingZones_.empty()) {
    return;
  }
  std::vector<Member> rows;
  rows.reserve(pendingRows_.size());
  for (const auto& pending : pendingRows_) {
    rows.push_back(pending.second);
  }
  std::vector<ZoneSummary> zones;
  for (const ZoneName& zone : pendingZones_) {
    if (auto summary = zones_.Get(zone, aNow)) {
      zones.push_back(std::move(*summary));
    }
  }
  pendingRows_.clear();
  pendingZones_.clear();
  for (const InstanceId& name : gossipPeers_) {
    const auto found = rows_.find(name);
    if (found == rows_.end() || !IsLive(found->second)) {
      continue;
    }
    const std::string& endpoint = found->second.member_.endpoint_;
    SendRows(endpoint, rows);
    if (!zones.empty()) {
      MembershipMessage message = MakeMessage(MembershipMessageKind::Rows);
      message.zones_ = zones;
      Send(endpoint, std::move(message));
    }
  }
}

// --- rows -----------------------------------------------------------------

bool MembershipState::IsLive(const Row& aRow) const
{
  return aRow.member_.state_ != MemberState::Removed;
}

uint64_t MembershipState::RowHash(const Member& aMember) const
{
  // The state is left out: a suspicion ends within a second, and hashing it
  // would only cause needless syncs.
  const uint64_t flags = aMember.isLeaving_ ? 1 : 0;
  return RendezvousScore(
    RendezvousScore(RendezvousHash(aMember.instance_.Value()), flags),
    aMember.incarnation_.Value());
}

void MembershipState::Raise(MembershipEventKind aKind,
                            const InstanceId& aInstance,
                            const ZoneName& aZone)
{
  events_.push_back({ aKind, aInstance, aZone });
}

void MembershipState::MarkViewChanged()
{
  isDerivedStale_ = true;
  ++generation_;
}

void MembershipState::Apply(const Member& aMember, TimePoint aNow)
{
  if (aMember.zone_ != self_.zone_) {
    return;
  }
  if (aMember.instance_ == self_.instance_) {
    ApplyToSelf(aMember, aNow);
    return;
  }
  const auto found = rows_.find(aMember.instance_);
  if (found == rows_.end()) {
    Row& row = rows_[aMember.instance_];
    row.nameHash_ = RendezvousHash(aMember.instance_.Value());
    namesByHash_[row.nameHash_] = aMember.instance_;
    if (aMember.state_ == MemberState::Removed) {
      row.member_ = aMember;
      row.changedAt_ = aNow;
      row.nextRejoinAt_ = aNow + settings_.rejoinInterval_;
      return;
    }
    row.member_.state_ = MemberState::Removed;
    UpdateRow(row, aMember, aNow);
    return;
  }
  if (aMember.Supersedes(found->second.member_)) {
    UpdateRow(found->second, aMember, aNow);
  }
}

void MembershipState::UpdateRow(Row& aRow,
                                const Member& aMember,
                                TimePoint aNow)
{
  const MemberState before = aRow.member_.state_;
  const bool wasLeaving = aRow.member_.isLeaving_;
  aRow.member_ = aMember;
  aRow.changedAt_ = aNow;
  aRow.viewDiffersSince_.reset();
  if (aMember.state_ == MemberState::Suspect) {
    // Monitors remove the member when the suspicion times out; other instances
    // wait longer for the monitors to do so.
    constexpr int kNonMonitorFactor = 3;
    aRow.confirmAt_ = aNow + settings_.suspicionTimeout_ *
                               (IsMonitoredHere(aRow) ? 1 : kNonMonitorFactor);
    aRow.nextProbeAt_ = aNow;
  }
  if (aMember.state_ == MemberState::Removed) {
    aRow.rejoinBackoff_ = settings_.rejoinInterval_;
    aRow.nextRejoinAt_ = aNow + aRow.rejoinBackoff_;
  }
  pendingRows_[aMember.instance_] = aMember;
  RaiseTransitionEvents(before, aMember, wasLeaving);
  MarkViewChanged();
}

void MembershipState::RaiseTransitionEvents(MemberState aFrom,
                                            const Member& aTo,
                                            bool aWasLeaving)
{
  const auto raise = [&](MembershipEventKind aKind) {
    Raise(aKind, aTo.instance_, aTo.zone_);
  };
  if (aTo.state_ == MemberState::Removed) {
    if (aFrom != MemberState::Removed) {
      raise(MembershipEventKind::Removed);
    }
    return;
  }
  if (aFrom == MemberState::Removed) {
    raise(MembershipEventKind::Joined);
  }
  if (aTo.state_ == MemberState::Suspect && aFrom != MemberState::Suspect) {
    raise(MembershipEventKind::Suspected);
  }
  if (aTo.state_ == MemberState::Alive && aFrom == MemberState::Suspect) {
    raise(MembershipEventKind::Refuted);
  }
  if (aTo.isLeaving_ && !aWasLeaving) {
    raise(MembershipEventKind::Leaving);
  }
}

void MembershipState::ApplyToSelf(const Member& aMember, TimePoint aNow)
{
  if (aMember.incarnation_ < self_.incarnation_ ||
      (aMember.incarnation_ == self_.incarnation_ &&
       aMember.state_ <= self_.state_)) {
    return;
  }
  const bool isClash = aMember.state_ == MemberState::Alive &&
                       aMember.endpoint_ != self_.endpoint_;
  if (isClash && aNow - lastNameClashAt_ > seconds(1)) {
    lastNameClashAt_ = aNow;
    Raise(MembershipEventKind::NameClash, self_.instance_, self_.zone_);
  }
  Refute(aMember.incarnation_);
}

void MembershipState::Refute(Incarnation aAtLeast)
{
  self_.incarnation_ =
    Incarnation(std::max(aAtLeast.Value(), self_.incarnation_.Value()) + 1);
  pendingRows_[self_.instance_] = self_;
  MarkViewChanged();
}

void MembershipState::BeginLeave()
{
  self_.isLeaving_ = true;
  Refute(self_.incarnation_);
}

MembershipState::Messages MembershipState::Leave()
{
  outgoing_.clear();
  self_.isLeaving_ = true;
  Refute(self_.incarnation_);
  self_.state_ = MemberState::Removed;
  pendingRows_[self_.instance_] = self_;
  Flush(TimePoint());
  return std::move(outgoing_);
}

void MembershipState::UpdateDerived()
{
  if (!isDerivedStale_) {
    return;
  }
  isDerivedStale_ = false;
  std::vector<const Row*> live;
  viewHash_ = RowHash(self_);
  for (const auto& [name, row] : rows_) {
    if (IsLive(row)) {
      live.push_back(&row);
      viewHash_ ^= RowHash(row.member_);
    }
  }
  // The monitors of a member are the instances with the highest rendezvous
  // scores for it, so that instances with equal views agree on them without
  // exchanging messages.
  std::set<InstanceId> neighbours;
  probeTargets_.clear();
  for (const Row* target : live) {
    const uint64_t own = RendezvousScore(target->nameHash_, selfHash_);
    uint32_t higherScores = 0;
    for (const Row* other : live) {
      higherScores +=
        other != target &&
        RendezvousScore(target->nameHash_, other->nameHash_) > own;
    }
    if (higherScores < settings_.monitors_) {
      probeTargets_.push_back(target->member_.instance_);
      neighbours.insert(target->member_.instance_);
    }
  }
  std::sort(live.begin(), live.end(), [&](const Row* aLeft, const Row* aRight) {
    return RendezvousScore(selfHash_, aLeft->nameHash_) >
           RendezvousScore(selfHash_, aRight->nameHash_);
  });
  const size_t monitors = std::min<size_t>(settings_.monitors_, live.size());
  for (size_t i = 0; i < monitors; ++i) {
    neighbours.insert(live[i]->member_.instance_);
  }
  gossipPeers_.assign(neighbours.begin(), neighbours.end());
  ownSummary_ = OwnSummary();
}

bool MembershipState::IsMonitoredHere(const Row& aRow) const
{
  return std::find(probeTargets_.begin(),
                   probeTargets_.end(),
                   aRow.member_.instance_) != probeTargets_.end();
}

// --- probes ---------------------------------------------------------------

MembershipState::Messages MembershipState::OnTick(TimePoint aNow)
{
  outgoing_.clear();
  CompensateOwnPause(aNow);
  UpdateDerived();
  CheckProbeTimeouts(aNow);
  ConfirmSuspicions(aNow);
  UpdateDerived();
  SendDueProbes(aNow);
  Rejoin(aNow);
  ExchangeZoneSummaries(aNow);
  Flush(aNow);
  ExpireRemovedMembers(aNow);
  return std::move(outgoing_);
}

void MembershipState::CompensateOwnPause(TimePoint aNow)
{
  const Duration gap = lastTickAt_ ? aNow - *lastTickAt_ : Duration();
  lastTickAt_ = aNow;
  if (gap <= settings_.ownPauseThreshold_) {
    return;
  }
  // This process was paused, not the others: answers to its probes may have
  // arrived and not been read yet.
  for (auto& probe : probes_) {
    probe.second.indirectAt_ += gap;
    probe.second.suspectAt_ += gap;
  }
  for (auto& row : rows_) {
    row.second.confirmAt_ += gap;
  }
  zones_.ExcludePause(gap);
}

void MembershipState::SendDueProbes(TimePoint aNow)
{
  for (const InstanceId& name : probeTargets_) {
    const auto found = rows_.find(name);
    if (found != rows_.end() && IsLive(found->second) &&
        aNow >= found->second.nextProbeAt_) {
      SendProbe(found->second, aNow);
    }
  }
}

void MembershipState::SendProbe(Row& aRow, TimePoint aNow)
{
  constexpr int kSuspectProbeFactor = 4;
  const bool isSuspect = aRow.member_.state_ == MemberState::Suspect;
  // The first probe of a target is sent at a random time within the interval,
  // which spreads the probes of a member's monitors over the interval.
  const auto interval = static_cast<uint64_t>(settings_.probeInterval_.count());
  const bool isFirst = aRow.nextProbeAt_ == TimePoint();
  aRow.nextProbeAt_ = isFirst ? aNow + milliseconds(random_.NextBelow(interval))
                      : isSuspect
                        ? aNow + settings_.probeInterval_ / kSuspectProbeFactor
                        : aNow + settings_.probeInterval_;
  if (isFirst) {
    return;
  }
  const uint64_t sequence = nextSequence_++;
  MembershipMessage message = MakeMessage(MembershipMessageKind::Probe);
  message.sequence_ = sequence;
  if (isSuspect) {
    message.members_.push_back(aRow.member_);
  }
  probes_[sequence] = {
    aRow.member_.instance_,
    aNow + settings_.probeTimeout_,
    aNow + settings_.probeTimeout_ + settings_.indirectTimeout_,
    false,
  };
  Send(aRow.member_.endpoint_, std::move(message));
}

void MembershipState::CheckProbeTimeouts(TimePoint aNow)
{
  std::vector<InstanceId> unanswered;
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [sequence, probe] = *it;
    const auto found = rows_.find(probe.target_);
    if (found == rows_.end() || !IsLive(found->second)) {
      it = probes_.erase(it);
      continue;
    }
    if (!probe.isIndirectSent_ && aNow >= probe.indirectAt_) {
      probe.isIndirectSent_ = true;
      SendIndirectProbes(sequence, found->second);
    }
    if (aNow >= probe.suspectAt_) {
      unanswered.push_back(probe.target_);
      it = probes_.erase(it);
      continue;
    }
    ++it;
  }
  for (const InstanceId& name : unanswered) {
    Suspect(rows_[name], aNow);
  }
  std::erase_if(relayedProbes_, [&](const auto& aRelayed) {
    return aNow >= aRelayed.second.expiresAt_;
  });
}

void MembershipState::SendIndirectProbes(uint64_t aSequence, const Row& aTarget)
{
  std::vector<const Row*> proxies;
  for (const auto& [name, row] : rows_) {
    if (row.member_.state_ == MemberState::Alive && &row != &aTarget) {
      proxies.push_back(&row);
    }
  }
  const size_t count =
    std::min<size_t>(settings_.indirectProbes_, proxies.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(proxies[i], proxies[i + random_.NextBelow(proxies.size() - i)]);
    MembershipMessage message =
      MakeMessage(MembershipMessageKind::IndirectProbe);
    message.sequence_ = aSequence;
    message.subject_ = aTarget.member_.instance_;
    message.subjectEndpoint_ = aTarget.member_.endpoint_;
    Send(proxies[i]->member_.endpoint_, std::move(message));
  }
}

void MembershipState::Suspect(Row& aRow, TimePoint aNow)
{
  if (aRow.member_.state_ != MemberState::Alive) {
    return;
  }
  Member suspect = aRow.member_;
  suspect.state_ = MemberState::Suspect;
  UpdateRow(aRow, suspect, aNow);
}

void MembershipState::ConfirmSuspicions(TimePoint aNow)
{
  for (auto& [name, row] : rows_) {
    if (row.member_.state_ == MemberState::Suspect && aNow >= row.confirmAt_) {
      Member removed = row.member_;
      removed.state_ = MemberState::Removed;
      UpdateRow(row, removed, aNow);
    }
  }
}

void MembershipState::ExpireRemovedMembers(TimePoint aNow)
{
  std::erase_if(rows_, [&](const auto& aEntry) {
    const Row& row = aEntry.second;
    const bool isExpired =
      !IsLive(row) && aNow - row.changedAt_ > settings_.removedRetention_;
    if (isExpired) {
      namesByHash_.erase(row.nameHash_);
    }
    return isExpired;
  });
}

void MembershipState::Rejoin(TimePoint aNow)
{
  // Only the instances that would be a removed member's monitors try to rejoin
  // it.
  for (auto& [name, row] : rows_) {
    if (IsLive(row) || row.member_.isLeaving_ || aNow < row.nextRejoinAt_) {
      continue;
    }
    row.rejoinBackoff_ =
      std::min(row.rejoinBackoff_ * 2, settings_.maxRejoinInterval_);
    row.nextRejoinAt_ = aNow + row.rejoinBackoff_;
    const uint64_t own = RendezvousScore(row.nameHash_, selfHash_);
    uint32_t higherScores = 0;
    for (const auto& other : rows_) {
      higherScores +=
        IsLive(other.second) &&
        RendezvousScore(row.nameHash_, other.second.nameHash_) > own;
    }
    if (higherScores < settings_.monitors_) {
      SendSync(row.member_.endpoint_, true);
      SendRows(row.member_.endpoint_, { row.member_ });
    }
  }
  if (aNow < nextSeedSyncAt_ || settings_.seeds_.empty()) {
    return;
  }
  seedBackoff_ = seedBackoff_.count() == 0
                   ? kMinSeedBackoff
                   : std::min(seedBackoff_ * 2, settings_.maxRejoinInterval_);
  const auto wait = static_cast<uint64_t>(seedBackoff_.count());
  nextSeedSyncAt_ = aNow + milliseconds(wait / 2 + random_.NextBelow(wait));
  std::set<std::string> known;
  for (const auto& [name, row] : rows_) {
    if (IsLive(row)) {
      known.insert(row.member_.endpoint_);
    }
  }
  for (const ZoneSummary& zone : zones_.List(aNow)) {
    for (const Member& member : zone.delegates_) {
      known.insert(member.endpoint_);
    }
  }
  std::vector<std::string> candidates;
  for (const std::string& seed : settings_.seeds_) {
    if (!known.contains(seed)) {
      candidates.push_back(seed);
    }
  }
  if (!candidates.empty()) {
    SendSync(candidates[random_.NextBelow(candidates.size())], false);
  }
}

// --- received messages ----------------------------------------------------

MembershipState::Messages MembershipState::OnMessage(
  const MembershipMessage& aMessage,
  TimePoint aNow)
{
  outgoing_.clear();
  if (aMessage.from_ == self_.instance_) {
    return {};
  }
  UpdateDerived();
  PromptRefutation(aMessage, aNow);
  for (const Member& member : aMessage.members_) {
    Apply(member, aNow);
  }
  const bool isZoneMessage = aMessage.kind_ == MembershipMessageKind::Zone ||
                             aMessage.kind_ == MembershipMessageKind::ZoneReply;
  if (!isZoneMessage) {
    for (const ZoneSummary& zone : aMessage.zones_) {
      MergeZone(zone, aNow);
    }
  }
  switch (aMessage.kind_) {
    case MembershipMessageKind::Probe:
      OnProbe(aMessage);
      CompareViews(aMessage, aNow);
      break;
    case MembershipMessageKind::Ack:
      OnAck(aMessage);
      CompareViews(aMessage, aNow);
      break;
    case MembershipMessageKind::IndirectProbe:
      OnIndirectProbe(aMessage, aNow);
      break;
    case MembershipMessageKind::Rows:
      break;
    case MembershipMessageKind::Sync:
      OnSync(aMessage, aNow);
      break;
    case MembershipMessageKind::SyncReply:
      OnSyncReply(aMessage);
      break;
    case MembershipMessageKind::Zone:
    case MembershipMessageKind::ZoneReply:
      OnZone(aMessage, aNow);
      break;
  }
  return std::move(outgoing_);
}

void MembershipState::PromptRefutation(const MembershipMessage& aMessage,
                                       TimePoint aNow)
{
  const auto found = rows_.find(aMessage.from_);
  if (found == rows_.end()) {
    return;
  }
  Row& row = found->second;
  const bool isSuspectOrRemoved = row.member_.state_ != MemberState::Alive;
  if (isSuspectOrRemoved && row.member_.endpoint_ == aMessage.endpoint_ &&
      aNow - row.refutationPromptedAt_ > kRefutationPromptInterval) {
    // The sender is alive but is suspected or removed here: returning its row
    // lets it refute.
    row.refutationPromptedAt_ = aNow;
    SendRows(aMessage.endpoint_, { row.member_ });
  }
}

void MembershipState::CompareViews(const MembershipMessage& aMessage,
                                   TimePoint aNow)
{
  const auto found = rows_.find(aMessage.from_);
  if (found == rows_.end() || !aMessage.subject_.Value().empty()) {
    return;
  }
  Row& row = found->second;
  if (aMessage.viewHash_ == viewHash_) {
    row.viewDiffersSince_.reset();
    return;
  }
  if (!row.viewDiffersSince_) {
    row.viewDiffersSince_ = aNow;
    return;
  }
  if (aNow - *row.viewDiffersSince_ > kSyncAfter) {
    row.viewDiffersSince_.reset();
    SendSync(aMessage.endpoint_, true);
  }
}

void MembershipState::OnProbe(const MembershipMessage& aMessage)
{
  MembershipMessage ack = MakeMessage(MembershipMessageKind::Ack);
  ack.sequence_ = aMessage.sequence_;
  const bool isSuspectedBySender = std::any_of(
    aMessage.members_.begin(),
    aMessage.members_.end(),
    [&](const Member& aRow) { return aRow.instance_ == self_.instance_; });
  if (isSuspectedBySender) {
    ack.members_.push_back(self_);
  }
  Send(aMessage.endpoint_, std::move(ack));
}

void MembershipState::OnAck(const MembershipMessage& aMessage)
{
  const InstanceId& subject =
    aMessage.subject_.Value().empty() ? aMessage.from_ : aMessage.subject_;
  const auto relayed = relayedProbes_.find(aMessage.sequence_);
  if (relayed != relayedProbes_.end() && relayed->second.subject_ == subject) {
    MembershipMessage ack = MakeMessage(MembershipMessageKind::Ack);
    ack.sequence_ = relayed->second.sequence_;
    ack.subject_ = subject;
    ack.members_ = aMessage.members_;
    Send(relayed->second.requesterEndpoint_, std::move(ack));
    relayedProbes_.erase(relayed);
    return;
  }
  const auto probe = probes_.find(aMessage.sequence_);
  if (probe != probes_.end() && probe->second.target_ == subject) {
    probes_.erase(probe);
  }
}

void MembershipState::OnIndirectProbe(const MembershipMessage& aMessage,
                                      TimePoint aNow)
{
  const uint64_t sequence = nextSequence_++;
  relayedProbes_[sequence] = { aMessage.endpoint_,
                               aMessage.sequence_,
                               aMessage.subject_,
                               aNow + settings_.indirectTimeout_ * 2 };
  MembershipMessage probe = MakeMessage(MembershipMessageKind::Probe);
  probe.sequence_ = sequence;
  Send(aMessage.subjectEndpoint_, std::move(probe));
}

void MembershipState::OnSync(const MembershipMessage& aMessage, TimePoint aNow)
{
  UpdateDerived();
  MembershipMessage reply = MakeMessage(MembershipMessageKind::SyncReply);
  reply.zones_ = zones_.List(aNow);
  reply.zones_.push_back(ownSummary_);
  const bool isOwnZone = !aMessage.members_.empty() &&
                         aMessage.members_.front().zone_ == self_.zone_;
  if (!isOwnZone) {
    Send(aMessage.endpoint_, std::move(reply));
    return;
  }
  std::unordered_map<uint64_t, uint64_t> peerRowHashes;
  for (const MemberDigest& digest : aMessage.digest_) {
    peerRowHashes[digest.nameHash_] = digest.rowHash_;
  }
  std::vector<Member> differing;
  const auto compare = [&](const Member& aMember, uint64_t aNameHash) {
    const auto found = peerRowHashes.find(aNameHash);
    const bool isKnownToPeer = found != peerRowHashes.end();
    const bool isLive = aMember.state_ != MemberState::Removed;
    if (isLive ? !isKnownToPeer || found->second != RowHash(aMember)
               : isKnownToPeer) {
      differing.push_back(aMember);
    }
    if (isKnownToPeer && found->second != RowHash(aMember)) {
      reply.wantedNameHashes_.push_back(aNameHash);
    }
    peerRowHashes.erase(aNameHash);
  };
  compare(self_, selfHash_);
  for (const auto& [name, row] : rows_) {
    compare(row.member_, row.nameHash_);
  }
  for (const auto& unknown : peerRowHashes) {
    reply.wantedNameHashes_.push_back(unknown.first);
  }
  Send(aMessage.endpoint_, std::move(reply));
  SendRows(aMessage.endpoint_, differing);
}

void MembershipState::OnSyncReply(const MembershipMessage& aMessage)
{
  std::vector<Member> rows;
  for (const uint64_t hash : aMessage.wantedNameHashes_) {
    if (hash == selfHash_) {
      rows.push_back(self_);
      continue;
    }
    const auto name = namesByHash_.find(hash);
    const auto found =
      name == namesByHash_.end() ? rows_.end() : rows_.find(name->second);
    if (found != rows_.end()) {
      rows.push_back(found->second.member_);
    }
  }
  SendRows(aMessage.endpoint_, rows);
}

// --- views ----------------------------------------------------------------

MembershipView MembershipState::MakeView(TimePoint aNow) const
{
  MembershipView view;
  view.zone_ = self_.zone_;
  view.members_.push_back(self_);
  for (const auto& [name, row] : rows_) {
    if (IsLive(row)) {
      view.members_.push_back(row.member_);
    }
  }
  std::sort(view.members_.begin(),
            view.members_.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.instance_ < aRight.instance_;
            });
  view.zones_ = zones_.List(aNow);
  return view;
}

std::vector<MembershipEvent> MembershipState::TakeEvents()
{
  return std::exchange(events_, {});
}

} // namespace foxtail
