#ifndef CONSENSUS_MEMBERSHIPPLAN_H
#define CONSENSUS_MEMBERSHIPPLAN_H

#include "consensus/ConsensusNode.h"

#include <optional>
#include <vector>

namespace foxtail {

/// What a leader wants its group to become.
struct MembershipGoal
{
  /// Voters wanted; 0 makes every member a voter. Beyond that number members
  /// stay learners and take the place of voters that are lost.
  size_t voters_ = 0;
  /// Entries that a learner may lack when it is promoted.
  LogIndex maxLearnerLag_ = 256;
  /// A learner counts as caught up only if it was heard within this time.
  Duration maxReplyAge_ = milliseconds(500);
  /// A voter that was silent for this long is lost, if a learner stands ready
  /// to take its place.
  Duration replaceVoterAfter_ = milliseconds(1500);
  /// A learner that was silent for this long is forgotten, when there is a
  /// goal for the voters.
  Duration removeLearnerAfter_ = milliseconds(10000);
};

/// Decides the next step by which a leader brings the members that ask to join
/// into its group: first as learners; then, once caught up, in the place of an
/// earlier incarnation of the same instance, which must be silent, or of a
/// voter that is lost; then as voters. A voter is never removed before another
/// member can take its place: silence alone may be a partition.
///
/// @param aNode the leader.
/// @param aJoiningMembers members that have asked lately.
/// @return the membership to propose, or nothing.
std::optional<Membership> PlanMembershipChange(
  const ConsensusNode& aNode,
  const std::vector<GroupMember>& aJoiningMembers,
  const MembershipGoal& aGoal,
  TimePoint aNow);

} // namespace foxtail

#endif // CONSENSUS_MEMBERSHIPPLAN_H
