#include "policy/SlownessEstimator.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

void SlownessEstimator::OnReply(double aRatio,
                                TimePoint aSentAt,
                                TimePoint aNow)
{
  if (aRatio < kSlowRatio) {
    if (aSentAt > sharedAt_) {
      sharedLog_ = 0;
    }
    // The first typical reply after slow ones ends the slow episode.
    AddSample(
      aRatio, slowEpisodes_ > 0 ? 2 * kSampleWeight : kSampleWeight, aNow);
    slowEpisodes_ = 0;
    return;
  }
  // A request sent before the episode was detected was delayed by the same
  // episode.
  if (slowEpisodes_ > 0 && aSentAt <= latestEpisodeAt_) {
    return;
  }
  latestEpisodeAt_ = aNow;
  ++slowEpisodes_;
  // A second slow episode without a typical reply in between is not a chance
  // delay, so its sample replaces the average.
  AddSample(aRatio, slowEpisodes_ > 1 ? 1 : 2 * kSampleWeight, aNow);
}

void SlownessEstimator::OnAbandoned(double aRatio,
                                    TimePoint aSentAt,
                                    TimePoint aNow)
{
  if (aRatio > Slowness(aNow)) {
    OnReply(aRatio, aSentAt, aNow);
  }
}

void SlownessEstimator::OnReported(double aRatio, TimePoint aNow)
{
  const double previous = ReportedLogSlowness(aNow);
  const double reported = std::log(std::clamp(aRatio, kMinRatio, kMaxRatio));
  // A single typical report from a server that was slow may describe work that
  // it began earlier, so it is averaged with the previous value.
  reportedLog_ =
    reported >= previous ? std::max(reported, 0.0) : (previous + reported) / 2;
  reportedAt_ = aNow;
}

void SlownessEstimator::OnShared(double aRatio, TimePoint aSentAt)
{
  sharedLog_ = std::log(std::clamp(aRatio, 1.0, kMaxRatio));
  sharedAt_ = aSentAt;
}

double SlownessEstimator::SharedLogSlowness(TimePoint aNow) const
{
  const double halfLives = std::chrono::duration<double>(aNow - sharedAt_) /
                           std::chrono::duration<double>(kSharedHalfLife);
  return sharedLog_ * std::exp2(-std::max(0.0, halfLives));
}

double SlownessEstimator::ReportedLogSlowness(TimePoint aNow) const
{
  const bool isLasting = reportedLog_ >= std::log(kSustainedRatio);
  const Duration halfLife =
    isLasting ? kSustainedReportHalfLife : kTransientReportHalfLife;
  const double halfLives = std::chrono::duration<double>(aNow - reportedAt_) /
                           std::chrono::duration<double>(halfLife);
  return reportedLog_ * std::exp2(-std::max(0.0, halfLives));
}

double SlownessEstimator::ObservedLogSlowness(TimePoint aNow) const
{
  const uint32_t doublings =
    slowEpisodes_ == 0 ? 0 : std::min(slowEpisodes_ - 1, kMaxDoublings);
  const auto halfLife = kInitialHalfLife * (1U << doublings);
  const double halfLives = std::chrono::duration<double>(aNow - observedAt_) /
                           std::chrono::duration<double>(halfLife);
  return observedLog_ * std::exp2(-std::max(0.0, halfLives));
}

double SlownessEstimator::Slowness(TimePoint aNow) const
{
  const double observed = sharedLog_ > 0 ? std::max(ObservedLogSlowness(aNow),
                                                    SharedLogSlowness(aNow))
                                         : ObservedLogSlowness(aNow);
  const double reported = ReportedLogSlowness(aNow);
  // A report above 1 shows that the server is slow; a typical report does not
  // show that it is fast, so it never lowers the observed value.
  return std::exp(reported > 0 ? std::max(observed, reported) : observed);
}

void SlownessEstimator::AddSample(double aRatio, double aWeight, TimePoint aNow)
{
  const double previous = ObservedLogSlowness(aNow);
  const double observed = std::log(std::clamp(aRatio, kMinRatio, kMaxRatio));
  observedLog_ = previous + (observed - previous) * aWeight;
  observedAt_ = aNow;
}

} // namespace foxtail
