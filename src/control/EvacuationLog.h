#ifndef CONTROL_EVACUATIONLOG_H
#define CONTROL_EVACUATIONLOG_H

#include "control/CommandForwarder.h"
#include "control/EvacuationTable.h"

namespace foxtail {

/// The zone is as ordered.
struct EvacuationCommitted
{};

/// The order has not been applied. A sender that still wants it sends it again
/// with this number of known orders.
struct EvacuationUnproved
{
  uint64_t knownOrders_ = 0;
  /// Administration endpoint of this instance.
  std::string admin_;
};

/// No quorum confirmed the order, so its outcome is unknown.
struct EvacuationUnconfirmed
{
  std::string reason_;
};

using EvacuationOutcome =
  std::variant<EvacuationCommitted, EvacuationUnproved, EvacuationUnconfirmed>;

/// Commits orders that begin or end the evacuation of an availability zone.
/// Thread safe.
class EvacuationLog
{
public:
  EvacuationLog(ReplicatedControl& aControl,
                FrameTransport& aFrames,
                Metrics& aMetrics);

  /// Commits an order; repeated until @p aDeadline while no leader confirms it.
  /// One that is committed more than once has no further effect.
  boost::asio::awaitable<EvacuationOutcome> Commit(EvacuationOrder aOrder,
                                                   TimePoint aDeadline);

private:
  /// What this instance has of the replicated state.
  struct LocalState
  {
    std::optional<SetEvacuation> command_;
    uint64_t orders_ = 0;
    /// Administration endpoint; none while this instance is not in the group.
    std::optional<std::string> admin_;
  };

  boost::asio::awaitable<EvacuationOutcome> TryCommit(EvacuationOrder aOrder,
                                                      TimePoint aDeadline);
  boost::asio::awaitable<LocalState> ReadLocalState(EvacuationOrder aOrder);
  /// Waits until this instance has applied an order after @p aKnownOrders,
  /// since the number that it would state before is refused again.
  boost::asio::awaitable<EvacuationOutcome> AwaitLaterOrder(
    EvacuationOrder aOrder,
    TimePoint aDeadline);

  ReplicatedControl& control_;
  CommandForwarder forwarder_;
  prometheus::Counter& committed_;
  prometheus::Counter& unproved_;
  prometheus::Counter& notCommitted_;
};

} // namespace foxtail

#endif // CONTROL_EVACUATIONLOG_H
