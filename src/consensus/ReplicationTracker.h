#ifndef CONSENSUS_REPLICATIONTRACKER_H
#define CONSENSUS_REPLICATIONTRACKER_H

#include "consensus/Membership.h"
#include "core/Time.h"

#include <map>

namespace foxtail {

/// What a leader knows of one other member.
struct MemberProgress
{
  /// Last index known to be on the member's disk and equal to the leader's.
  LogIndex matchIndex_ = 0;
  /// Next index to send.
  LogIndex nextIndex_ = 1;
  /// Last round that the member has answered.
  uint64_t ackedRound_ = 0;
  /// When it last answered.
  TimePoint lastReplyTime_{};
  /// Snapshot being sent, by its index; 0 when none.
  LogIndex snapshotIndex_ = 0;
  uint64_t snapshotOffset_ = 0;
};

/// A leader's view of its group: how far each member is, and what a quorum of
/// the voters therefore holds. Not thread safe.
class ReplicationTracker
{
public:
  /// Starts afresh for a new leader.
  void Reset(const MemberId& aSelf,
             const Membership& aMembership,
             LogIndex aLastIndex,
             TimePoint aNow);
  /// Follows a change of membership.
  void UpdateMembership(const Membership& aMembership,
                        LogIndex aLastIndex,
                        TimePoint aNow);

  /// @return the member's progress, or null when it is no member.
  MemberProgress* Find(const MemberId& aId);
  const MemberProgress* Find(const MemberId& aId) const;

  /// @return the largest index that a quorum has on disk.
  LogIndex QuorumMatchIndex(const Membership& aMembership) const;
  /// @return the largest round that a quorum has answered, the leader itself
  /// counting as one that has answered all.
  uint64_t QuorumAckedRound(const Membership& aMembership) const;
  /// @return the latest time since which a quorum has been heard.
  TimePoint QuorumReplyTime(const Membership& aMembership,
                            TimePoint aNow) const;

private:
  template<typename Value, typename Get>
  Value QuorumOf(const Membership& aMembership, Get&& aGet) const;

  MemberId self_;
  std::map<MemberId, MemberProgress> members_;
};

} // namespace foxtail

#endif // CONSENSUS_REPLICATIONTRACKER_H
