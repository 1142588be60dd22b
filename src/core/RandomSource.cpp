#include "core/RandomSource.h"

namespace foxtail {

uint64_t RandomSource::SystemSeed()
{
  std::random_device device;
  return (uint64_t{ device() } << 32) | device();
}

} // namespace foxtail
