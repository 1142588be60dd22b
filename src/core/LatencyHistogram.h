#ifndef CORE_LATENCYHISTOGRAM_H
#define CORE_LATENCYHISTOGRAM_H

#include "core/Time.h"

#include <array>
#include <cstdint>

namespace foxtail {

/// Log-linear histogram of durations from 1 us to about 70 min. The relative
/// error of a quantile is below 1/32. Not thread safe.
class LatencyHistogram
{
public:
  void Add(Duration aValue, uint64_t aCount = 1);
  void Merge(const LatencyHistogram& aOther);
  void Clear();

  uint64_t Count() const { return count_; }

  /// @param aQuantile in the range [0, 1].
  /// @return the upper bound of the bucket that contains the quantile, at most
  /// Max(); zero when the histogram is empty.
  Duration Quantile(double aQuantile) const;

  Duration Max() const { return max_; }

private:
  static constexpr size_t kSubBuckets = 32;
  static constexpr size_t kOctaves = 27;
  static size_t IndexOf(uint64_t aMicroseconds);
  static uint64_t UpperBoundOf(size_t aIndex);

  std::array<uint64_t, kSubBuckets * kOctaves> buckets_{};
  uint64_t count_ = 0;
  Duration max_{};
};

} // namespace foxtail

#endif // CORE_LATENCYHISTOGRAM_H
