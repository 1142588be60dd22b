#include "instance/MembershipTypes.h"

#include <algorithm>

namespace foxtail {

namespace {

bool IsServing(const Member& aMember)
{
  return aMember.role_ == InstanceRole::Entry && !aMember.isLeaving_;
}

} // namespace

bool Member::Supersedes(const Member& aOther) const
{
  if (incarnation_ != aOther.incarnation_) {
    return incarnation_ > aOther.incarnation_;
  }
  return state_ > aOther.state_;
}

uint32_t MembershipView::OwnZoneEntryCount() const
{
  return static_cast<uint32_t>(
    std::count_if(members_.begin(), members_.end(), IsServing));
}

uint32_t MembershipView::LiveEntryCount() const
{
  uint32_t count = OwnZoneEntryCount();
  for (const ZoneSummary& zone : zones_) {
    count += zone.isReachable_ ? zone.entryCount_ : 0;
  }
  return count;
}

std::vector<InstanceId> MembershipView::OwnZoneEntryNames() const
{
  std::vector<InstanceId> names;
  for (const Member& member : members_) {
    if (IsServing(member)) {
      names.push_back(member.instance_);
    }
  }
  return names;
}

std::vector<InstanceId> MembershipView::ReachableEntryNames() const
{
  std::vector<InstanceId> names = OwnZoneEntryNames();
  for (const ZoneSummary& zone : zones_) {
    if (!zone.isReachable_) {
      continue;
    }
    for (uint32_t i = 0; i < zone.entryCount_; ++i) {
      names.push_back(
        i < zone.delegates_.size()
          ? zone.delegates_[i].instance_
          : InstanceId(zone.zone_.Value() + "#" + std::to_string(i)));
    }
  }
  return names;
}

const Member* MembershipView::Find(const InstanceId& aInstance) const
{
  for (const Member& member : members_) {
    if (member.instance_ == aInstance) {
      return &member;
    }
  }
  return nullptr;
}

MembershipSettings MembershipSettings::Read(JsonReader& aReader)
{
  constexpr milliseconds kShortest{ 10 };
  constexpr milliseconds kLongest{ 60000 };
  constexpr milliseconds kLongestMemory{ 86400000 };
  constexpr int64_t kMaxInstances = 16;
  MembershipSettings settings;
  const auto read = [&](const char* aName, milliseconds& aValue) {
    aValue = aReader.Millis(aName, aValue, kShortest, kLongest);
  };
  read("probe_interval_ms", settings.probeInterval_);
  read("probe_timeout_ms", settings.probeTimeout_);
  read("indirect_timeout_ms", settings.indirectTimeout_);
  read("suspicion_ms", settings.suspicionTimeout_);
  read("own_pause_ms", settings.ownPauseThreshold_);
  read("rejoin_interval_ms", settings.rejoinInterval_);
  read("max_rejoin_interval_ms", settings.maxRejoinInterval_);
  read("zone_interval_ms", settings.zoneInterval_);
  settings.removedRetention_ = aReader.Millis(
    "memory_ms", settings.removedRetention_, kShortest, kLongestMemory);
  const auto readCount = [&](const char* aName, uint32_t& aValue) {
    aValue =
      static_cast<uint32_t>(aReader.Integer(aName, aValue, 1, kMaxInstances));
  };
  readCount("monitors", settings.monitors_);
  readCount("indirect_probes", settings.indirectProbes_);
  readCount("delegates", settings.delegates_);
  return settings;
}

} // namespace foxtail
