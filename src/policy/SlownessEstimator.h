#ifndef POLICY_SLOWNESSESTIMATOR_H
#define POLICY_SLOWNESSESTIMATOR_H

#include "core/Time.h"

#include <cstdint>

namespace foxtail {

/// Estimates a backend server's slowness ratio from its replies and from the
/// load reports in them. Servers pause briefly now and then: all requests
/// delayed by one pause count as one slow episode, whose weight decays quickly.
/// Each further episode without a typical reply in between doubles the
/// half-life, so that a persistently slow server is retried less and less
/// often. Not thread safe.
class SlownessEstimator
{
public:
  /// Counts a reply.
  ///
  /// @param aRatio the reply's latency divided by the typical latency, above 0.
  void OnReply(double aRatio, TimePoint aSentAt, TimePoint aNow);

  /// Counts a request that was abandoned without a reply.
  ///
  /// @param aRatio time until it was abandoned divided by the typical latency.
  void OnAbandoned(double aRatio, TimePoint aSentAt, TimePoint aNow);

  /// Takes the slowness that the server reports with a reply.
  ///
  /// @param aRatio current service time at the server divided by the typical
  /// one.
  void OnReported(double aRatio, TimePoint aNow);

  /// Takes the slowness that several other instances have observed. The first
  /// typical reply to a later request of this instance ends it.
  ///
  /// @param aSentAt when the latest of their requests was sent.
  void OnShared(double aRatio, TimePoint aSentAt);

  /// @return predicted latency divided by the typical latency; 1 without
  /// samples.
  double Slowness(TimePoint aNow) const;

private:
  /// Replies above this ratio are slow. It excludes the slowest 1% of typical
  /// work.
  static constexpr double kSlowRatio = 2.5;
  static constexpr double kMinRatio = 0.3;
  static constexpr double kMaxRatio = 30;
  /// Weight of a reply in the moving average.
  static constexpr double kSampleWeight = 0.25;
  /// Half-life of a single slow episode. Short, as a pause of the server has
  /// ended by the time its replies arrive.
  static constexpr milliseconds kInitialHalfLife{ 300 };
  static constexpr uint32_t kMaxDoublings = 4;

  /// Reported ratios from this value on belong to servers that stay slow for
  /// seconds. Lower ones are caused by another process on the same machine and
  /// end sooner.
  static constexpr double kSustainedRatio = 8;
  /// Half-life of reported ratios below kSustainedRatio: half of 1,239 reports
  /// of 4 times the typical latency had ended after 250 ms.
  static constexpr milliseconds kTransientReportHalfLife{ 250 };
  /// Half-life of reported ratios from kSustainedRatio on. Servers that
  /// reported 12 times the typical latency did so for 8 s. 2 s is long enough
  /// for an instance that sends two requests a second, and short enough to
  /// detect the end.
  static constexpr milliseconds kSustainedReportHalfLife{ 2000 };

  /// Half-life of a ratio that other instances observed. They cannot tell when
  /// the server recovers, as it gets few requests; then this instance tries it
  /// again after about two half-lives.
  static constexpr milliseconds kSharedHalfLife{ 2000 };

  void AddSample(double aRatio, double aWeight, TimePoint aNow);
  /// @return the logarithm of the slowness observed in replies, decayed to @p
  /// aNow.
  double ObservedLogSlowness(TimePoint aNow) const;
  /// @return the logarithm of the reported slowness, decayed to @p aNow.
  double ReportedLogSlowness(TimePoint aNow) const;

  double SharedLogSlowness(TimePoint aNow) const;

  /// Logarithm of the slowness observed in replies, as of observedAt_.
  double observedLog_ = 0;
  TimePoint observedAt_{};
  /// Slow episodes since the last typical reply.
  uint32_t slowEpisodes_ = 0;
  /// When the latest slow episode was detected.
  TimePoint latestEpisodeAt_{};
  /// Logarithm of the slowness that the server reported, as of reportedAt_.
  double reportedLog_ = 0;
  TimePoint reportedAt_{};
  /// Logarithm of the slowness that other instances observed, as of sharedAt_.
  double sharedLog_ = 0;
  TimePoint sharedAt_{};
};

} // namespace foxtail

#endif // POLICY_SLOWNESSESTIMATOR_H
