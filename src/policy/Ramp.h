#ifndef POLICY_RAMP_H
#define POLICY_RAMP_H

#include "core/JsonReader.h"
#include "core/Time.h"

namespace foxtail {

struct RampSettings
{
  /// How long a server gets less than its full share of requests after its
  /// start or after an ejection.
  milliseconds duration_{ 5000 };
  /// Initial weight, above 0 so that some requests warm the server's caches.
  double floor_ = 0.1;

  static RampSettings Read(JsonReader& aReader);
};

/// @param aSince when the server was first announced or its ejection ended.
/// @return a weight that grows linearly from floor_ to 1.
double RampWeight(const RampSettings& aSettings,
                  TimePoint aSince,
                  TimePoint aNow);

} // namespace foxtail

#endif // POLICY_RAMP_H
