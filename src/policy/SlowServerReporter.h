#ifndef POLICY_SLOWSERVERREPORTER_H
#define POLICY_SLOWSERVERREPORTER_H

#include "policy/SlowServerBoard.h"

#include <functional>

namespace foxtail {

/// Decides which of this instance's observations are reported to others. An
/// instance that finds a large part of its requests slow is slow itself, or its
/// network is, and reports nothing. Not thread safe.
class SlowServerReporter
{
public:
  using Callback = std::function<void(const SlowServerReport&)>;

  /// Sets the function that sends a report.
  void SetCallback(Callback aCallback) { callback_ = std::move(aCallback); }

  /// Counts the latency of one request.
  void OnLatency(const SlowServerReport& aObservation);

private:
  /// Latency divided by the usual one from which a server is reported.
  static constexpr double kReportedRatio = 4;
  /// Fraction of slow requests from which the cause is not a server.
  static constexpr double kMaxSlowFraction = 0.3;
  /// Weight of a request in the moving average.
  static constexpr double kSampleWeight = 0.02;

  Callback callback_;
  double slowFraction_ = 0;
};

} // namespace foxtail

#endif // POLICY_SLOWSERVERREPORTER_H
