#ifndef POLICY_SLOWNESSESTIMATOR_H
#define POLICY_SLOWNESSESTIMATOR_H

#include "core/Time.h"

#include <cstdint>

namespace foxtail {

/// How slow a backend server is, learned from its replies and from what it says
/// of itself. Servers pause for a
/// moment now and then: all requests that wait out one pause count as one slow
/// episode, which is soon forgotten. Each further episode without a usual reply
/// between is remembered twice as long, so that a server that is really slow is
/// tried ever less often. Not thread safe.
class SlownessEstimator
{
public:
  /// Takes a reply.
  ///
  /// @param aRatio time that it took over the usual time, above 0.
  void OnReply(double aRatio, TimePoint aSentAt, TimePoint aNow);

  /// Takes a request that was given up after waiting this long.
  void OnAbandoned(double aRatio, TimePoint aSentAt, TimePoint aNow);

  /// Takes what the server itself says with a reply: how long work takes there
  /// now over the usual time.
  void OnReported(double aRatio, TimePoint aNow);

  /// @return expected time over the usual time; 1 when nothing is known.
  double Slowness(TimePoint aNow) const;

private:
  /// Replies above this are slow: the slowest hundredth of usual work apart.
  static constexpr double kSlowRatio = 2.5;
  static constexpr double kMinRatio = 0.3;
  static constexpr double kMaxRatio = 30;
  /// Weight of a reply in the moving average.
  static constexpr double kSampleWeight = 0.25;
  /// A single slow episode counts half after this; a pause of a server is over
  /// when its replies arrive.
  static constexpr milliseconds kInitialHalfLife{ 300 };
  static constexpr uint32_t kMaxDoublings = 4;

  /// A reported ratio from here on is of a server that is slow for seconds; a
  /// lower one of a neighbour on its machine, and is soon over.
  static constexpr double kSustainedRatio = 8;
  /// Half of the reports of 4 times the usual were over after this, on a day
  /// with 1,239 of them.
  static constexpr milliseconds kTransientReportHalfLife{ 250 };
  /// Servers that reported 12 times the usual did so for 8 s; long enough for
  /// an instance that sends two requests a second, short enough to notice the
  /// end.
  static constexpr milliseconds kSustainedReportHalfLife{ 2000 };

  void AddSample(double aRatio, double aWeight, TimePoint aNow);
  /// @return the logarithm of what replies showed, faded.
  double ObservedLogSlowness(TimePoint aNow) const;
  /// @return the logarithm of what was reported, faded.
  double ReportedLogSlowness(TimePoint aNow) const;

  /// Logarithm of the slowness, at observedAt_.
  double observedLog_ = 0;
  TimePoint observedAt_{};
  /// Slow episodes since the last usual reply.
  uint32_t slowEpisodes_ = 0;
  /// When the latest slow episode was noticed.
  TimePoint latestEpisodeAt_{};
  /// Logarithm of what the server reported, at reportedAt_.
  double reportedLog_ = 0;
  TimePoint reportedAt_{};
};

} // namespace foxtail

#endif // POLICY_SLOWNESSESTIMATOR_H
