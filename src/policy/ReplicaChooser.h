#ifndef POLICY_REPLICACHOOSER_H
#define POLICY_REPLICACHOOSER_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/RandomSource.h"
#include "core/Time.h"
#include "policy/ZoneMap.h"

#include <cstdint>
#include <span>

namespace foxtail {

struct ReplicaChooserSettings
{
  /// A reported load counts half after this time.
  milliseconds reportHalfLife_{ 250 };
  /// A replica's distance from the fastest one counts half after this time
  /// without a new sample, so that a slow replica is tried again.
  milliseconds latencyHalfLife_{ 2000 };
  /// Other instances' load counts at most this many times the slots.
  double maxOthersLoadPerSlot_ = 2;
  /// A reported queue is believed only from a replica whose latency is above
  /// this multiple of the fastest one's; else it counts as half the slots.
  double queueLatencyFactor_ = 1.25;
  /// Scores that differ by less than this factor are a tie.
  double tieFactor_ = 1.1;
  /// Load per slot of a tier of zones at which work begins to go to the next
  /// tier, and at which all of it may.
  double spillStartLoad_ = 1.5;
  double spillFullLoad_ = 3;
  /// The next tier's load per slot must be below this part of the nearer one's.
  double spillMaxLoadRatio_ = 0.7;

  static ReplicaChooserSettings Read(JsonReader& aReader);
};

/// What the choice weighs of one replica of the wanted shard.
struct ReplicaView
{
  /// The caller's own index of the replica, handed back in the choice.
  uint32_t replica_ = 0;
  ZoneDistance distance_ = ZoneDistance::Same;
  /// Leaves, or is not to be given new work by the drain policy.
  bool isDraining_ = false;
  /// Ejected by the ejection policy and not due for a probe.
  bool isEjected_ = false;
  /// Its ejection is over, and a single probing request may go there.
  bool isProbeDue_ = false;
  /// This request has tried it.
  bool isTried_ = false;
  /// Has no idle connection, and the connection share allows no new one.
  bool isOutOfConnections_ = false;
  /// Attempts that this instance has in flight there.
  uint32_t inFlight_ = 0;
  /// Limit of the former.
  uint32_t inFlightLimit_ = 1;
  uint32_t slots_ = 1;
  /// Attempts in a row that failed there.
  uint32_t failures_ = 0;
  /// Load of others, as last reported: in flight and queued there, less what
  /// this instance had in flight when the report came.
  double othersLoad_ = 0;
  TimePoint reportedAt_{};
  /// Typical latency seen by this instance, zero when there is none yet.
  Duration latency_{};
  TimePoint latencyAt_{};
  /// From RampWeight().
  double rampWeight_ = 1;
};

enum class ReplicaReason
{
  /// The better of two in the nearest tier of zones.
  Nearest,
  /// The nearest tier is loaded.
  SpillOver,
  /// The nearer tiers have no replica that can be used.
  FarFallback,
  /// A probing request after an ejection.
  Probe,
  /// Only ejected replicas are left.
  LastResort,
  /// No replica is left that was not tried.
  NoneLeft,
  /// Replicas are left, but each drains.
  AllDraining,
  /// Replicas are left, but each is at its limit: wait or refuse.
  AllAtLimit,
};

template<>
struct EnumTable<ReplicaReason>
{
  static constexpr std::array<EnumName<ReplicaReason>, 8> kRows{ {
    { ReplicaReason::Nearest, "nearest" },
    { ReplicaReason::SpillOver, "spill_over" },
    { ReplicaReason::FarFallback, "far_fallback" },
    { ReplicaReason::Probe, "probe" },
    { ReplicaReason::LastResort, "last_resort" },
    { ReplicaReason::NoneLeft, "none_left" },
    { ReplicaReason::AllDraining, "all_draining" },
    { ReplicaReason::AllAtLimit, "all_at_limit" },
  } };
};

struct ReplicaChoice
{
  /// ReplicaView::replica_ of the chosen one; meaningless unless isChosen_.
  uint32_t replica_ = 0;
  bool isChosen_ = false;
  ReplicaReason reason_ = ReplicaReason::NoneLeft;
};

/// Chooses a replica for one attempt: the nearest tier of zones that can take
/// it, and there the better of two drawn at random. Pure; no allocation.
///
/// @param aReplicas at most 64 are weighed.
/// @param aMayProbe false for actions, which are never used as probes.
ReplicaChoice ChooseReplica(const ReplicaChooserSettings& aSettings,
                            std::span<const ReplicaView> aReplicas,
                            bool aMayProbe,
                            RandomSource& aRandom,
                            TimePoint aNow);

} // namespace foxtail

#endif // POLICY_REPLICACHOOSER_H
