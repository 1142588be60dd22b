#ifndef POLICY_POLICYSETTINGS_H
#define POLICY_POLICYSETTINGS_H

#include "policy/AdmissionQueue.h"
#include "policy/AnnouncementRegistry.h"
#include "policy/ConnectionShare.h"
#include "policy/DrainPolicy.h"
#include "policy/EjectionPolicy.h"
#include "policy/HedgePolicy.h"
#include "policy/InFlightLimiter.h"
#include "policy/PartialAnswerPolicy.h"
#include "policy/Ramp.h"
#include "policy/ReplicaChooser.h"
#include "policy/RetryPolicy.h"
#include "policy/SnapshotChooser.h"

namespace foxtail {

/// Settings of all policies, from the member `policy` of an entry instance's
/// settings. A service's settings in the document take precedence.
struct PolicySettings
{
  SnapshotChooserSettings snapshot_;
  ReplanSettings replan_;
  ReplicaChooserSettings replica_;
  RampSettings ramp_;
  HedgeSettings hedge_;
  RetrySettings retry_;
  InFlightLimiterSettings inFlight_;
  ConnectionShareSettings connectionShare_;
  AdmissionSettings admission_;
  EjectionSettings ejection_;
  PartialAnswerSettings partialAnswer_;
  DrainSettings drain_;

  static PolicySettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // POLICY_POLICYSETTINGS_H
