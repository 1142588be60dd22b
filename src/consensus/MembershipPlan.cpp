#include "consensus/MembershipPlan.h"

namespace foxtail {
namespace {

bool IsCaughtUp(const ConsensusNode& aNode,
                const MemberId& aId,
                LogIndex aMaxLag,
                Duration aMaxReplyAge,
                TimePoint aNow)
{
  const MemberProgress* progress = aNode.ProgressOf(aId);
  return progress != nullptr && progress->matchIndex_ > 0 &&
         progress->matchIndex_ + aMaxLag >= aNode.CommitIndex() &&
         aNow - progress->lastReplyTime_ < aMaxReplyAge;
}

/// @return the membership with the joining member as a learner, without other
/// learners of the same instance: those are earlier incarnations, which do not
/// return.
Membership WithLearner(Membership aMembership, GroupMember aJoiningMember)
{
  std::erase_if(aMembership.members_, [&](const GroupMember& aMember) {
    return aMember.role_ == VotingRole::Learner &&
           aMember.id_.instance_ == aJoiningMember.id_.instance_;
  });
  aJoiningMember.role_ = VotingRole::Learner;
  aMembership.members_.push_back(std::move(aJoiningMember));
  return aMembership;
}

const GroupMember* FindVoterOfSameInstance(const Membership& aMembership,
                                           const MemberId& aId)
{
  for (const GroupMember& member : aMembership.members_) {
    if (member.role_ == VotingRole::Voter && member.id_ != aId &&
        member.id_.instance_ == aId.instance_) {
      return &member;
    }
  }
  return nullptr;
}

/// @return whether a voter with another incarnation of the same instance still
/// replies: two processes run under one instance name.
bool IsEarlierIncarnationResponsive(const ConsensusNode& aNode,
                                    const MemberId& aId,
                                    Duration aMaxReplyAge,
                                    TimePoint aNow)
{
  const GroupMember* sameInstance =
    FindVoterOfSameInstance(aNode.CurrentMembership(), aId);
  if (sameInstance == nullptr) {
    return false;
  }
  const MemberProgress* progress = aNode.ProgressOf(sameInstance->id_);
  return progress != nullptr && aNow - progress->lastReplyTime_ < aMaxReplyAge;
}

Membership WithoutMember(Membership aMembership, const MemberId& aId)
{
  std::erase_if(aMembership.members_,
                [&](const GroupMember& aMember) { return aMember.id_ == aId; });
  return aMembership;
}

Membership WithPromotedLearner(Membership aMembership, const MemberId& aId)
{
  for (GroupMember& member : aMembership.members_) {
    if (member.id_ == aId) {
      member.role_ = VotingRole::Voter;
    }
  }
  return aMembership;
}

/// @return the time since the member's latest reply; nothing for the leader
/// itself and for members that the leader does not track.
std::optional<Duration> TimeSinceReply(const ConsensusNode& aNode,
                                       const MemberId& aId,
                                       TimePoint aNow)
{
  const MemberProgress* progress = aNode.ProgressOf(aId);
  if (progress == nullptr || aId == aNode.Self()) {
    return std::nullopt;
  }
  return aNow - progress->lastReplyTime_;
}

/// @return the member of role @p aRole with the longest time since its latest
/// reply, of at least @p aLimit; or null.
const GroupMember* FindUnresponsive(const ConsensusNode& aNode,
                                    VotingRole aRole,
                                    Duration aLimit,
                                    TimePoint aNow)
{
  const GroupMember* found = nullptr;
  Duration longest = aLimit;
  for (const GroupMember& member : aNode.CurrentMembership().members_) {
    const auto sinceReply = TimeSinceReply(aNode, member.id_, aNow);
    if (member.role_ == aRole && sinceReply && *sinceReply >= longest) {
      found = &member;
      longest = *sinceReply;
    }
  }
  return found;
}

/// @return the next change on the way to make a caught-up learner a voter: the
/// removal of the voter that it replaces, or its promotion; nothing when the
/// group has enough voters and none of them is to be replaced.
std::optional<Membership> PlanPromotion(const ConsensusNode& aNode,
                                        const GroupMember& aLearner,
                                        const MembershipGoal& aGoal,
                                        TimePoint aNow)
{
  const Membership& membership = aNode.CurrentMembership();
  if (const GroupMember* sameInstance =
        FindVoterOfSameInstance(membership, aLearner.id_)) {
    return WithoutMember(membership, sameInstance->id_);
  }
  if (aGoal.voters_ == 0 || membership.VoterCount() < aGoal.voters_) {
    return WithPromotedLearner(membership, aLearner.id_);
  }
  if (const GroupMember* unresponsive = FindUnresponsive(
        aNode, VotingRole::Voter, aGoal.replaceVoterAfter_, aNow)) {
    return WithoutMember(membership, unresponsive->id_);
  }
  return std::nullopt;
}

} // namespace

std::optional<Membership> PlanMembershipChange(
  const ConsensusNode& aNode,
  const std::vector<GroupMember>& aJoiningMembers,
  const MembershipGoal& aGoal,
  TimePoint aNow)
{
  if (!aNode.HasCommittedInTerm() || !aNode.IsMembershipCommitted()) {
    return std::nullopt;
  }
  const Membership& membership = aNode.CurrentMembership();
  for (const GroupMember& joiningMember : aJoiningMembers) {
    const bool isLeader = joiningMember.id_.instance_ == aNode.Self().instance_;
    if (!isLeader && membership.Find(joiningMember.id_) == nullptr &&
        !IsEarlierIncarnationResponsive(
          aNode, joiningMember.id_, aGoal.maxReplyAge_, aNow)) {
      return WithLearner(membership, joiningMember);
    }
  }
  for (const GroupMember& member : membership.members_) {
    if (member.role_ != VotingRole::Learner ||
        !IsCaughtUp(
          aNode, member.id_, aGoal.maxLearnerLag_, aGoal.maxReplyAge_, aNow) ||
        IsEarlierIncarnationResponsive(
          aNode, member.id_, aGoal.maxReplyAge_, aNow)) {
      continue;
    }
    if (auto next = PlanPromotion(aNode, member, aGoal, aNow)) {
      return next;
    }
  }
  if (aGoal.voters_ != 0) {
    if (const GroupMember* unresponsive = FindUnresponsive(
          aNode, VotingRole::Learner, aGoal.removeLearnerAfter_, aNow)) {
      return WithoutMember(membership, unresponsive->id_);
    }
  }
  return std::nullopt;
}

} // namespace foxtail
