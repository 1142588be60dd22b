#include "control/ControlState.h"

#include "control/DepartureCodec.h"
#include "instance/WireCodec.h"

#include <algorithm>

namespace foxtail {
namespace {

struct CommandApplier
{
  DocumentLedger& documents_;
  ClaimTable& claims_;
  DepartureTable& departures_;
  EvacuationTable& evacuations_;
  milliseconds time_;

  CommandResult operator()(const ChangeDocument& aBody) const
  {
    return documents_.Apply(aBody, time_);
  }
  CommandResult operator()(const AdoptDocument& aBody) const
  {
    return documents_.Adopt(aBody, time_);
  }
  CommandResult operator()(const RecordDeparture& aBody) const
  {
    departures_.Apply(aBody.announcement_, time_);
    return DepartureRecorded{};
  }
  CommandResult operator()(const SetEvacuation& aBody) const
  {
    return evacuations_.Apply(aBody);
  }
  template<typename Body>
  CommandResult operator()(const Body& aBody) const
  {
    return claims_.Apply(aBody, time_);
  }
};

flatbuffers::Offset<wire::HistoryRow> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const HistoryEntry& aEntry)
{
  const auto id = aBuilder.CreateString(aEntry.changeId_.Value());
  const auto author = aBuilder.CreateString(aEntry.author_);
  flatbuffers::Offset<flatbuffers::String> text;
  if (aEntry.text_ != nullptr) {
    text = aBuilder.CreateString(*aEntry.text_);
  }
  return wire::CreateHistoryRow(
    aBuilder, aEntry.version_.Value(), id, author, aEntry.time_.count(), text);
}

flatbuffers::Offset<wire::ChangeRow> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const ChangeRecord& aRecord)
{
  const auto id = aBuilder.CreateString(aRecord.changeId_.Value());
  return wire::CreateChangeRow(aBuilder,
                               id,
                               aRecord.baseVersion_.Value(),
                               aRecord.bodyHash_,
                               static_cast<uint8_t>(aRecord.result_.outcome_),
                               aRecord.result_.version_.Value());
}

flatbuffers::Offset<wire::ClaimRow> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const std::string& aKey,
  const ClaimRow& aRow)
{
  // The row key already contains the service, so the service field is empty.
  const auto service = aBuilder.CreateSharedString("");
  const auto key = aBuilder.CreateString(aKey);
  const auto request = aBuilder.CreateString(aRow.request_.Value());
  const auto body = aBuilder.CreateString(aRow.record_.body_);
  return wire::CreateClaimRow(aBuilder,
                              service,
                              key,
                              aRow.bodyHash_,
                              request,
                              aRow.grant_.Value(),
                              static_cast<uint8_t>(aRow.phase_),
                              aRow.expiresAt_.count(),
                              aRow.record_.httpStatus_,
                              body);
}

HistoryEntry FromWire(const wire::HistoryRow& aRow)
{
  HistoryEntry entry;
  entry.version_ = DocumentVersion(aRow.version());
  entry.changeId_ = ChangeId(aRow.change_id()->str());
  entry.author_ = aRow.author()->str();
  entry.time_ = milliseconds(aRow.time_ms());
  if (aRow.text() != nullptr) {
    entry.text_ = std::make_shared<const std::string>(aRow.text()->str());
  }
  return entry;
}

ChangeRecord FromWire(const wire::ChangeRow& aRow)
{
  const bool isKnown = aRow.outcome() < EnumTable<ChangeOutcome>::kRows.size();
  const auto outcome = isKnown ? static_cast<ChangeOutcome>(aRow.outcome())
                               : ChangeOutcome::Conflict;
  return { ChangeId(aRow.change_id()->str()),
           DocumentVersion(aRow.base_version()),
           aRow.body_hash(),
           { outcome, DocumentVersion(aRow.version()) } };
}

ClaimRow FromWire(const wire::ClaimRow& aRow)
{
  ClaimRow row;
  row.bodyHash_ = aRow.body_hash();
  row.request_ = RequestId(aRow.request()->str());
  row.grant_ = GrantId(aRow.grant());
  row.phase_ = aRow.state() < EnumTable<ClaimPhase>::kRows.size()
                 ? static_cast<ClaimPhase>(aRow.state())
                 : ClaimPhase::Open;
  row.expiresAt_ = milliseconds(aRow.expires_ms());
  row.record_ = { aRow.http_status(), ToText(aRow.body()) };
  return row;
}

absl::StatusOr<DepartureTable::Rows> DeparturesOf(
  const wire::ControlSnapshot& aSnapshot)
{
  DepartureTable::Rows rows;
  if (aSnapshot.departures() == nullptr) {
    return rows;
  }
  for (const wire::DepartureRow* row : *aSnapshot.departures()) {
    auto announcement = DecodeDeparture(*row->announcement());
    if (!announcement.ok()) {
      return announcement.status();
    }
    rows[announcement->id_] = { *announcement,
                                milliseconds(row->recorded_at_ms()) };
  }
  return rows;
}

