#include "backend/BackendSignals.h"

namespace foxtail {

void BackendSignals::OnLoad(const ReportedLoad& aLoad, TimePoint aNow)
{
  const uint32_t reported = aLoad.inFlight_ + aLoad.queued_;
  const uint32_t own = InFlight();
  othersLoad_.store(reported > own ? reported - own : 0,
                    std::memory_order_relaxed);
  reportedAt_.Set(aNow);
  if (aLoad.state_ == BackendState::Draining ||
      aLoad.state_ == BackendState::Gone) {
    OnDrainingMark(aNow);
  }
}

void BackendSignals::Publish(const ReplicaHealth& aHealth,
                             TimePoint aProbeDueAt)
{
  failures_.store(aHealth.failures_, std::memory_order_relaxed);
  latency_.Set(TimePoint(aHealth.latency_));
  latencyAt_.Set(aHealth.latencyAt_);
  returnedAt_.Set(aHealth.returnedAt_);
  probeDueAt_.Set(aProbeDueAt);
  isEjected_.store(aHealth.isEjected_, std::memory_order_relaxed);
}

bool BackendSignals::TryClaimProbe(TimePoint aNow)
{
  const TimePoint due = probeDueAt_.Get();
  return aNow >= due && probeDueAt_.CompareExchange(due, TimePoint::max());
}

DrainEvidence BackendSignals::MakeDrainEvidence(Incarnation aIncarnation) const
{
  const auto since = [](const AtomicTime& aTime) -> std::optional<TimePoint> {
    const TimePoint time = aTime.Get();
    return time == TimePoint{} ? std::nullopt : std::optional(time);
  };
  DrainEvidence evidence;
  evidence.lastAnnouncementAt_ = lastAnnouncementAt_.Get();
  evidence.markedAt_ = since(markedAt_);
  evidence.markedIncarnation_ = aIncarnation;
  evidence.failedAt_ = since(failedAt_);
  return evidence;
}

} // namespace foxtail
