#include "consensus/ReplicationTracker.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace foxtail {

void ReplicationTracker::Reset(const MemberId& aSelf,
                               const Membership& aMembership,
                               LogIndex aLastIndex,
                               TimePoint aNow)
{
  self_ = aSelf;
  members_.clear();
  UpdateMembership(aMembership, aLastIndex, aNow);
}

void ReplicationTracker::UpdateMembership(const Membership& aMembership,
                                          LogIndex aLastIndex,
                                          TimePoint aNow)
{
  std::erase_if(members_, [&](const auto& aItem) {
    return aMembership.Find(aItem.first) == nullptr;
  });
  for (const GroupMember& member : aMembership.members_) {
    MemberProgress progress;
    progress.nextIndex_ = aLastIndex + 1;
    // A new member has a full election timeout for its first reply.
    progress.lastReplyTime_ = aNow;
    members_.try_emplace(member.id_, progress);
  }
}

MemberProgress* ReplicationTracker::Find(const MemberId& aId)
{
  const auto found = members_.find(aId);
  return found == members_.end() ? nullptr : &found->second;
}

const MemberProgress* ReplicationTracker::Find(const MemberId& aId) const
{
  const auto found = members_.find(aId);
  return found == members_.end() ? nullptr : &found->second;
}

template<typename Value, typename Get>
Value ReplicationTracker::QuorumOf(const Membership& aMembership,
                                   Get&& aGet) const
{
  std::vector<Value> values;
  for (const auto& [id, progress] : members_) {
    if (aMembership.IsVoter(id)) {
      values.push_back(aGet(id, progress));
    }
  }
  if (values.empty()) {
    return Value{};
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[aMembership.QuorumSize() - 1];
}

LogIndex ReplicationTracker::QuorumMatchIndex(
  const Membership& aMembership) const
{
  return QuorumOf<LogIndex>(
    aMembership, [](const MemberId&, const MemberProgress& aProgress) {
      return aProgress.matchIndex_;
    });
}

uint64_t ReplicationTracker::QuorumAckedRound(
  const Membership& aMembership) const
{
  return QuorumOf<uint64_t>(
    aMembership, [this](const MemberId& aId, const MemberProgress& aProgress) {
      return aId == self_ ? std::numeric_limits<uint64_t>::max()
                          : aProgress.ackedRound_;
    });
}

TimePoint ReplicationTracker::QuorumReplyTime(const Membership& aMembership,
                                              TimePoint aNow) const
{
  return QuorumOf<TimePoint>(
    aMembership, [&](const MemberId& aId, const MemberProgress& aProgress) {
      return aId == self_ ? aNow : aProgress.lastReplyTime_;
    });
}

} // namespace foxtail
