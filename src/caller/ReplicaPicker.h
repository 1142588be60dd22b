#ifndef CALLER_REPLICAPICKER_H
#define CALLER_REPLICAPICKER_H

#include "backend/FleetView.h"
#include "core/RandomSource.h"
#include "core/Time.h"
#include "policy/PolicySettings.h"

#include <cstdint>
#include <span>

namespace foxtail {

/// Replica chosen for an attempt.
struct ReplicaPick
{
  /// Index into the view; valid only when isChosen_ is set.
  uint32_t replica_ = 0;
  bool isChosen_ = false;
  /// The attempt is the probe of an ejected server, and this pick holds the
  /// claim to it.
  bool isProbe_ = false;
  ReplicaReason reason_ = ReplicaReason::NoneLeft;
};

/// Chooses a replica of one shard by the current signals of each replica. When
/// all are at their limits of attempts in flight, the one with the lowest load
/// is chosen, and the attempt is queued for it in this instance.
///
/// @param aReplicas indices into the view of the shard's replicas.
/// @param aTried indices of the replicas that already had an attempt of this
/// request.
/// @param aMayProbe whether a probe of an ejected server may be chosen; false
/// for actions.
ReplicaPick PickReplica(const PolicySettings& aSettings,
                        const FleetView& aView,
                        std::span<const uint32_t> aReplicas,
                        std::span<const uint32_t> aTried,
                        bool aMayProbe,
                        RandomSource& aRandom,
                        TimePoint aNow);

/// @return the number of attempts that the shard's replicas can accept now.
uint32_t FreeSlotsOf(const PolicySettings& aSettings,
                     const FleetView& aView,
                     std::span<const uint32_t> aReplicas,
                     TimePoint aNow);

} // namespace foxtail

#endif // CALLER_REPLICAPICKER_H
