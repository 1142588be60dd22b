#ifndef CONTROL_DEPARTURECODEC_H
#define CONTROL_DEPARTURECODEC_H

#include "control/control_generated.h"
#include "policy/ServerDirectory.h"

#include <absl/status/statusor.h>

namespace foxtail {

flatbuffers::Offset<wire::RecordDeparture> EncodeDeparture(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const ServerAnnouncement& aDeparture);

/// @return Protocol when the phase is not one of a server that leaves.
absl::StatusOr<ServerAnnouncement> DecodeDeparture(
  const wire::RecordDeparture& aWire);

} // namespace foxtail

#endif // CONTROL_DEPARTURECODEC_H
