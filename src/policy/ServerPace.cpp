#include "policy/ServerPace.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

void ServerPace::OnReply(double aRatio, TimePoint aSentAt, TimePoint aNow)
{
  if (aRatio < kSlowRatio) {
    // The first usual reply after slow ones shows that they are over.
    Move(aRatio, episodes_ > 0 ? 2 * kWeight : kWeight, aNow);
    episodes_ = 0;
    return;
  }
  // Sent before the episode was noticed: it waited for the same thing.
  if (episodes_ > 0 && aSentAt <= episodeAt_) {
    return;
  }
  episodeAt_ = aNow;
  ++episodes_;
  // From the second episode on it is no accident.
  Move(aRatio, episodes_ > 1 ? 1 : 2 * kWeight, aNow);
}

void ServerPace::OnGivenUp(double aRatio, TimePoint aSentAt, TimePoint aNow)
{
  if (aRatio > Slowness(aNow)) {
    OnReply(aRatio, aSentAt, aNow);
  }
}

void ServerPace::OnReported(double aRatio, TimePoint aNow)
{
  const double known = ReportedLog(aNow);
  const double reported =
    std::log(std::clamp(aRatio, kLeastRatio, kGreatestRatio));
  // A single usual report of a server that was slow may be of work that it
  // began before.
  reportedLog_ =
    reported >= known ? std::max(reported, 0.0) : (known + reported) / 2;
  reportedAt_ = aNow;
}

double ServerPace::ReportedLog(TimePoint aNow) const
{
  const bool isLasting = reportedLog_ >= std::log(kLastingRatio);
  const Duration halfLife = isLasting ? kLastingHalfLife : kNeighbourHalfLife;
  const double halves = std::chrono::duration<double>(aNow - reportedAt_) /
                        std::chrono::duration<double>(halfLife);
  return reportedLog_ * std::exp2(-std::max(0.0, halves));
}

double ServerPace::LearnedLog(TimePoint aNow) const
{
  const uint32_t doublings =
    episodes_ == 0 ? 0 : std::min(episodes_ - 1, kMaxDoublings);
  const auto halfLife = kFirstHalfLife * (1U << doublings);
  const double halves = std::chrono::duration<double>(aNow - at_) /
                        std::chrono::duration<double>(halfLife);
  return log_ * std::exp2(-std::max(0.0, halves));
}

double ServerPace::Slowness(TimePoint aNow) const
{
  const double learned = LearnedLog(aNow);
  const double reported = ReportedLog(aNow);
  // What it says is news of trouble; that it says nothing is none of health.
  return std::exp(reported > 0 ? std::max(learned, reported) : learned);
}

void ServerPace::Move(double aRatio, double aWeight, TimePoint aNow)
{
  const double known = LearnedLog(aNow);
  const double observed =
    std::log(std::clamp(aRatio, kLeastRatio, kGreatestRatio));
  log_ = known + (observed - known) * aWeight;
  at_ = aNow;
}

} // namespace foxtail
