#ifndef POLICY_SERVERPACE_H
#define POLICY_SERVERPACE_H

#include "core/Time.h"

namespace foxtail {

struct ServerPaceSettings
{
  bool isEnabled_ = false;
  /// Share of the requests for which a server is considered at the start of its
  /// ramp. A server without a queue is usually chosen when it is considered, so
  /// with three servers this is about half of its equal share.
  double initialShare_ = 0.15;
  /// Lowest share, by which a server is still measured.
  double minShare_ = 0.05;
  /// Time in which the share of a server that is not measured grows from
  /// initialShare_ to 1, exponentially.
  milliseconds rampTime_{ 4000 };
  /// Time after which the ramp ends whatever the replies: a server that is slow
  /// for good is ranked by its slowness alone.
  milliseconds maxRampTime_{ 20000 };
  /// Latency divided by the usual one from which a reply is slow.
  double slowRatio_ = 2.5;
  /// Factors on the share after a usual reply, a slow one and a failure.
  double fastFactor_ = 1.5;
  double slowFactor_ = 0.5;
  double failureFactor_ = 0.25;
};

/// Share of the requests for which an instance considers a backend server that
/// has just started, turned cold or recovered. It grows with time and usual
/// replies and shrinks with slow replies and failures. A share of the choices
/// works for an instance that sends less than one request a second to a server,
/// where a limit on concurrent requests would be below one, and where a factor
/// on the predicted latency would exclude the server for good. Not thread safe.
class ServerPace
{
public:
  explicit ServerPace(ServerPaceSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /// Starts a ramp: the server has started, turned cold or recovered.
  ///
  /// @return false when the pace is switched off.
  bool Begin(TimePoint aNow);
  /// Counts a reply.
  ///
  /// @param aRatio its latency divided by the usual one.
  void OnReply(double aRatio, TimePoint aSentAt, TimePoint aNow);
  void OnFailure(TimePoint aSentAt, TimePoint aNow);

  bool IsRamping(TimePoint aNow) const;
  /// @return the share of requests for which the server is considered, 1 when
  /// no ramp lasts. If no server is considered, all are.
  double Share(TimePoint aNow) const;

private:
  void Scale(double aFactor, TimePoint aNow);

  ServerPaceSettings settings_;
  TimePoint beganAt_{};
  /// Share at changedAt_.
  double share_ = 1;
  TimePoint changedAt_{};
  TimePoint reducedAt_{};
};

} // namespace foxtail

#endif // POLICY_SERVERPACE_H
