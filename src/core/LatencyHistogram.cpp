#include "core/LatencyHistogram.h"

#include <algorithm>
#include <bit>

namespace foxtail {

size_t LatencyHistogram::IndexOf(uint64_t aMicroseconds)
{
  if (aMicroseconds < kSubBuckets) {
    return aMicroseconds;
  }
  constexpr unsigned kSubBits = std::bit_width(kSubBuckets) - 1;
  const unsigned octave = std::bit_width(aMicroseconds) - kSubBits;
  const size_t sub = (aMicroseconds >> (octave - 1)) & (kSubBuckets - 1);
  const size_t index = (octave * kSubBuckets) + sub;
  return std::min(index, (kSubBuckets * kOctaves) - 1);
}

uint64_t LatencyHistogram::UpperBoundOf(size_t aIndex)
{
  const size_t octave = aIndex / kSubBuckets;
  const uint64_t sub = aIndex % kSubBuckets;
  if (octave == 0) {
    return sub;
  }
  return ((kSubBuckets + sub + 1) << (octave - 1)) - 1;
}

void LatencyHistogram::Add(Duration aValue, uint64_t aCount)
{
  const auto micros = std::max<int64_t>(
    0, std::chrono::duration_cast<microseconds>(aValue).count());
  buckets_[IndexOf(static_cast<uint64_t>(micros))] += aCount;
  count_ += aCount;
  max_ = std::max(max_, aValue);
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  for (size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i] += aOther.buckets_[i];
  }
  count_ += aOther.count_;
  max_ = std::max(max_, aOther.max_);
}

void LatencyHistogram::Clear()
{
  *this = LatencyHistogram();
}

Duration LatencyHistogram::Quantile(double aQuantile) const
{
  if (count_ == 0) {
    return Duration::zero();
  }
  const auto rank = static_cast<uint64_t>(std::clamp(aQuantile, 0.0, 1.0) *
                                          static_cast<double>(count_ - 1));
  uint64_t cumulativeCount = 0;
  for (size_t i = 0; i < buckets_.size(); ++i) {
    cumulativeCount += buckets_[i];
    if (cumulativeCount > rank) {
      return std::min<Duration>(microseconds(UpperBoundOf(i)), max_);
    }
  }
  return max_;
}

} // namespace foxtail