flatbuffers::Offset<wire::Evacuations> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const EvacuationTable::Rows& aRows)
{
  std::vector<flatbuffers::Offset<flatbuffers::String>> zones;
  zones.reserve(aRows.zones_.size());
  for (const ZoneName& zone : aRows.zones_) {
    zones.push_back(aBuilder.CreateString(zone.Value()));
  }
  const auto zoneList = aBuilder.CreateVector(zones);
  return wire::CreateEvacuations(
    aBuilder, zoneList, aRows.revision_, aRows.orders_);
}

EvacuationTable::Rows EvacuationsOf(const wire::ControlSnapshot& aSnapshot)
{
  EvacuationTable::Rows rows;
  if (aSnapshot.evacuations() == nullptr) {
    return rows;
  }
  for (const flatbuffers::String* zone : *aSnapshot.evacuations()->zones()) {
    rows.zones_.insert(ZoneName(zone->str()));
  }
  rows.revision_ = aSnapshot.evacuations()->revision();
  rows.orders_ = aSnapshot.evacuations()->orders();
  return rows;
}

} // namespace

CommandResult ControlState::Apply(const Command& aCommand)
{
  // The clock of a new leader may be behind that of the previous one.
  logTime_ = std::max(logTime_, aCommand.time_);
  return std::visit(
    CommandApplier{ documents_, claims_, departures_, evacuations_, logTime_ },
    aCommand.body_);
}

ControlStateSnapshot ControlState::TakeSnapshot()
{
  return {
    logTime_, documents_, claims_.TakeSnapshot(), departures_, evacuations_
  };
}

std::string ControlStateSnapshot::Encode() const
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::ChangeRow>> changes;
  for (const ChangeRecord& record : documents_.Results()) {
    changes.push_back(ToWire(builder, record));
  }
  std::vector<flatbuffers::Offset<wire::HistoryRow>> history;
  for (const HistoryEntry& entry : documents_.History()) {
    history.push_back(ToWire(builder, entry));
  }
  std::vector<flatbuffers::Offset<wire::ClaimRow>> claims;
  for (const std::shared_ptr<ClaimTable::Partition>& partition : claims_) {
    for (const ClaimTable::Expiry& expiry : partition->expiries_) {
      const auto row = partition->rows_.find(expiry.key_);
      if (row != partition->rows_.end() &&
          row->second.expiresAt_ == expiry.time_) {
        claims.push_back(ToWire(builder, row->first, row->second));
      }
    }
  }
  std::vector<flatbuffers::Offset<wire::DepartureRow>> departures;
  for (const auto& [id, row] : departures_.GetRows()) {
    const auto announcement = EncodeDeparture(builder, row.announcement_);
    departures.push_back(
      wire::CreateDepartureRow(builder, announcement, row.recordedAt_.count()));
  }
  const auto evacuations = ToWire(builder, evacuations_.GetRows());
  const auto text = builder.CreateString(*documents_.Text());
  const auto changeList = builder.CreateVector(changes);
  const auto historyList = builder.CreateVector(history);
  const auto claimList = builder.CreateVector(claims);
  const auto departureList = builder.CreateVector(departures);
  builder.Finish(
    wire::CreateControlSnapshot(builder,
                                logTime_.count(),
                                ToWireVersion(documents_.Version()),
                                text,
                                changeList,
                                historyList,
                                claimList,
                                departureList,
                                evacuations));
  return FinishedBytes(builder);
}

absl::Status ControlState::Restore(std::string_view aSnapshot)
{
  const auto* bytes = reinterpret_cast<const uint8_t*>(aSnapshot.data());
  // A snapshot has more tables than the default limit of the verifier allows.
  constexpr flatbuffers::uoffset_t kMaxTables = 1U << 30;
  constexpr flatbuffers::uoffset_t kMaxDepth = 64;
  flatbuffers::Verifier verifier(
    bytes, aSnapshot.size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<wire::ControlSnapshot>(nullptr)) {
    return MakeError(ErrorKind::Protocol,
                     "the control snapshot is malformed; run the same release "
                     "on all control instances");
  }
  const auto& root = *flatbuffers::GetRoot<wire::ControlSnapshot>(bytes);
  auto departures = DeparturesOf(root);
  if (!departures.ok()) {
    return departures.status();
  }
  std::deque<HistoryEntry> history;
  for (const wire::HistoryRow* row : *root.history()) {
    history.push_back(FromWire(*row));
  }
  std::deque<ChangeRecord> results;
  for (const wire::ChangeRow* row : *root.changes()) {
    results.push_back(FromWire(*row));
  }
  logTime_ = milliseconds(root.log_time_ms());
  documents_.Restore(FromWireVersion(root.version()),
                     root.text()->str(),
                     std::move(history),
                     std::move(results));
  departures_.Restore(*std::move(departures));
  evacuations_.Restore(EvacuationsOf(root));
  claims_ = ClaimTable();
  for (const wire::ClaimRow* row : *root.claims()) {
    claims_.Restore(row->key()->str(), FromWire(*row));
  }
  return absl::OkStatus();
}

} // namespace foxtail
