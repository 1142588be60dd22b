#include "policy/DecayingQuantile.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

constexpr double kFirstBoundUs = 50;
/// Bounds of adjacent buckets differ by a factor of 2 to the power of
/// 1/kPerOctave.
constexpr double kPerOctave = 4.75;

} // namespace

DecayingQuantile::DecayingQuantile(uint32_t aHalveAfter)
  : halveAfter_(aHalveAfter)
{
}

void DecayingQuantile::Add(Duration aLatency)
{
  const double us =
    static_cast<double>(duration_cast<nanoseconds>(aLatency).count()) / 1000;
  const double position =
    us <= kFirstBoundUs ? 0 : std::log2(us / kFirstBoundUs) * kPerOctave;
  const auto index =
    std::min(kBuckets - 1, static_cast<size_t>(std::ceil(position)));
  ++buckets_[index];
  ++count_;
  if (++sinceHalved_ < halveAfter_) {
    return;
  }
  sinceHalved_ = 0;
  count_ = 0;
  for (uint32_t& bucket : buckets_) {
    bucket /= 2;
    count_ += bucket;
  }
}

Duration DecayingQuantile::Quantile(double aQuantile) const
{
  if (count_ == 0) {
    return Duration::zero();
  }
  const double rank = aQuantile * count_;
  double cumulative = 0;
  size_t index = 0;
  for (; index < kBuckets - 1; ++index) {
    cumulative += buckets_[index];
    if (cumulative >= rank && cumulative > 0) {
      break;
    }
  }
  const double us =
    kFirstBoundUs * std::exp2(static_cast<double>(index) / kPerOctave);
  return duration_cast<Duration>(nanoseconds(static_cast<int64_t>(us * 1000)));
}

} // namespace foxtail
