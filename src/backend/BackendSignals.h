#ifndef BACKEND_BACKENDSIGNALS_H
#define BACKEND_BACKENDSIGNALS_H

#include "backend/ReportedLoad.h"
#include "core/Time.h"
#include "policy/DrainPolicy.h"
#include "policy/EjectionPolicy.h"

#include <atomic>
#include <cstdint>

namespace foxtail {

/// A time that threads read and write without a lock.
class AtomicTime
{
public:
  explicit AtomicTime(TimePoint aInitial = {})
    : ticks_(aInitial.time_since_epoch().count())
  {
  }

  TimePoint Get() const
  {
    return TimePoint(Duration(ticks_.load(std::memory_order_relaxed)));
  }
  void Set(TimePoint aTime)
  {
    ticks_.store(aTime.time_since_epoch().count(), std::memory_order_relaxed);
  }
  /// @return whether the time was @p aFrom and is @p aTo now.
  bool CompareExchange(TimePoint aFrom, TimePoint aTo)
  {
    Duration::rep expected = aFrom.time_since_epoch().count();
    return ticks_.compare_exchange_strong(
      expected, aTo.time_since_epoch().count(), std::memory_order_relaxed);
  }

private:
  std::atomic<Duration::rep> ticks_;
};

/// State of one incarnation of a backend server as observed by this instance.
/// The owning worker publishes the state; every worker reads it to choose a
/// replica. Thread safe: each member is an atomic that is valid independently
/// of the others.
class BackendSignals
{
public:
  /// An attempt was handed to the server's connections.
  void OnDispatched() { inFlight_.fetch_add(1, std::memory_order_relaxed); }
  /// The attempt no longer occupies the server, as far as is known.
  void OnReleased() { inFlight_.fetch_sub(1, std::memory_order_relaxed); }

  /// Records the load reported on a reply, and its draining state.
  void OnLoad(const ReportedLoad& aLoad, TimePoint aNow);
  void OnDrainingMark(TimePoint aNow) { markedAt_.Set(aNow); }
  /// A connect failed, a connection was lost or an attempt timed out.
  void OnFailed(TimePoint aNow) { failedAt_.Set(aNow); }
  /// Called for each announcement received, renewals included.
  void OnAnnouncementReceived(TimePoint aNow) { lastAnnouncementAt_.Set(aNow); }

  /// Publishes the state of the ejection policy.
  /// @param aProbeDueAt when a probing request may be sent.
  void Publish(const ReplicaHealth& aHealth, TimePoint aProbeDueAt);
  void PublishLimit(uint32_t aLimit)
  {
    limit_.store(aLimit, std::memory_order_relaxed);
  }
  void PublishFreeConnections(uint32_t aCount)
  {
    freeConnections_.store(aCount, std::memory_order_relaxed);
  }
  void PublishShare(uint32_t aShare)
  {
    share_.store(aShare, std::memory_order_relaxed);
  }

  /// Claims the one probing request that is due.
  /// @return whether the caller is the one to send it.
  bool TryClaimProbe(TimePoint aNow);

  /// @return this instance's attempts that wait for or occupy the server.
  uint32_t InFlight() const { return Load(inFlight_); }
  uint32_t Limit() const { return Load(limit_); }
  /// @return connections that are idle or may still be opened.
  uint32_t FreeConnections() const { return Load(freeConnections_); }
  /// @return connections that this instance may hold.
  uint32_t Share() const { return Load(share_); }
  /// @return others' requests there, as last reported.
  uint32_t OthersLoad() const { return Load(othersLoad_); }
  TimePoint ReportedAt() const { return reportedAt_.Get(); }
  uint32_t Failures() const { return Load(failures_); }
  Duration Latency() const { return latency_.Get().time_since_epoch(); }
  TimePoint LatencyAt() const { return latencyAt_.Get(); }
  bool IsEjected() const { return isEjected_.load(std::memory_order_relaxed); }
  bool IsProbeDue(TimePoint aNow) const
  {
    return IsEjected() && aNow >= probeDueAt_.Get();
  }
  /// @return when it came back from an ejection; the epoch when never.
  TimePoint ReturnedAt() const { return returnedAt_.Get(); }
  DrainEvidence MakeDrainEvidence(Incarnation aIncarnation) const;

private:
  static uint32_t Load(const std::atomic<uint32_t>& aValue)
  {
    return aValue.load(std::memory_order_relaxed);
  }

  std::atomic<uint32_t> inFlight_{ 0 };
  std::atomic<uint32_t> limit_{ 1 };
  // Until the owner publishes them, a new server counts as one that takes work:
  // the owner queues what comes early.
  std::atomic<uint32_t> freeConnections_{ 1 };
  std::atomic<uint32_t> share_{ 1 };
  std::atomic<uint32_t> othersLoad_{ 0 };
  std::atomic<uint32_t> failures_{ 0 };
  std::atomic<bool> isEjected_{ false };
  AtomicTime reportedAt_;
  /// A duration, kept as a time since the epoch.
  AtomicTime latency_;
  AtomicTime latencyAt_;
  AtomicTime probeDueAt_;
  AtomicTime returnedAt_;
  AtomicTime lastAnnouncementAt_;
  AtomicTime markedAt_;
  AtomicTime failedAt_;
};

} // namespace foxtail

#endif // BACKEND_BACKENDSIGNALS_H
