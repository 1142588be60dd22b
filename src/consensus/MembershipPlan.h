#ifndef CONSENSUS_MEMBERSHIPPLAN_H
#define CONSENSUS_MEMBERSHIPPLAN_H

#include "consensus/ConsensusNode.h"

#include <optional>
#include <vector>

namespace foxtail {

/// Target of the membership changes that a leader makes, and their time limits.
struct MembershipGoal
{
  /// Target number of voters; 0 makes every member a voter. Members beyond that
  /// number stay learners and replace voters that stop replying.
  size_t voters_ = 0;
  /// Committed entries by which a learner may lag behind when it is promoted.
  LogIndex maxLearnerLag_ = 256;
  /// A member counts as responsive, and a learner as caught up, only if its
  /// latest reply is younger than this.
  Duration maxReplyAge_ = milliseconds(500);
  /// A voter without a reply for this long is replaced, provided that a learner
  /// has caught up.
  Duration replaceVoterAfter_ = milliseconds(1500);
  /// A learner without a reply for this long is removed, provided that voters_
  /// is not 0.
  Duration removeLearnerAfter_ = milliseconds(10000);
};

/// Decides the leader's next membership change. Joining members are added as
/// learners. Once a learner has caught up, the voter that it replaces is
/// removed: an unresponsive earlier incarnation of the same instance, or a
/// voter that stopped replying. Then the learner is promoted to voter. A voter
/// is never removed before another member can replace it, because missing
/// replies alone may be due to a partition.
///
/// @param aNode the leader.
/// @param aJoiningMembers members that recently requested to join.
/// @return the membership to propose, or nothing when no change is due.
std::optional<Membership> PlanMembershipChange(
  const ConsensusNode& aNode,
  const std::vector<GroupMember>& aJoiningMembers,
  const MembershipGoal& aGoal,
  TimePoint aNow);

} // namespace foxtail

#endif // CONSENSUS_MEMBERSHIPPLAN_H
