#include "load/Balancer.h"

namespace foxtail {
namespace {

constexpr milliseconds kAvoidedAfterFailure{ 500 };

int64_t Ticks(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace

Balancer::Balancer(size_t aTargets)
{
  for (size_t i = 0; i < aTargets; ++i) {
    targets_.push_back(std::make_unique<Target>());
  }
}

size_t Balancer::Choose(TimePoint aNow)
{
  const size_t first = next_.fetch_add(1, std::memory_order_relaxed);
  for (size_t i = 0; i < targets_.size(); ++i) {
    const size_t index = (first + i) % targets_.size();
    const Target& target = *targets_[index];
    if (target.isReady_ && target.avoidedUntil_ <= Ticks(aNow)) {
      return index;
    }
  }
  return first % targets_.size();
}

void Balancer::SetReady(size_t aTarget, bool aIsReady)
{
  targets_[aTarget]->isReady_ = aIsReady;
}

void Balancer::OnConnectFailed(size_t aTarget, TimePoint aNow)
{
  targets_[aTarget]->avoidedUntil_ = Ticks(aNow + kAvoidedAfterFailure);
}

} // namespace foxtail
