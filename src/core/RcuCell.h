#ifndef CORE_RCUCELL_H
#define CORE_RCUCELL_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace foxtail {

/// Read-copy-update cell: a writer publishes a new immutable value, while
/// readers continue to use the value that they hold. A read without a new
/// publication costs one load of a counter that changes only on publication.
/// Thread safe: any thread may call Publish(); each reading thread has its own
/// RcuReader.
template<typename T>
class RcuCell
{
public:
  explicit RcuCell(std::shared_ptr<const T> aInitial)
    : value_(std::move(aInitial))
  {
  }

  /// Replaces the value that later reads return.
  void Publish(std::shared_ptr<const T> aValue)
  {
    const std::lock_guard lock(mutex_);
    value_ = std::move(aValue);
    generation_.fetch_add(1, std::memory_order_release);
  }

  /// @return the latest value. Locks a mutex; for threads without an RcuReader.
  std::shared_ptr<const T> Load() const
  {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  /// @return a counter that changes with each publication.
  uint64_t Generation() const
  {
    return generation_.load(std::memory_order_acquire);
  }

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
  std::atomic<uint64_t> generation_{ 1 };
};

/// Caches the latest value of an RcuCell for one thread. Not thread safe; the
/// RcuCell must outlive it.
template<typename T>
class RcuReader
{
public:
  explicit RcuReader(const RcuCell<T>& aCell)
    : cell_(aCell)
  {
  }

  /// @return the latest value; the mutex of the cell is locked only after a
  /// publication.
  const std::shared_ptr<const T>& Get()
  {
    const uint64_t generation = cell_.Generation();
    if (generation != generation_) {
      cached_ = cell_.Load();
      generation_ = generation;
    }
    return cached_;
  }

private:
  const RcuCell<T>& cell_;
  std::shared_ptr<const T> cached_;
  uint64_t generation_ = 0;
};

} // namespace foxtail

#endif // CORE_RCUCELL_H
