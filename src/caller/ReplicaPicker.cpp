#include "caller/ReplicaPicker.h"

#include "backend/BackendServer.h"

#include <algorithm>
#include <array>

namespace foxtail {
namespace {

constexpr size_t kMaxReplicas = 64;

/// Policy input for the replicas of a shard.
class ReplicaViews
{
public:
  ReplicaViews(const PolicySettings& aSettings,
               const FleetView& aView,
               std::span<const uint32_t> aReplicas,
               std::span<const uint32_t> aTried,
               TimePoint aNow)
  {
    for (const uint32_t index : aReplicas) {
      const RoutedReplica* replica = aView.replicas_[index].get();
      if (replica == nullptr || size_ == kMaxReplicas) {
        continue;
      }
      ReplicaView& view = views_[size_++];
      Fill(aSettings,
           *replica,
           aView.table_->Replicas()[index].firstAnnouncementAt_,
           view,
           aNow);
      view.replica_ = index;
      view.isTried_ =
        std::find(aTried.begin(), aTried.end(), index) != aTried.end();
    }
  }

  std::span<const ReplicaView> All() const { return { views_.data(), size_ }; }

private:
  static void Fill(const PolicySettings& aSettings,
                   const RoutedReplica& aReplica,
                   TimePoint aFirstAnnouncementAt,
                   ReplicaView& aView,
                   TimePoint aNow)
  {
    const Announcement& announcement = aReplica.announcement_;
    const BackendSignals& signals = aReplica.server_->Signals();
    aView.distance_ = aReplica.distance_;
    aView.isDraining_ =
      DecideDrain(aSettings.drain_,
                  announcement,
                  signals.MakeDrainEvidence(announcement.incarnation_),
                  aNow) != DrainVerdict::TakesWork;
    aView.isEjected_ = signals.IsEjected();
    aView.isProbeDue_ = signals.IsProbeDue(aNow);
    aView.isOutOfConnections_ = signals.FreeConnections() == 0;
    aView.inFlight_ = signals.InFlight();
    aView.inFlightLimit_ = signals.Limit();
    aView.slots_ = announcement.slots_;
    aView.failures_ = signals.Failures();
    aView.othersLoad_ = signals.OthersLoad();
    aView.reportedAt_ = signals.ReportedAt();
    aView.latency_ = signals.Latency();
    aView.latencyAt_ = signals.LatencyAt();
    aView.rampWeight_ =
      RampWeight(aSettings.ramp_,
                 std::max(aFirstAnnouncementAt, signals.ReturnedAt()),
                 aNow);
  }

  std::array<ReplicaView, kMaxReplicas> views_;
  size_t size_ = 0;
};

/// @return the usable replica with the lowest load, or null. Used when each
/// replica is at its limit.
const ReplicaView* LeastLoaded(const FleetView& aFleet,
                               std::span<const ReplicaView> aViews)
{
  const ReplicaView* best = nullptr;
  const auto load = [](const ReplicaView& aView) {
    return aView.inFlight_ / static_cast<double>(aView.inFlightLimit_);
  };
  for (const ReplicaView& view : aViews) {
    const bool isUsable =
      !view.isTried_ && !view.isDraining_ && !view.isEjected_ &&
      aFleet.replicas_[view.replica_]->server_->Signals().Share() > 0;
    if (isUsable && (best == nullptr || load(view) < load(*best))) {
      best = &view;
    }
  }
  return best;
}

} // namespace

ReplicaPick PickReplica(const PolicySettings& aSettings,
                        const FleetView& aView,
                        std::span<const uint32_t> aReplicas,
                        std::span<const uint32_t> aTried,
                        bool aMayProbe,
                        RandomSource& aRandom,
                        TimePoint aNow)
{
  const ReplicaViews views(aSettings, aView, aReplicas, aTried, aNow);
  ReplicaChoice choice =
    ChooseReplica(aSettings.replica_, views.All(), aMayProbe, aRandom, aNow);
  if (choice.reason_ == ReplicaReason::Probe) {
    BackendSignals& signals =
      aView.replicas_[choice.replica_]->server_->Signals();
    if (signals.TryClaimProbe(aNow)) {
      return { choice.replica_, true, true, choice.reason_ };
    }
    choice =
      ChooseReplica(aSettings.replica_, views.All(), false, aRandom, aNow);
  }
  if (choice.reason_ == ReplicaReason::AllAtLimit) {
    if (const ReplicaView* view = LeastLoaded(aView, views.All())) {
      return { view->replica_, true, false, choice.reason_ };
    }
  }
  return { choice.replica_, choice.isChosen_, false, choice.reason_ };
}

uint32_t FreeSlotsOf(const PolicySettings& aSettings,
                     const FleetView& aView,
                     std::span<const uint32_t> aReplicas,
                     TimePoint aNow)
{
  const ReplicaViews views(aSettings, aView, aReplicas, {}, aNow);
  uint32_t free = 0;
  for (const ReplicaView& view : views.All()) {
    if (!view.isDraining_ && !view.isEjected_ &&
        view.inFlightLimit_ > view.inFlight_) {
      free += view.inFlightLimit_ - view.inFlight_;
    }
  }
  return free;
}

} // namespace foxtail
