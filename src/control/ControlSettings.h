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

/// A control instance, and where it takes frames.
struct ControlPeer
{
  InstanceId instance_;
  /// Such as 127.0.0.1:7000.
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
  /// Control instances that this one asks to join, itself included or not.
  std::vector<ControlPeer> seeds_;
  /// Payload bytes applied since the last snapshot that call for the next one.
  uint64_t snapshotBytes_ = 32 * 1024 * 1024;
  /// How long a claim and its record are kept.
  milliseconds claimRetention_ = std::chrono::hours(24);
  /// Claims kept at most; more are refused.
  size_t maxClaims_ = 1000000;
  /// Members at most; more are not taken in.
  size_t maxMembers_ = 7;
  /// Voters, stand-ins and lost members.
  MembershipGoal goal_;
  /// How long an instance that may make a group asks whether there is one.
  milliseconds bootstrapDelay_{ 1500 };
  /// A group that was just made takes no command until it has as many voters
  /// as the goal wants, or this time is over: one voter's disk is no safe place
  /// yet.
  milliseconds voterWaitTimeout_{ 6000 };

  /// Reads voters, consensus, snapshot_bytes, claim_retention_ms and
  /// max_claims. The rest comes from elsewhere.
  static ControlSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // CONTROL_CONTROLSETTINGS_H
