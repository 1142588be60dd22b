#include "consensus/MembershipPlan.h"

namespace foxtail {
namespace {

bool IsCaughtUp(const ConsensusNode& aNode,
                const MemberId& aId,
                LogIndex aMaxLag,
                Duration aSilence,
                TimePoint aNow)
{
  const MemberProgress* progress = aNode.ProgressOf(aId);
  return progress != nullptr && progress->match_ > 0 &&
         progress->match_ + aMaxLag >= aNode.CommitIndex() &&
         aNow - progress->lastHeard_ < aSilence;
}

/// @return the membership with the joiner as a learner; learners of the same
/// instance are earlier incarnations that will not come back.
Membership WithLearner(Membership aMembership, GroupMember aJoiner)
{
  std::erase_if(aMembership.members_, [&](const GroupMember& aMember) {
    return aMember.role_ == VotingRole::Learner &&
           aMember.id_.instance_ == aJoiner.id_.instance_;
  });
  aJoiner.role_ = VotingRole::Learner;
  aMembership.members_.push_back(std::move(aJoiner));
  return aMembership;
}

const GroupMember* FindEarlierVoter(const Membership& aMembership,
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

/// @return whether the instance runs under an earlier incarnation too: two
/// processes were given one name.
bool IsNameInUse(const ConsensusNode& aNode,
                 const MemberId& aId,
                 Duration aSilence,
                 TimePoint aNow)
{
  const GroupMember* earlier = FindEarlierVoter(aNode.CurrentMembership(), aId);
  if (earlier == nullptr) {
    return false;
  }
  const MemberProgress* progress = aNode.ProgressOf(earlier->id_);
  return progress != nullptr && aNow - progress->lastHeard_ < aSilence;
}

Membership Without(Membership aMembership, const MemberId& aId)
{
  std::erase_if(aMembership.members_,
                [&](const GroupMember& aMember) { return aMember.id_ == aId; });
  return aMembership;
}

Membership Promoted(Membership aMembership, const MemberId& aId)
{
  for (GroupMember& member : aMembership.members_) {
    if (member.id_ == aId) {
      member.role_ = VotingRole::Voter;
    }
  }
  return aMembership;
}

/// @return how long a member has been silent; nothing when the leader does not
/// follow it, as it is the leader itself.
std::optional<Duration> SilenceOf(const ConsensusNode& aNode,
                                  const MemberId& aId,
                                  TimePoint aNow)
{
  const MemberProgress* progress = aNode.ProgressOf(aId);
  if (progress == nullptr || aId == aNode.Self()) {
    return std::nullopt;
  }
  return aNow - progress->lastHeard_;
}

/// @return the member of a role that was silent the longest, and at least for
/// @p aLimit; or null.
const GroupMember* FindSilent(const ConsensusNode& aNode,
                              VotingRole aRole,
                              Duration aLimit,
                              TimePoint aNow)
{
  const GroupMember* found = nullptr;
  Duration longest = aLimit;
  for (const GroupMember& member : aNode.CurrentMembership().members_) {
    const auto silence = SilenceOf(aNode, member.id_, aNow);
    if (member.role_ == aRole && silence && *silence >= longest) {
      found = &member;
      longest = *silence;
    }
  }
  return found;
}

/// @return the step that brings a learner that has caught up among the voters.
std::optional<Membership> PlanPromotion(const ConsensusNode& aNode,
                                        const GroupMember& aLearner,
                                        const MembershipGoal& aGoal,
                                        TimePoint aNow)
{
  const Membership& membership = aNode.CurrentMembership();
  if (const GroupMember* earlier = FindEarlierVoter(membership, aLearner.id_)) {
    return Without(membership, earlier->id_);
  }
  if (aGoal.voters_ == 0 || membership.VoterCount() < aGoal.voters_) {
    return Promoted(membership, aLearner.id_);
  }
  if (const GroupMember* lost =
        FindSilent(aNode, VotingRole::Voter, aGoal.replaceAfter_, aNow)) {
    return Without(membership, lost->id_);
  }
  return std::nullopt;
}

} // namespace

std::optional<Membership> PlanMembership(
  const ConsensusNode& aNode,
  const std::vector<GroupMember>& aJoiners,
  const MembershipGoal& aGoal,
  TimePoint aNow)
{
  if (!aNode.HasCommittedInTerm() || !aNode.IsMembershipCommitted()) {
    return std::nullopt;
  }
  const Membership& membership = aNode.CurrentMembership();
  for (const GroupMember& joiner : aJoiners) {
    const bool isLeader = joiner.id_.instance_ == aNode.Self().instance_;
    if (!isLeader && membership.Find(joiner.id_) == nullptr &&
        !IsNameInUse(aNode, joiner.id_, aGoal.silence_, aNow)) {
      return WithLearner(membership, joiner);
    }
  }
  for (const GroupMember& member : membership.members_) {
    if (member.role_ != VotingRole::Learner ||
        !IsCaughtUp(aNode, member.id_, aGoal.maxLag_, aGoal.silence_, aNow) ||
        IsNameInUse(aNode, member.id_, aGoal.silence_, aNow)) {
      continue;
    }
    if (auto next = PlanPromotion(aNode, member, aGoal, aNow)) {
      return next;
    }
  }
  if (aGoal.voters_ != 0) {
    if (const GroupMember* lost =
          FindSilent(aNode, VotingRole::Learner, aGoal.forgetAfter_, aNow)) {
      return Without(membership, lost->id_);
    }
  }
  return std::nullopt;
}

} // namespace foxtail
