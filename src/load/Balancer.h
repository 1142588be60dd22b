#ifndef LOAD_BALANCER_H
#define LOAD_BALANCER_H

#include "core/Time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace foxtail {

/// Chooses entry instances in turn, as the platform's balancer does: it leaves
/// out those that are not ready, and for a while those that could not be
/// connected. Thread safe.
class Balancer
{
public:
  explicit Balancer(size_t aTargets);

  /// @return the next target; any of them when none is well.
  size_t Choose(TimePoint aNow);

  void SetReady(size_t aTarget, bool aIsReady);
  void OnConnectFailed(size_t aTarget, TimePoint aNow);

private:
  struct Target
  {
    std::atomic<bool> isReady_{ true };
    std::atomic<int64_t> avoidedUntil_{ 0 };
  };

  std::vector<std::unique_ptr<Target>> targets_;
  std::atomic<size_t> next_{ 0 };
};

} // namespace foxtail

#endif // LOAD_BALANCER_H
