#ifndef CALLER_ATTEMPTIDGENERATOR_H
#define CALLER_ATTEMPTIDGENERATOR_H

#include "core/Ids.h"
#include "core/RandomSource.h"

namespace foxtail {

/// Generates attempt ids from a random prefix and a counter, so that ids of
/// different workers and instances do not collide. Not thread safe; each worker
/// has its own.
class AttemptIdGenerator
{
public:
  explicit AttemptIdGenerator(uint64_t aSeed)
    : random_(aSeed)
  {
    GeneratePrefix();
  }

  AttemptId Next()
  {
    if (++counter_ >= kCounterEnd) {
      GeneratePrefix();
    }
    return AttemptId(prefix_ | counter_);
  }

private:
  static constexpr unsigned kCounterBits = 24;
  static constexpr uint64_t kCounterEnd = uint64_t{ 1 } << kCounterBits;

  void GeneratePrefix()
  {
    prefix_ = random_.Next() << kCounterBits;
    counter_ = 1;
  }

  RandomSource random_;
  uint64_t prefix_ = 0;
  uint64_t counter_ = 0;
};

} // namespace foxtail

#endif // CALLER_ATTEMPTIDGENERATOR_H
