// Exchange of zone summaries: the part of MembershipState that handles the
// other zones.
#include "instance/MembershipState.h"

#include "policy/Placement.h"

#include <algorithm>

namespace foxtail {

ZoneSummary MembershipState::OwnSummary() const
{
  ZoneSummary summary;
  summary.zone_ = self_.zone_;
  std::vector<InstanceId> entries;
  const auto collectEntry = [&](const Member& aMember) {
    if (aMember.role_ == InstanceRole::Entry && !aMember.isLeaving_ &&
        aMember.state_ != MemberState::Removed) {
      entries.push_back(aMember.instance_);
    }
  };
  collectEntry(self_);
  for (const auto& row : rows_) {
    collectEntry(row.second.member_);
  }
  summary.entryCount_ = static_cast<uint32_t>(entries.size());
  const auto owners =
    ChooseOwners(self_.zone_.Value(), entries, settings_.delegates_);
  for (const InstanceId& name : owners) {
    summary.delegates_.push_back(
      name == self_.instance_ ? self_ : rows_.at(name).member_);
    // Suspicions are not reported to other zones: they are brief and handled
    // within the zone.
    summary.delegates_.back().state_ = MemberState::Alive;
  }
  summary.contentHash_ = ContentHash(summary);
  return summary;
}

uint64_t MembershipState::ZoneNamesHash() const
{
  uint64_t hash = RendezvousHash(self_.zone_.Value());
  for (const ZoneName& zone : zones_.Names()) {
    hash ^= RendezvousHash(zone.Value());
  }
  return hash;
}

bool MembershipState::IsDelegate() const
{
  return std::any_of(ownSummary_.delegates_.begin(),
                     ownSummary_.delegates_.end(),
                     [&](const Member& aMember) {
                       return aMember.instance_ == self_.instance_;
                     });
}

void MembershipState::MergeZone(const ZoneSummary& aSummary, TimePoint aNow)
{
  if (aSummary.zone_ == self_.zone_) {
    MergeOwnZone(aSummary, aNow);
    return;
  }
  const auto before = zones_.Get(aSummary.zone_, aNow);
  switch (zones_.Merge(aSummary, aNow)) {
    case ZoneMergeResult::Changed:
      pendingZones_.insert(aSummary.zone_);
      if (!before || before->isReachable_ != aSummary.isReachable_) {
        Raise(aSummary.isReachable_ ? MembershipEventKind::ZoneReachable
                                    : MembershipEventKind::ZoneUnreachable,
              InstanceId(),
              aSummary.zone_);
      }
      ++generation_;
      break;
    case ZoneMergeResult::Stale:
      // A delegate with a newer, different summary sends it out to replace the
      // stale one.
      if (IsDelegate() && before &&
          before->age_ + settings_.zoneInterval_ < aSummary.age_ &&
          (before->contentHash_ != aSummary.contentHash_ ||
           before->isReachable_ != aSummary.isReachable_)) {
        pendingZones_.insert(aSummary.zone_);
      }
      break;
    case ZoneMergeResult::Refreshed:
      break;
  }
}

void MembershipState::MergeOwnZone(const ZoneSummary& aSummary, TimePoint aNow)
{
  // Another zone can have delegates of this zone that are missing or removed
  // here: the zone was joined in parts, or was partitioned.
  for (const Member& member : aSummary.delegates_) {
    if (member.instance_ == self_.instance_ ||
        member.endpoint_ == self_.endpoint_) {
      continue;
    }
    const auto found = rows_.find(member.instance_);
    const bool isUnknown =
      found == rows_.end() ||
      (!IsLive(found->second) &&
       found->second.member_.incarnation_ < member.incarnation_);
    if (isUnknown) {
      SendSync(member.endpoint_, true);
    } else if (!IsLive(found->second) &&
               aNow - found->second.refutationPromptedAt_ >
                 settings_.rejoinInterval_) {
      found->second.refutationPromptedAt_ = aNow;
      SendRows(member.endpoint_, { found->second.member_ });
    }
  }
}

void MembershipState::SendZone(MembershipMessageKind aKind,
                               const std::string& aTo,
                               const ZoneName& aZone,
                               std::vector<ZoneSummary> aOthers)
{
  MembershipMessage message = MakeMessage(aKind);
  message.viewHash_ = ZoneNamesHash();
  ZoneSummary own = ownSummary_;
  const auto known = acknowledgedHashes_.find(aZone);
  if (known != acknowledgedHashes_.end() && known->second == own.contentHash_) {
    own.delegates_.clear();
  }
  message.zones_.push_back(std::move(own));
  std::move(aOthers.begin(), aOthers.end(), std::back_inserter(message.zones_));
  message.knownZoneHash_ = zones_.HashOf(aZone);
  Send(aTo, std::move(message));
}

void MembershipState::SendZoneToDelegate(const ZoneName& aZone, TimePoint aNow)
{
  const auto summary = zones_.Get(aZone, aNow);
  if (!summary || summary->delegates_.empty()) {
    return;
  }
  const size_t index = random_.NextBelow(summary->delegates_.size());
  SendZone(MembershipMessageKind::Zone,
           summary->delegates_[index].endpoint_,
           aZone,
           {});
}

void MembershipState::OnZone(const MembershipMessage& aMessage, TimePoint aNow)
{
  if (aMessage.zones_.empty() || aMessage.zones_.front().zone_ == self_.zone_) {
    return;
  }
  UpdateDerived();
  const ZoneSummary& peerSummary = aMessage.zones_.front();
  const auto before = zones_.Get(peerSummary.zone_, aNow);
  std::vector<ZoneSummary> others;
  if (aMessage.viewHash_ != ZoneNamesHash()) {
    // The sender may not have received some zones' summaries yet.
    others = zones_.List(aNow);
  }
  ZoneSummary merged = peerSummary;
  const bool isAbbreviated =
    peerSummary.delegates_.empty() && peerSummary.entryCount_ > 0;
  if (isAbbreviated && before &&
      before->contentHash_ == peerSummary.contentHash_) {
    merged.delegates_ = before->delegates_;
  }
  if (!merged.delegates_.empty()) {
    if (before && before->contentHash_ != peerSummary.contentHash_ &&
        before->isReachable_) {
      others.push_back(*before);
    }
    MergeZone(merged, aNow);
  }
  for (size_t i = 1; i < aMessage.zones_.size(); ++i) {
    MergeZone(aMessage.zones_[i], aNow);
  }
  acknowledgedHashes_[peerSummary.zone_] = aMessage.knownZoneHash_;
  if (aMessage.kind_ == MembershipMessageKind::Zone) {
    SendZone(MembershipMessageKind::ZoneReply,
             aMessage.endpoint_,
             peerSummary.zone_,
             std::move(others));
  }
}

void MembershipState::ExchangeZoneSummaries(TimePoint aNow)
{
  if (!IsDelegate()) {
    delegateSince_.reset();
    return;
  }
  if (!delegateSince_) {
    delegateSince_ = aNow;
  }
  ExpireZones(aNow);
  const std::vector<ZoneName> zones = zones_.Names();
  if (zones.empty()) {
    return;
  }
  const bool isFirstDelegate =
    ownSummary_.delegates_.front().instance_ == self_.instance_;
  if (isFirstDelegate && pushedSummaryHash_ != ownSummary_.contentHash_ &&
      aNow - summaryPushedAt_ >= settings_.zoneInterval_) {
    pushedSummaryHash_ = ownSummary_.contentHash_;
    summaryPushedAt_ = aNow;
    for (const ZoneName& zone : zones) {
      SendZoneToDelegate(zone, aNow);
    }
  }
  if (aNow >= nextZoneSendAt_) {
    const auto interval =
      static_cast<uint64_t>(settings_.zoneInterval_.count());
    nextZoneSendAt_ =
      aNow + milliseconds(interval / 2 + random_.NextBelow(interval));
    SendZoneToDelegate(zones[nextZoneIndex_++ % zones.size()], aNow);
  }
}

void MembershipState::ExpireZones(TimePoint aNow)
{
  // A delegate contacts each other zone once a round, of one interval per zone.
  // About two and a half lost rounds (two rounds and three intervals) mark a
  // zone as unreachable.
  constexpr size_t kSlack = 3;
  const Duration timeout =
    settings_.zoneInterval_ * (kSlack + 2 * zones_.Size());
  for (const ZoneName& zone : zones_.Expire(*delegateSince_, timeout, aNow)) {
    Raise(MembershipEventKind::ZoneUnreachable, InstanceId(), zone);
    pendingZones_.insert(zone);
    ++generation_;
  }
}

} // namespace foxtail
