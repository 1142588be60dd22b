#ifndef FORWARD_FORWARDSETTINGS_H
#define FORWARD_FORWARDSETTINGS_H

#include "core/Ids.h"
#include "core/Time.h"
#include "policy/ExtraAttemptBudget.h"
#include "policy/LatencyPredictor.h"
#include "policy/ZoneMap.h"

#include <string>

namespace foxtail {

/// Settings of the connections to one backend server.
struct ServerConnectionSettings
{
  /// A connection that is not open by then is given up: several round trips
  /// between regions, and below the second after which a lost opening packet is
  /// sent again.
  milliseconds connectTimeout_{ 400 };
  /// Sent bytes that are not acknowledged for this long end the connection,
  /// which a partition would otherwise leave open for minutes.
  milliseconds userTimeout_{ 1500 };
  /// Largest reply, in bytes.
  uint64_t maxReplyBytes_ = uint64_t{ 16 } * 1024 * 1024;
  uint32_t maxReplyHeaderBytes_ = 64 * 1024;
  /// An idle connection is closed after this, unless the server names a shorter
  /// time.
  milliseconds idleTimeout_{ 20000 };
  /// Part of the connections of a server that all instances together use; the
  /// rest covers instances that are about to start or have just been lost.
  double connectionShare_ = 0.85;
  /// Requests of this instance that may wait for one server's connections.
  size_t maxWaitingRequests_ = 32;
};

/// Settings of forwarding.
struct ForwardSettings
{
  InstanceId instance_;
  /// Where this instance is.
  ZoneMap zones_;
  ServerConnectionSettings serverConnections_;
  LatencyPredictorSettings rank_;
  ExtraAttemptBudgetSettings extraBudget_;
  /// Latency quantile of a route's first attempts after which a second one is
  /// considered.
  double hedgeQuantile_ = 0.95;
  /// Shortest and, as a part of the objective, longest delay of a hedge.
  milliseconds minHedgeDelay_{ 8 };
  double maxHedgeDelayShare_ = 0.5;
  /// Part of a hedge's delay after which a connection is opened for it, if none
  /// is free: the rest of the delay is about the time of a connect to another
  /// region, 22 to 46 ms.
  double preconnectShare_ = 0.5;
  /// Part of the budget of extra sends that hedges leave to retries, which make
  /// up for a failure that is certain.
  double hedgeReserve_ = 0.2;
  /// Part of the budget that is left alone by a second attempt without which a
  /// request has no success, and by one that only adds to its value.
  double requiredReserve_ = 0;
  double optionalReserve_ = 0.4;
  /// The answer leaves this much before it must, beside its way to the caller:
  /// timers fire a little late, and merging and writing take time.
  milliseconds responseMargin_{ 3 };
  /// More margin when this process waits for its processor: its own work before
  /// and after the decision waits as its timers do. A bound on it.
  milliseconds maxLagMargin_{ 25 };
  /// How long an abandoned exchange may go on before its connection is closed,
  /// which makes the backend server drop the work but costs a new connection.
  milliseconds abandonGrace_{ 0 };
  /// Deadline of a request that names none.
  milliseconds defaultDeadline_{ 30000 };
  /// From the start of a process to its first document, as measured after a
  /// loss of power: what callers are told to wait for.
  milliseconds startupTime_{ 900 };
  /// Suggested pause after a refusal, when nothing better is known.
  milliseconds retryAfter_{ 50 };
};

} // namespace foxtail

#endif // FORWARD_FORWARDSETTINGS_H
