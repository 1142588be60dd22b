#ifndef CORE_RANDOMSOURCE_H
#define CORE_RANDOMSOURCE_H

#include <cstdint>
#include <random>

namespace foxtail {

/// Seeded source of random numbers, passed to each function that needs one so
/// that the same seed gives the same decisions. Not thread safe.
class RandomSource
{
public:
  explicit RandomSource(uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  uint64_t Next() { return engine_(); }

  /// @return a number from 0 to @p aBound - 1; @p aBound is at least 1.
  uint64_t NextBelow(uint64_t aBound) { return engine_() % aBound; }

  /// @return a number from 0 inclusive to 1 exclusive.
  double NextDouble()
  {
    constexpr int kMantissaBits = 53;
    return static_cast<double>(engine_() >> (64 - kMantissaBits)) /
           static_cast<double>(uint64_t{ 1 } << kMantissaBits);
  }

  bool Chance(double aProbability) { return NextDouble() < aProbability; }

  /// @return a seed from the operating system, for programs.
  static uint64_t SystemSeed();

private:
  std::mt19937_64 engine_;
};

} // namespace foxtail

#endif // CORE_RANDOMSOURCE_H
