#include "instance/MembershipCodec.h"

#include "instance/WireCodec.h"
#include "instance/membership_generated.h"

namespace foxtail {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// An empty string is left out of the message.
Offset<flatbuffers::String> PackText(FlatBufferBuilder& aBuilder,
                                     const std::string& aText)
{
  return aText.empty() ? Offset<flatbuffers::String>(0)
                       : aBuilder.CreateString(aText);
}

Offset<wire::MemberRow> PackMember(FlatBufferBuilder& aBuilder,
                                   const Member& aMember)
{
  const auto instance = PackText(aBuilder, aMember.instance_.Value());
  const auto zone = PackText(aBuilder, aMember.zone_.Value());
  const auto endpoint = PackText(aBuilder, aMember.endpoint_);
  const auto platform = PackText(aBuilder, aMember.platformEndpoint_);
  return wire::CreateMemberRow(aBuilder,
                               instance,
                               zone,
                               endpoint,
                               platform,
                               static_cast<uint8_t>(aMember.role_),
                               aMember.incarnation_.Value(),
                               static_cast<uint8_t>(aMember.state_),
                               aMember.isLeaving_);
}

using MemberVector = flatbuffers::Vector<flatbuffers::Offset<wire::MemberRow>>;

Offset<MemberVector> PackMembers(FlatBufferBuilder& aBuilder,
                                 const std::vector<Member>& aMembers)
{
  if (aMembers.empty()) {
    return 0;
  }
  std::vector<Offset<wire::MemberRow>> rows;
  rows.reserve(aMembers.size());
  for (const Member& member : aMembers) {
    rows.push_back(PackMember(aBuilder, member));
  }
  return aBuilder.CreateVector(rows);
}

Offset<wire::ZoneRow> PackZone(FlatBufferBuilder& aBuilder,
                               const ZoneSummary& aZone)
{
  const auto zone = PackText(aBuilder, aZone.zone_.Value());
  const auto delegates = PackMembers(aBuilder, aZone.delegates_);
  return wire::CreateZoneRow(aBuilder,
                             zone,
                             aZone.contentHash_,
                             static_cast<uint32_t>(aZone.age_.count()),
                             aZone.isReachable_,
                             aZone.entryCount_,
                             delegates);
}

// Returns false for a value that is no enumerator of this release; the message
// is then malformed.
template<typename E>
bool DecodeEnum(uint8_t aValue, E& aResult)
{
  aResult = static_cast<E>(aValue);
  return aValue < EnumTable<E>::kRows.size();
}

bool UnpackMember(const wire::MemberRow& aRow, Member& aMember)
{
  aMember.instance_ = InstanceId(ToText(aRow.instance()));
  aMember.zone_ = ZoneName(ToText(aRow.zone()));
  aMember.endpoint_ = ToText(aRow.endpoint());
  aMember.platformEndpoint_ = ToText(aRow.platform());
  aMember.incarnation_ = Incarnation(aRow.incarnation());
  aMember.isLeaving_ = aRow.is_leaving();
  return DecodeEnum(aRow.role(), aMember.role_) &&
         DecodeEnum(aRow.state(), aMember.state_) &&
         !aMember.instance_.Value().empty();
}

bool UnpackMembers(const MemberVector* aRows, std::vector<Member>& aMembers)
{
  if (aRows == nullptr) {
    return true;
  }
  aMembers.resize(aRows->size());
  for (flatbuffers::uoffset_t i = 0; i < aRows->size(); ++i) {
    if (!UnpackMember(*aRows->Get(i), aMembers[i])) {
      return false;
    }
  }
  return true;
}

bool UnpackZone(const wire::ZoneRow& aRow, ZoneSummary& aZone)
{
  aZone.zone_ = ZoneName(ToText(aRow.zone()));
  aZone.contentHash_ = aRow.content_hash();
  aZone.age_ = milliseconds(aRow.age_ms());
  aZone.isReachable_ = aRow.is_reachable();
  aZone.entryCount_ = aRow.entries();
  return UnpackMembers(aRow.delegates(), aZone.delegates_);
}

absl::Status Malformed()
{
  return MakeError(ErrorKind::Protocol,
                   "malformed membership message; run the same release on all "
                   "instances");
}

} // namespace

