#ifndef CORE_RANDOMSOURCE_H
#define CORE_RANDOMSOURCE_H

#include <cstdint>
#include <random>

namespace foxtail {

/// Seeded random number generator. Functions take it as an argument, so that
/// their decisions are reproducible from the seed. Not thread safe.
class RandomSource
{
public:
  explicit RandomSource(uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  uint64_t Next() { return engine_(); }

  /// @return an integer in [0, @p aBound); @p aBound must be at least 1.
  uint64_t NextBelow(uint64_t aBound) { return engine_() % aBound; }

  /// @return a number in [0, 1), uniformly distributed.
  double NextDouble()
  {
    constexpr int kMantissaBits = 53;
    return static_cast<double>(engine_() >> (64 - kMantissaBits)) /
           static_cast<double>(uint64_t{ 1 } << kMantissaBits);
  }

  /// @return true with probability @p aProbability.
  bool Chance(double aProbability) { return NextDouble() < aProbability; }

  /// @return a nondeterministic seed from the operating system, for programs.
  static uint64_t SystemSeed();

private:
  std::mt19937_64 engine_;
};

} // namespace foxtail

#endif // CORE_RANDOMSOURCE_H
