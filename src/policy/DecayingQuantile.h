#ifndef POLICY_DECAYINGQUANTILE_H
#define POLICY_DECAYINGQUANTILE_H

#include "core/Time.h"

#include <array>
#include <cstdint>

namespace foxtail {

/// Quantiles of recent latencies from 50 us to 60 s, with a relative error
/// below 8%. All counts are halved after a fixed number of samples, so that old
/// samples decay. Adding a sample costs a few nanoseconds and never allocates.
/// Not thread safe.
class DecayingQuantile
{
public:
  /// @param aHalveAfter number of samples after which all counts are halved.
  explicit DecayingQuantile(uint32_t aHalveAfter = 2000);

  void Add(Duration aLatency);

  /// @return the current number of samples, after halving.
  uint32_t Count() const { return count_; }

  /// @param aQuantile from 0 to 1.
  /// @return the upper bound of the quantile's bucket; zero without samples.
  Duration Quantile(double aQuantile) const;

private:
  static constexpr size_t kBuckets = 96;

  std::array<uint32_t, kBuckets> buckets_{};
  uint32_t count_ = 0;
  uint32_t sinceHalved_ = 0;
  uint32_t halveAfter_;
};

} // namespace foxtail

#endif // POLICY_DECAYINGQUANTILE_H
