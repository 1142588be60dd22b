#include "control/ControlSettings.h"

namespace foxtail {

ControlPeer ControlPeer::Read(JsonReader& aReader)
{
  ControlPeer peer;
  peer.instance_ = InstanceId(aReader.RequiredString("instance"));
  peer.endpoint_ = aReader.RequiredString("endpoint");
  return peer;
}

ControlSettings ControlSettings::Read(JsonReader& aReader)
{
  constexpr size_t kMaxVoters = 10;
  constexpr int64_t kMaxSnapshotBytes = int64_t{ 1 } << 30;
  constexpr int64_t kMaxClaims = 100000000;
  ControlSettings settings;
  aReader.Objects("voters", kMaxVoters, [&](JsonReader& aMember) {
    settings.seeds_.push_back(ControlPeer::Read(aMember));
  });
  aReader.Object("consensus", [&](JsonReader& aMember) {
    settings.consensus_ = ConsensusSettings::Read(aMember);
  });
  settings.snapshotBytes_ = static_cast<uint64_t>(
    aReader.Integer("snapshot_bytes",
                    static_cast<int64_t>(settings.snapshotBytes_),
                    1,
                    kMaxSnapshotBytes));
  settings.claimRetention_ = aReader.Millis("claim_retention_ms",
                                            settings.claimRetention_,
                                            milliseconds(1),
                                            std::chrono::hours(24 * 365));
  settings.maxClaims_ = static_cast<size_t>(aReader.Integer(
    "max_claims", static_cast<int64_t>(settings.maxClaims_), 1, kMaxClaims));
  return settings;
}

} // namespace foxtail
