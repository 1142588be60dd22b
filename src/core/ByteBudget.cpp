#include "core/ByteBudget.h"

#include <malloc.h>

namespace foxtail {

ByteBudget::ByteBudget(size_t aLimitBytes)
  : limit_(aLimitBytes)
{
}

size_t ByteBudget::LimitFor(uint64_t aMemoryBytes)
{
  // The rest is for the process itself, replies of backend servers, the
  // allocator's unused blocks and the kernel's socket buffers.
  constexpr uint64_t kShare = 4;
  return aMemoryBytes == 0 ? kDefaultBytes
                           : static_cast<size_t>(aMemoryBytes / kShare);
}

bool ByteBudget::TryCharge(size_t aBytes)
{
  size_t inUse = inUse_;
  do {
    if (inUse > limit_ || aBytes > limit_ - inUse) {
      return false;
    }
  } while (!inUse_.compare_exchange_weak(inUse, inUse + aBytes));
  RaisePeak(inUse + aBytes);
  return true;
}

void ByteBudget::Charge(size_t aBytes)
{
  RaisePeak(inUse_ += aBytes);
}

void ByteBudget::RaisePeak(size_t aInUse)
{
  size_t peak = peak_;
  while (aInUse > peak && !peak_.compare_exchange_weak(peak, aInUse)) {
  }
}

void ByteBudget::ReturnUnusedMemory()
{
  constexpr size_t kLeastDecrease = size_t{ 4 } * 1024 * 1024;
  const size_t inUse = inUse_;
  size_t peak = peak_;
  if (peak > inUse * 2 && peak - inUse > kLeastDecrease &&
      peak_.compare_exchange_strong(peak, inUse)) {
    ::malloc_trim(0);
  }
}

void ByteBudget::Release(size_t aBytes)
{
  inUse_ -= aBytes;
}

size_t ByteBudget::Excess(size_t aSpareBytes) const
{
  const size_t wanted = inUse_ + aSpareBytes;
  return wanted > limit_ ? wanted - limit_ : 0;
}

ByteCharge::ByteCharge(std::shared_ptr<ByteBudget> aBudget)
  : budget_(std::move(aBudget))
{
}

ByteCharge::~ByteCharge()
{
  budget_->Release(bytes_);
}

bool ByteCharge::TryResize(size_t aBytes)
{
  if (aBytes > bytes_ && !budget_->TryCharge(aBytes - bytes_)) {
    return false;
  }
  if (aBytes < bytes_) {
    budget_->Release(bytes_ - aBytes);
  }
  bytes_ = aBytes;
  return true;
}

void ByteCharge::Resize(size_t aBytes)
{
  if (aBytes > bytes_) {
    budget_->Charge(aBytes - bytes_);
  } else {
    budget_->Release(bytes_ - aBytes);
  }
  bytes_ = aBytes;
}

} // namespace foxtail
