#ifndef CONSENSUS_WIRETYPES_H
#define CONSENSUS_WIRETYPES_H

#include "consensus/Message.h"
#include "consensus/consensus_generated.h"

namespace foxtail {

// Conversions between the types of the consensus module and their FlatBuffers
// tables. FromWire() requires a verified buffer.

flatbuffers::Offset<wire::MemberId> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const MemberId& aId);
flatbuffers::Offset<wire::Membership> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const Membership& aMembership);
flatbuffers::Offset<wire::Entry> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const LogEntry& aEntry);
flatbuffers::Offset<wire::SnapshotMeta> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const SnapshotMeta& aMeta);
flatbuffers::Offset<wire::HardState> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const HardState& aState);

MemberId FromWire(const wire::MemberId& aId);
Membership FromWire(const wire::Membership& aMembership);
LogEntry FromWire(const wire::Entry& aEntry);
SnapshotMeta FromWire(const wire::SnapshotMeta& aMeta);
HardState FromWire(const wire::HardState& aState);

} // namespace foxtail

#endif // CONSENSUS_WIRETYPES_H
