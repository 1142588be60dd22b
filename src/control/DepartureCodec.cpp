#include "control/DepartureCodec.h"

#include "core/Error.h"

namespace foxtail {

flatbuffers::Offset<wire::RecordDeparture> EncodeDeparture(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const ServerAnnouncement& aDeparture)
{
  const auto id = aBuilder.CreateString(aDeparture.id_.Value());
  const auto service = aBuilder.CreateString(aDeparture.service_.Value());
  const auto address = aBuilder.CreateString(aDeparture.address_);
  const auto zone = aBuilder.CreateString(aDeparture.zone_.Value());
  return wire::CreateRecordDeparture(aBuilder,
                                     id,
                                     service,
                                     address,
                                     zone,
                                     aDeparture.slots_,
                                     static_cast<uint8_t>(aDeparture.phase_),
                                     aDeparture.startedAtMs_,
                                     aDeparture.sequence_);
}

absl::StatusOr<ServerAnnouncement> DecodeDeparture(
  const wire::RecordDeparture& aWire)
{
  ServerAnnouncement departure;
  departure.phase_ = static_cast<ServerPhase>(aWire.phase());
  if (departure.phase_ != ServerPhase::Draining &&
      departure.phase_ != ServerPhase::Gone) {
    return MakeError(ErrorKind::Protocol,
                     "the departure has an unknown phase; run the same release "
                     "on all instances");
  }
  departure.id_ = BackendId(aWire.id()->str());
  departure.service_ = ServiceName(aWire.service()->str());
  departure.address_ = aWire.address()->str();
  departure.zone_ = ZoneName(aWire.zone()->str());
  departure.slots_ = aWire.slots();
  departure.startedAtMs_ = aWire.started_at_ms();
  departure.sequence_ = aWire.sequence();
  return departure;
}

} // namespace foxtail