std::string EncodeMembership(const MembershipMessage& aMessage)
{
  FlatBufferBuilder builder;
  const auto from = PackText(builder, aMessage.from_.Value());
  const auto endpoint = PackText(builder, aMessage.endpoint_);
  const auto subject = PackText(builder, aMessage.subject_.Value());
  const auto subjectEndpoint = PackText(builder, aMessage.subjectEndpoint_);
  const auto members = PackMembers(builder, aMessage.members_);
  std::vector<Offset<wire::ZoneRow>> zoneRows;
  zoneRows.reserve(aMessage.zones_.size());
  for (const ZoneSummary& zone : aMessage.zones_) {
    zoneRows.push_back(PackZone(builder, zone));
  }
  std::vector<wire::DigestRow> digestRows;
  digestRows.reserve(aMessage.digest_.size());
  for (const MemberDigest& digest : aMessage.digest_) {
    digestRows.emplace_back(digest.nameHash_, digest.rowHash_);
  }
  const auto zones = zoneRows.empty() ? 0 : builder.CreateVector(zoneRows);
  const auto digest =
    digestRows.empty() ? 0 : builder.CreateVectorOfStructs(digestRows);
  const auto wanted = aMessage.wantedNameHashes_.empty()
                        ? 0
                        : builder.CreateVector(aMessage.wantedNameHashes_);
  builder.Finish(
    wire::CreateMembershipMessage(builder,
                                  static_cast<uint8_t>(aMessage.kind_),
                                  aMessage.sequence_,
                                  from,
                                  endpoint,
                                  aMessage.documentVersion_.Value(),
                                  aMessage.viewHash_,
                                  subject,
                                  subjectEndpoint,
                                  members,
                                  zones,
                                  digest,
                                  wanted,
                                  aMessage.knownZoneHash_));
  return FinishedBytes(builder);
}

absl::StatusOr<MembershipMessage> DecodeMembership(std::string_view aPayload)
{
  const auto root = VerifyAndGetRoot<wire::MembershipMessage>(aPayload);
  if (!root.ok()) {
    return root.status();
  }
  const wire::MembershipMessage& wireMessage = **root;
  MembershipMessage message;
  message.sequence_ = wireMessage.sequence();
  message.from_ = InstanceId(ToText(wireMessage.from()));
  message.endpoint_ = ToText(wireMessage.endpoint());
  message.documentVersion_ = DocumentVersion(wireMessage.document_version());
  message.viewHash_ = wireMessage.view_hash();
  message.subject_ = InstanceId(ToText(wireMessage.subject()));
  message.subjectEndpoint_ = ToText(wireMessage.subject_endpoint());
  message.knownZoneHash_ = wireMessage.known_zone_hash();
  if (!DecodeEnum(wireMessage.kind(), message.kind_) ||
      message.from_.Value().empty() ||
      !UnpackMembers(wireMessage.members(), message.members_)) {
    return Malformed();
  }
  if (wireMessage.zones() != nullptr) {
    for (const wire::ZoneRow* row : *wireMessage.zones()) {
      if (!UnpackZone(*row, message.zones_.emplace_back())) {
        return Malformed();
      }
    }
  }
  if (wireMessage.digest() != nullptr) {
    for (const wire::DigestRow* row : *wireMessage.digest()) {
      message.digest_.push_back({ row->name_hash(), row->row_hash() });
    }
  }
  if (wireMessage.wanted() != nullptr) {
    message.wantedNameHashes_.assign(wireMessage.wanted()->begin(),
                                     wireMessage.wanted()->end());
  }
  return message;
}

} // namespace foxtail
