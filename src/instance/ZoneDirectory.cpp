#include "instance/ZoneDirectory.h"

#include "policy/Placement.h"

#include <algorithm>

namespace foxtail {

ZoneMergeResult ZoneDirectory::Merge(const ZoneSummary& aSummary,
                                     TimePoint aNow)
{
  const TimePoint updatedAt = aNow - aSummary.age_;
  const auto found = zones_.find(aSummary.zone_);
  if (found == zones_.end()) {
    zones_[aSummary.zone_] = { aSummary, updatedAt };
    return ZoneMergeResult::Changed;
  }
  Row& row = found->second;
  if (updatedAt <= row.updatedAt_) {
    return ZoneMergeResult::Stale;
  }
  const bool isSame = row.summary_.contentHash_ == aSummary.contentHash_ &&
                      row.summary_.isReachable_ == aSummary.isReachable_;
  row = { aSummary, updatedAt };
  return isSame ? ZoneMergeResult::Refreshed : ZoneMergeResult::Changed;
}

std::vector<ZoneName> ZoneDirectory::Expire(TimePoint aSince,
                                            Duration aTimeout,
                                            TimePoint aNow)
{
  std::vector<ZoneName> expired;
  for (auto& [zone, row] : zones_) {
    const TimePoint sentAt = std::max(row.updatedAt_, aSince);
    if (row.summary_.isReachable_ && aNow - sentAt > aTimeout) {
      row.summary_.isReachable_ = false;
      expired.push_back(zone);
    }
  }
  return expired;
}

void ZoneDirectory::ExcludePause(Duration aPause)
{
  for (auto& row : zones_) {
    row.second.updatedAt_ += aPause;
  }
}

std::optional<ZoneSummary> ZoneDirectory::Get(const ZoneName& aZone,
                                              TimePoint aNow) const
{
  const auto found = zones_.find(aZone);
  if (found == zones_.end()) {
    return std::nullopt;
  }
  ZoneSummary summary = found->second.summary_;
  summary.age_ =
    std::max(milliseconds(0),
             duration_cast<milliseconds>(aNow - found->second.updatedAt_));
  return summary;
}

std::vector<ZoneSummary> ZoneDirectory::List(TimePoint aNow) const
{
  std::vector<ZoneSummary> summaries;
  summaries.reserve(zones_.size());
  for (const auto& row : zones_) {
    summaries.push_back(*Get(row.first, aNow));
  }
  return summaries;
}

std::vector<ZoneName> ZoneDirectory::Names() const
{
  std::vector<ZoneName> names;
  names.reserve(zones_.size());
  for (const auto& row : zones_) {
    names.push_back(row.first);
  }
  return names;
}

uint64_t ZoneDirectory::HashOf(const ZoneName& aZone) const
{
  const auto found = zones_.find(aZone);
  return found == zones_.end() ? 0 : found->second.summary_.contentHash_;
}

uint64_t ContentHash(const ZoneSummary& aSummary)
{
  uint64_t hash = RendezvousScore(aSummary.entryCount_, 1);
  for (const Member& member : aSummary.delegates_) {
    hash = RendezvousScore(hash, RendezvousHash(member.instance_.Value()));
    hash = RendezvousScore(hash, member.incarnation_.Value());
    hash = RendezvousScore(hash, RendezvousHash(member.endpoint_));
  }
  return hash;
}

} // namespace foxtail
