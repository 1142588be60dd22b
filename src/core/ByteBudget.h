#ifndef CORE_BYTEBUDGET_H
#define CORE_BYTEBUDGET_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace foxtail {

/// Budget of a process for all bytes that it holds for its peers: heads, bodies
/// and responses. Thread safe.
class ByteBudget
{
public:
  /// Budget of a process whose settings state no memory.
  static constexpr size_t kDefaultBytes = size_t{ 64 } * 1024 * 1024;

  explicit ByteBudget(size_t aLimitBytes = kDefaultBytes);

  /// @param aMemoryBytes memory of the machine; 0 when it is not known.
  /// @return the share of the memory that may be held for peers.
  static size_t LimitFor(uint64_t aMemoryBytes);

  /// @return whether @p aBytes were charged; nothing is charged otherwise.
  bool TryCharge(size_t aBytes);
  /// Charges bytes even beyond the limit, for those that exist already.
  void Charge(size_t aBytes);
  void Release(size_t aBytes);

  size_t InUse() const { return inUse_; }
  size_t Limit() const { return limit_; }
  /// Returns the allocator's unused pages to the system if the bytes in use
  /// have fallen by half and several megabytes since they were last returned.
  /// Without it, a process keeps the memory of a crowd that has gone. It takes
  /// some milliseconds, so it is not done for usual changes.
  void ReturnUnusedMemory();

  /// @return bytes in use beyond the limit less @p aSpareBytes, or 0.
  size_t Excess(size_t aSpareBytes) const;

private:
  void RaisePeak(size_t aInUse);

  const size_t limit_;
  std::atomic<size_t> inUse_{ 0 };
  /// Most bytes in use since unused memory was last returned.
  std::atomic<size_t> peak_{ 0 };
};

/// Bytes that one holder has charged to a budget; released on destruction. Not
/// thread safe.
class ByteCharge
{
public:
  explicit ByteCharge(std::shared_ptr<ByteBudget> aBudget);
  ~ByteCharge();
  ByteCharge(const ByteCharge&) = delete;
  ByteCharge& operator=(const ByteCharge&) = delete;

  /// Changes the charged bytes to @p aBytes.
  ///
  /// @return false when the budget is short; the charge is then unchanged. A
  /// charge that shrinks is always granted.
  bool TryResize(size_t aBytes);
  /// Changes the charged bytes, also beyond the limit of the budget.
  void Resize(size_t aBytes);
  size_t Bytes() const { return bytes_; }

private:
  std::shared_ptr<ByteBudget> budget_;
  size_t bytes_ = 0;
};

} // namespace foxtail

#endif // CORE_BYTEBUDGET_H
