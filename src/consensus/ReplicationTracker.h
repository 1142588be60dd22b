#ifndef CONSENSUS_REPLICATIONTRACKER_H
#define CONSENSUS_REPLICATIONTRACKER_H

#include "consensus/Membership.h"
#include "core/Time.h"

#include <map>

namespace foxtail {

/// A leader's record of the replication progress of one member.
struct MemberProgress
{
  /// Last index up to which the member's log on stable storage matches the
  /// leader's.
  LogIndex matchIndex_ = 0;
  /// Index of the next entry to send.
  LogIndex nextIndex_ = 1;
  /// Last heartbeat round that the member has acknowledged.
  uint64_t ackedRound_ = 0;
  /// Time of the member's latest reply; initially the time at which the leader
  /// started to track the member.
  TimePoint lastReplyTime_{};
  /// Index of the snapshot that is being sent; 0 when none is.
  LogIndex snapshotIndex_ = 0;
  uint64_t snapshotOffset_ = 0;
};

/// Tracks for a leader how far the log is replicated to each member, and
/// derives the values that a quorum of the voters has reached. Not thread safe.
class ReplicationTracker
{
public:
  /// Discards all progress and starts to track the members for a new leader.
  void Reset(const MemberId& aSelf,
             const Membership& aMembership,
             LogIndex aLastIndex,
             TimePoint aNow);
  /// Drops removed members and starts to track new ones; the others keep their
  /// progress.
  void UpdateMembership(const Membership& aMembership,
                        LogIndex aLastIndex,
                        TimePoint aNow);

  /// @return the member's progress, or null when @p aId is not a member.
  MemberProgress* Find(const MemberId& aId);
  const MemberProgress* Find(const MemberId& aId) const;

  /// @return the largest index that a quorum has on stable storage.
  LogIndex QuorumMatchIndex(const Membership& aMembership) const;
  /// @return the largest round that a quorum has acknowledged. The leader
  /// itself counts as having acknowledged every round.
  uint64_t QuorumAckedRound(const Membership& aMembership) const;
  /// @return the latest time since which every member of some quorum has
  /// replied. The leader itself counts as having replied at @p aNow.
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
