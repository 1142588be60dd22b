#include "consensus/WireTypes.h"

namespace foxtail {
namespace {

std::string TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

VotingRole RoleOf(uint8_t aRole)
{
  return aRole == static_cast<uint8_t>(VotingRole::Voter) ? VotingRole::Voter
                                                          : VotingRole::Learner;
}

EntryKind KindOfEntry(uint8_t aKind)
{
  return aKind < EnumTable<EntryKind>::kRows.size()
           ? static_cast<EntryKind>(aKind)
           : EntryKind::Noop;
}

} // namespace

flatbuffers::Offset<wire::MemberId> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const MemberId& aId)
{
  const auto instance = aBuilder.CreateString(aId.instance_.Value());
  return wire::CreateMemberId(aBuilder, instance, aId.incarnation_.Value());
}

flatbuffers::Offset<wire::Membership> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const Membership& aMembership)
{
  std::vector<flatbuffers::Offset<wire::Member>> members;
  for (const GroupMember& member : aMembership.members_) {
    const auto id = ToWire(aBuilder, member.id_);
    const auto endpoint = aBuilder.CreateString(member.endpoint_);
    const auto admin = aBuilder.CreateString(member.admin_);
    members.push_back(wire::CreateMember(
      aBuilder, id, static_cast<uint8_t>(member.role_), endpoint, admin));
  }
  const auto list = aBuilder.CreateVector(members);
  return wire::CreateMembership(aBuilder, aMembership.group_, list);
}

flatbuffers::Offset<wire::Entry> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const LogEntry& aEntry)
{
  const auto payload = aBuilder.CreateVector(
    reinterpret_cast<const uint8_t*>(aEntry.payload_.data()),
    aEntry.payload_.size());
  return wire::CreateEntry(aBuilder,
                           aEntry.term_,
                           aEntry.index_,
                           static_cast<uint8_t>(aEntry.kind_),
                           payload);
}

flatbuffers::Offset<wire::SnapshotMeta> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const SnapshotMeta& aMeta)
{
  const auto membership = ToWire(aBuilder, aMeta.membership_);
  return wire::CreateSnapshotMeta(
    aBuilder, aMeta.index_, aMeta.term_, membership);
}

flatbuffers::Offset<wire::HardState> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const HardState& aState)
{
  flatbuffers::Offset<wire::MemberId> vote;
  if (aState.vote_.has_value()) {
    vote = ToWire(aBuilder, *aState.vote_);
  }
  return wire::CreateHardState(aBuilder, aState.term_, vote);
}

MemberId FromWire(const wire::MemberId& aId)
{
  return { InstanceId(aId.instance()->str()), Incarnation(aId.incarnation()) };
}

Membership FromWire(const wire::Membership& aMembership)
{
  Membership membership;
  membership.group_ = aMembership.group();
  for (const wire::Member* member : *aMembership.members()) {
    membership.members_.push_back({ FromWire(*member->id()),
                                    RoleOf(member->role()),
                                    TextOf(member->endpoint()),
                                    TextOf(member->admin()) });
  }
  return membership;
}

LogEntry FromWire(const wire::Entry& aEntry)
{
  LogEntry entry{
    aEntry.term(), aEntry.index(), KindOfEntry(aEntry.kind()), {}
  };
  if (aEntry.payload() != nullptr) {
    entry.payload_.assign(
      reinterpret_cast<const char*>(aEntry.payload()->data()),
      aEntry.payload()->size());
  }
  return entry;
}

SnapshotMeta FromWire(const wire::SnapshotMeta& aMeta)
{
  return { aMeta.index(), aMeta.term(), FromWire(*aMeta.membership()) };
}

HardState FromWire(const wire::HardState& aState)
{
  HardState state;
  state.term_ = aState.term();
  if (aState.vote() != nullptr) {
    state.vote_ = FromWire(*aState.vote());
  }
  return state;
}

} // namespace foxtail
