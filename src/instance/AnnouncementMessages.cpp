#include "instance/AnnouncementMessages.h"

#include "instance/WireCodec.h"
#include "instance/announcement_generated.h"

namespace foxtail {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<wire::AnnouncementRow> PackRow(FlatBufferBuilder& aBuilder,
                                      const AnnouncementRow& aRow)
{
  const Announcement& announcement = aRow.announcement_;
  const auto server = aBuilder.CreateString(announcement.server_.Value());
  const auto service = aBuilder.CreateString(announcement.service_.Value());
  const auto catalogue = aBuilder.CreateString(announcement.catalogue_.Value());
  const auto zone = aBuilder.CreateString(announcement.zone_.Value());
  const auto address = aBuilder.CreateString(announcement.address_);
  const auto home = aRow.homeZone_ == announcement.zone_
                      ? Offset<flatbuffers::String>(0)
                      : aBuilder.CreateString(aRow.homeZone_.Value());
  return wire::CreateAnnouncementRow(aBuilder,
                                     server,
                                     announcement.incarnation_.Value(),
                                     announcement.sequence_,
                                     service,
                                     catalogue,
                                     announcement.version_.Value(),
                                     announcement.shard_.Value(),
                                     announcement.shardCount_,
                                     zone,
                                     address,
                                     announcement.slots_,
                                     announcement.connections_,
                                     static_cast<uint8_t>(announcement.state_),
                                     home);
}

bool UnpackRow(const wire::AnnouncementRow& aWire, AnnouncementRow& aRow)
{
  Announcement& announcement = aRow.announcement_;
  announcement.server_ = BackendId(ToText(aWire.server()));
  announcement.incarnation_ = Incarnation(aWire.incarnation());
  announcement.sequence_ = aWire.sequence();
  announcement.service_ = ServiceName(ToText(aWire.service()));
  announcement.catalogue_ = CatalogueName(ToText(aWire.catalogue()));
  announcement.version_ = IndexVersion(aWire.version());
  announcement.shard_ = ShardId(aWire.shard());
  announcement.shardCount_ = aWire.shard_count();
  announcement.zone_ = ZoneName(ToText(aWire.zone()));
  announcement.address_ = ToText(aWire.address());
  announcement.slots_ = aWire.slots();
  announcement.connections_ = aWire.connections();
  announcement.state_ = static_cast<BackendState>(aWire.state());
  aRow.homeZone_ = aWire.home_zone() == nullptr
                     ? announcement.zone_
                     : ZoneName(ToText(aWire.home_zone()));
  return aWire.state() < EnumTable<BackendState>::kRows.size() &&
         !announcement.server_.Value().empty() &&
         announcement.shard_.Value() < announcement.shardCount_;
}

absl::Status Malformed()
{
  return MakeError(ErrorKind::Protocol,
                   "announcement message is malformed; run the same release on "
                   "all instances");
}

} // namespace

