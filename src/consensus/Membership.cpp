#include "consensus/Membership.h"

#include "consensus/WireTypes.h"
#include "core/Error.h"

#include <algorithm>

namespace foxtail {

std::string ToText(const MemberId& aId)
{
  return aId.instance_.Value() + "/" + std::to_string(aId.incarnation_.Value());
}

const GroupMember* Membership::Find(const MemberId& aId) const
{
  for (const GroupMember& member : members_) {
    if (member.id_ == aId) {
      return &member;
    }
  }
  return nullptr;
}

bool Membership::IsVoter(const MemberId& aId) const
{
  const GroupMember* member = Find(aId);
  return member != nullptr && member->role_ == VotingRole::Voter;
}

size_t Membership::VoterCount() const
{
  return static_cast<size_t>(std::count_if(
    members_.begin(), members_.end(), [](const GroupMember& aMember) {
      return aMember.role_ == VotingRole::Voter;
    }));
}

size_t VoterDifference(const Membership& aLeft, const Membership& aRight)
{
  size_t difference = 0;
  for (const GroupMember& member : aLeft.members_) {
    const bool isVoter = member.role_ == VotingRole::Voter;
    difference += isVoter && !aRight.IsVoter(member.id_) ? 1 : 0;
  }
  for (const GroupMember& member : aRight.members_) {
    const bool isVoter = member.role_ == VotingRole::Voter;
    difference += isVoter && !aLeft.IsVoter(member.id_) ? 1 : 0;
  }
  return difference;
}

std::string EncodeMembership(const Membership& aMembership)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(ToWire(builder, aMembership));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

absl::StatusOr<Membership> DecodeMembership(std::string_view aText)
{
  const auto* data = reinterpret_cast<const uint8_t*>(aText.data());
  flatbuffers::Verifier verifier(data, aText.size());
  if (!verifier.VerifyBuffer<wire::Membership>(nullptr)) {
    return MakeError(ErrorKind::Protocol,
                     "the log contains a malformed membership; run the same "
                     "release on all control instances");
  }
  return FromWire(*flatbuffers::GetRoot<wire::Membership>(data));
}

} // namespace foxtail
