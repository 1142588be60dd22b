#ifndef CONSENSUS_MEMBERSHIP_H
#define CONSENSUS_MEMBERSHIP_H

#include "consensus/Types.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// The members of a group. At most one voter changes at a time, so that the
/// quorums of two consecutive memberships always overlap.
struct Membership
{
  /// Random number that identifies the group, generated when the group is
  /// bootstrapped. Messages of another group are dropped.
  uint64_t group_ = 0;
  std::vector<GroupMember> members_;

  /// @return the member, or null when @p aId is not a member.
  const GroupMember* Find(const MemberId& aId) const;
  bool IsVoter(const MemberId& aId) const;
  size_t VoterCount() const;
  /// @return the number of voters that form a quorum.
  size_t QuorumSize() const { return VoterCount() / 2 + 1; }

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// @return the number of voters that only one of the two memberships has.
size_t VoterDifference(const Membership& aLeft, const Membership& aRight);

std::string EncodeMembership(const Membership& aMembership);
/// @return Protocol when @p aText is not an encoded membership.
absl::StatusOr<Membership> DecodeMembership(std::string_view aText);

} // namespace foxtail

#endif // CONSENSUS_MEMBERSHIP_H
