#ifndef CONTROL_CONTROLSETTINGS_H
#define CONTROL_CONTROLSETTINGS_H

#include "consensus/ConsensusSettings.h"
#include "consensus/MembershipPlan.h"
#include "core/Ids.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace foxtail {

/// A control instance and its endpoint for frames.
struct ControlPeer
{
  InstanceId instance_;
  /// For example 127.0.0.1:7000.
  std::string endpoint_;

  static ControlPeer Read(JsonReader& aReader);
};

/// Settings of a control instance's replicated state.
struct ControlSettings
{
  InstanceId instance_;
  /// Own address for frames, as other instances reach it.
  std::string endpoint_;
  /// Own address of the administration API, for redirects.
  std::string admin_;
  ConsensusSettings consensus_;
  /// Control instances that receive join requests. May include this instance.
  std::vector<ControlPeer> seeds_;
  /// Payload bytes applied since the last snapshot after which the next
  /// snapshot is due.
  uint64_t snapshotBytes_ = 32 * 1024 * 1024;
  /// Retention of a claim and its record.
  milliseconds claimRetention_ = std::chrono::hours(24);
  /// Limit on the number of claims; further ones are refused.
  size_t maxClaims_ = 1000000;
  /// Limit on the number of members; further joiners are not added.
  size_t maxMembers_ = 7;
  /// Target number of voters, and when members are promoted or removed.
  MembershipGoal goal_;
  /// Time that an instance which may create a group waits for a reply from an
  /// existing one.
  milliseconds bootstrapDelay_{ 1500 };

  /// Reads the JSON members voters, consensus, snapshot_bytes,
  /// claim_retention_ms and max_claims. The caller sets the other fields.
  static ControlSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // CONTROL_CONTROLSETTINGS_H