std::string EncodeAnnouncements(const AnnouncementMessage& aMessage)
{
  FlatBufferBuilder builder;
  std::vector<Offset<wire::AnnouncementRow>> rows;
  rows.reserve(aMessage.rows_.size());
  for (const AnnouncementRow& row : aMessage.rows_) {
    rows.push_back(PackRow(builder, row));
  }
  std::vector<Offset<wire::WithdrawalRow>> withdrawals;
  withdrawals.reserve(aMessage.withdrawals_.size());
  for (const Withdrawal& withdrawal : aMessage.withdrawals_) {
    const auto server = builder.CreateString(withdrawal.server_.Value());
    withdrawals.push_back(wire::CreateWithdrawalRow(
      builder, server, withdrawal.incarnation_.Value(), withdrawal.sequence_));
  }
  std::vector<wire::RenewalRow> renewals;
  renewals.reserve(aMessage.renewals_.size());
  std::vector<uint64_t> renewalContents;
  renewalContents.reserve(aMessage.renewals_.size());
  for (const Renewal& renewal : aMessage.renewals_) {
    renewals.emplace_back(
      renewal.nameHash_, renewal.incarnation_.Value(), renewal.sequence_);
    renewalContents.push_back(renewal.contentHash_);
  }
  std::vector<wire::ZoneHash> digests;
  digests.reserve(aMessage.digests_.size());
  for (const ZoneDigest& digest : aMessage.digests_) {
    digests.emplace_back(digest.zoneHash_, digest.rowsHash_);
  }
  const auto endpoint = aMessage.endpoint_.empty()
                          ? Offset<flatbuffers::String>(0)
                          : builder.CreateString(aMessage.endpoint_);
  const auto origin = aMessage.origin_.Value().empty()
                        ? Offset<flatbuffers::String>(0)
                        : builder.CreateString(aMessage.origin_.Value());
  const auto zone = aMessage.zone_.Value().empty()
                      ? Offset<flatbuffers::String>(0)
                      : builder.CreateString(aMessage.zone_.Value());
  const auto rowVector = rows.empty() ? 0 : builder.CreateVector(rows);
  const auto withdrawalVector =
    withdrawals.empty() ? 0 : builder.CreateVector(withdrawals);
  const auto renewalVector =
    renewals.empty() ? 0 : builder.CreateVectorOfStructs(renewals);
  const auto renewalContentVector =
    renewals.empty() ? 0 : builder.CreateVector(renewalContents);
  const auto digestVector =
    digests.empty() ? 0 : builder.CreateVectorOfStructs(digests);
  const auto buckets = aMessage.bucketHashes_.empty()
                         ? 0
                         : builder.CreateVector(aMessage.bucketHashes_);
  builder.Finish(
    wire::CreateAnnouncementMessage(builder,
                                    static_cast<uint8_t>(aMessage.kind_),
                                    endpoint,
                                    origin,
                                    rowVector,
                                    withdrawalVector,
                                    renewalVector,
                                    digestVector,
                                    zone,
                                    buckets,
                                    aMessage.wantedBuckets_,
                                    renewalContentVector));
  return FinishedBytes(builder);
}

absl::StatusOr<AnnouncementMessage> DecodeAnnouncements(
  std::string_view aPayload)
{
  const auto root = VerifyAndGetRoot<wire::AnnouncementMessage>(aPayload);
  if (!root.ok()) {
    return root.status();
  }
  const wire::AnnouncementMessage& wireMessage = **root;
  AnnouncementMessage message;
  if (wireMessage.kind() >= EnumTable<AnnouncementMessageKind>::kRows.size()) {
    return Malformed();
  }
  message.kind_ = static_cast<AnnouncementMessageKind>(wireMessage.kind());
  message.endpoint_ = ToText(wireMessage.endpoint());
  message.origin_ = InstanceId(ToText(wireMessage.origin()));
  message.zone_ = ZoneName(ToText(wireMessage.zone()));
  message.wantedBuckets_ = wireMessage.wanted_buckets();
  if (wireMessage.rows() != nullptr) {
    message.rows_.resize(wireMessage.rows()->size());
    for (flatbuffers::uoffset_t i = 0; i < wireMessage.rows()->size(); ++i) {
      if (!UnpackRow(*wireMessage.rows()->Get(i), message.rows_[i])) {
        return Malformed();
      }
    }
  }
  if (wireMessage.withdrawals() != nullptr) {
    for (const wire::WithdrawalRow* row : *wireMessage.withdrawals()) {
      message.withdrawals_.push_back({ BackendId(ToText(row->server())),
                                       Incarnation(row->incarnation()),
                                       row->sequence() });
    }
  }
  if (wireMessage.renewals() != nullptr) {
    // Absent in messages of earlier releases.
    const auto* contents = wireMessage.renewal_contents();
    for (flatbuffers::uoffset_t i = 0; i < wireMessage.renewals()->size();
         ++i) {
      const wire::RenewalRow* row = wireMessage.renewals()->Get(i);
      const bool hasContent = contents != nullptr && i < contents->size();
      message.renewals_.push_back({ row->name_hash(),
                                    Incarnation(row->incarnation()),
                                    row->sequence(),
                                    hasContent ? contents->Get(i) : 0 });
    }
  }
  if (wireMessage.hashes() != nullptr) {
    for (const wire::ZoneHash* row : *wireMessage.hashes()) {
      message.digests_.push_back({ row->zone(), row->rows() });
    }
  }
  if (wireMessage.buckets() != nullptr) {
    message.bucketHashes_.assign(wireMessage.buckets()->begin(),
                                 wireMessage.buckets()->end());
  }
  return message;
}

} // namespace foxtail
