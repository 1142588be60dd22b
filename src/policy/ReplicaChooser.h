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
  /// Half-life of a reported load.
  milliseconds reportHalfLife_{ 250 };
  /// Half-life of the difference between a replica's latency and the lowest one
  /// when there are no new samples, so that a slow replica is tried again.
  milliseconds latencyHalfLife_{ 2000 };
  /// Upper bound of the other instances' load, as a multiple of the slots.
  double maxOthersLoadPerSlot_ = 2;
  /// A reported queue counts only if the replica's latency is above this
  /// multiple of the lowest one; otherwise half of the slots are assumed to be
  /// busy.
  double queueLatencyFactor_ = 1.25;
  /// Scores that differ by less than this factor are a tie.
  double tieFactor_ = 1.1;
  /// Load per slot of a tier of zones at which requests begin to spill over to
  /// the next tier, and at which all of them may.
  double spillStartLoad_ = 1.5;
  double spillFullLoad_ = 3;
  /// Requests spill over only if the next tier's load per slot is below this
  /// fraction of the nearer tier's.
  double spillMaxLoadRatio_ = 0.7;

  static ReplicaChooserSettings Read(JsonReader& aReader);
};

/// State of one replica of the wanted shard, as input to the choice.
struct ReplicaView
{
  /// The caller's index of the replica, returned in the choice.
  uint32_t replica_ = 0;
  ZoneDistance distance_ = ZoneDistance::Same;
  /// Whether the replica is deregistering, or the drain policy withholds new
  /// requests.
  bool isDraining_ = false;
  /// Whether the replica is ejected and no probe is due.
  bool isEjected_ = false;
  /// Whether its ejection has passed and one probe may be sent.
  bool isProbeDue_ = false;
  /// Whether this request has tried the replica.
  bool isTried_ = false;
  /// Whether no connection is idle and the connection share allows no new one.
  bool isOutOfConnections_ = false;
  /// Attempts of this instance in flight at the replica.
  uint32_t inFlight_ = 0;
  /// Upper bound of inFlight_.
  uint32_t inFlightLimit_ = 1;
  uint32_t slots_ = 1;
  /// Consecutive failed attempts at the replica.
  uint32_t failures_ = 0;
  /// Load of other instances by the latest report: requests in flight and
  /// queued at the replica, less those that this instance had in flight when
  /// the report arrived.
  double othersLoad_ = 0;
  TimePoint reportedAt_{};
  /// Average latency measured by this instance; zero without samples.
  Duration latency_{};
  TimePoint latencyAt_{};
  /// Result of RampWeight().
  double rampWeight_ = 1;
};

enum class ReplicaReason
{
  /// The better of two drawn replicas in the nearest tier of zones.
  Nearest,
  /// A replica of the next tier, since the nearest one is loaded.
  SpillOver,
  /// A replica of a farther tier, since the nearer ones have no usable replica.
  FarFallback,
  /// A probe after an ejection.
  Probe,
  /// An ejected replica, since no other is left.
  LastResort,
  /// Every replica was tried.
  NoneLeft,
  /// Untried replicas are left, but all of them drain.
  AllDraining,
  /// Untried replicas are left, but all of them are at their limit: wait or
  /// refuse.
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
  /// ReplicaView::replica_ of the chosen replica; valid only if isChosen_.
  uint32_t replica_ = 0;
  bool isChosen_ = false;
  ReplicaReason reason_ = ReplicaReason::NoneLeft;
};

/// Chooses a replica for one attempt: in the nearest tier of zones that can
/// take it, the better of two drawn at random. Has no side effects and does not
/// allocate.
///
/// @param aReplicas candidates; only the first 64 are considered.
/// @param aMayProbe false for actions, which are never used as probes.
ReplicaChoice ChooseReplica(const ReplicaChooserSettings& aSettings,
                            std::span<const ReplicaView> aReplicas,
                            bool aMayProbe,
                            RandomSource& aRandom,
                            TimePoint aNow);

} // namespace foxtail

#endif // POLICY_REPLICACHOOSER_H
