#ifndef FORWARD_FORWARDSETTINGS_H
#define FORWARD_FORWARDSETTINGS_H

#include "core/Ids.h"
#include "core/Time.h"
#include "policy/AnswerTiming.h"
#include "policy/BusyServersBackoff.h"
#include "policy/ColdServerLimit.h"
#include "policy/CrashSuspects.h"
#include "policy/ExtraAttemptBudget.h"
#include "policy/LatencyPredictor.h"
#include "policy/LinkBacklog.h"
#include "policy/ReplyLimits.h"
#include "policy/ServerPace.h"
#include "policy/StartupHold.h"
#include "policy/ZoneMap.h"
#include "team/TeamAccess.h"

#include <string>

namespace foxtail {

/// Settings of the connections to one backend server.
struct ServerConnectionSettings
{
  /// Timeout of a connect: several round trips between regions, and below the
  /// one second after which a lost SYN is retransmitted.
  milliseconds connectTimeout_{ 400 };
  /// TCP_USER_TIMEOUT: a connection whose sent bytes are not acknowledged for
  /// this long is closed. In a network partition it would otherwise stay open
  /// for minutes.
  milliseconds userTimeout_{ 1500 };
  /// Maximum size of a reply body.
  uint64_t maxReplyBytes_ = uint64_t{ 16 } * 1024 * 1024;
  uint32_t maxReplyHeaderBytes_ = 64 * 1024;
  /// An idle connection is closed after this time, or earlier if the server
  /// states a shorter keep-alive time.
  milliseconds idleTimeout_{ 20000 };
  /// Share of a server's connections that all known instances together use, 0
  /// to 1. The rest is left for instances that are starting and for connections
  /// of instances that were just lost.
  double connectionShare_ = 0.85;
  /// Maximum requests of this instance that wait for a connection to one
  /// server.
  size_t maxWaitingRequests_ = 32;
};

/// Settings of request forwarding.
struct ForwardSettings
{
  InstanceId instance_;
  /// Distances from this instance's availability zone to the others.
  ZoneMap zones_;
  ServerConnectionSettings serverConnections_;
  LatencyPredictorSettings rank_;
  /// Bound of the requests to a server while it is cold.
  ColdServerLimitSettings coldServers_;
  /// Pace of servers that have just started, turned cold or recovered.
  /// Pace of servers that have started or recovered, where the document states
  /// a warm-up time of the service.
  ServerPaceSettings pace_;
  ExtraAttemptBudgetSettings extraBudget_;
  /// Whether an earlier process of this instance may have used its share of the
  /// slack of extra attempts shortly before this one started.
  bool mayBeRestart_ = false;
  /// Quantile, 0 to 1, of the latency of a route's first attempts that gives
  /// the delay of a hedge.
  double hedgeQuantile_ = 0.95;
  /// Shortest delay of a hedge, and the longest one as a share of the route's
  /// objective.
  milliseconds minHedgeDelay_{ 8 };
  double maxHedgeDelayShare_ = 0.5;
  /// Share of a hedge's delay after which a connection is opened for it if none
  /// is idle. The rest of the delay is about the time of a connect to another
  /// region, 22 to 46 ms.
  double preconnectShare_ = 0.5;
  /// Share of the budget of extra attempts that hedges leave to retries, as a
  /// retry makes up for a failure that has certainly occurred.
  double hedgeReserve_ = 0.1;
  /// Shares of the budget that an extra attempt must leave unused: one that the
  /// request needs to succeed, and one that only improves the answer.
  double requiredReserve_ = 0;
  double optionalReserve_ = 0.15;
  /// Memory of incomplete replies of all backend servers together.
  ReplyMemorySettings replyMemory_;
  StartupHoldSettings startupHold_;
  BusyServersBackoffSettings busyServersBackoff_;
  LinkSettings link_;
  AnswerTimingSettings answerTiming_;
  /// Time for which an abandoned exchange may continue before its connection is
  /// closed. Closing makes the backend server drop the work but costs a new
  /// connection.
  milliseconds abandonGrace_{ 0 };
  /// After servers have crashed together, connections to some of them seem to
  /// be open for this long: the transit time between regions.
  milliseconds crashTransitTime_ = CrashSuspectsSettings{}.transitTime_;
  TeamAccessSettings teamAccess_;
  /// Time limit of a request that states none.
  milliseconds defaultDeadline_{ 30000 };
  /// Retry-After of a refusal for which there is no better estimate.
  milliseconds retryAfter_{ 50 };
  /// Longest Retry-After of a refusal by a server's rate limit. A caller that
  /// returns usually reaches another instance, whose permits have another
  /// phase.
  milliseconds maxRateLimitRetryAfter_{ 500 };
};

} // namespace foxtail

#endif // FORWARD_FORWARDSETTINGS_H
