#include "forward/ServerConnectionPool.h"

#include "forward/TeamGate.h"

#include "core/Log.h"
#include "core/Metrics.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

/// Weight of the latest outcome in the moving average of failures.
constexpr double kFailureWeight = 0.25;
/// Half-life of the failure rate. It decays without new outcomes, so that a
/// server that is avoided is eventually tried again.
constexpr milliseconds kFailureHalfLife{ 2000 };
/// Age after which a reported load is ignored: a few times the usual server
/// time.
constexpr milliseconds kReportedLoadMaxAge{ 200 };
/// An unreachable server is avoided for this long, doubled with each connect
/// failure up to kMaxUnreachableBackoff.
constexpr milliseconds kInitialUnreachableBackoff{ 100 };
constexpr milliseconds kMaxUnreachableBackoff{ 2000 };
/// Time in which requests that wait for a connection may still be sent to a
/// server that has begun to drain or whose zone was evacuated; then they are
/// sent to other servers.
constexpr milliseconds kMaxQueueTimeWhileDraining{ 300 };
constexpr unsigned kFirstServerError = 500;
/// Interval of the log lines about one server that states a rate limit.
constexpr seconds kRateLimitLogInterval{ 10 };

/// @return the round trip that is assumed until the first connect is timed.
Duration InitialRoundTrip(ZoneDistance aDistance)
{
  switch (aDistance) {
    case ZoneDistance::Same:
      return milliseconds(1);
    case ZoneDistance::Near:
      return milliseconds(2);
    case ZoneDistance::Far:
      return milliseconds(16);
  }
  return milliseconds(1);
}

double Decayed(double aValue,
               double aBaseline,
               Duration aAge,
               milliseconds aHalfLife)
{
  const double halfLives = std::chrono::duration<double>(aAge) /
                           std::chrono::duration<double>(aHalfLife);
  return aBaseline +
         (aValue - aBaseline) * std::exp2(-std::max(0.0, halfLives));
}

} // namespace

ServerConnectionPoolMetrics::ServerConnectionPoolMetrics(Metrics& aMetrics)
  : connects_(aMetrics.Counter("foxtail_forward_connects_total",
                               "Connections begun to backend servers"))
  , connectFailures_(aMetrics.Counter("foxtail_forward_connect_failures_total",
                                      "Connections that could not be opened"))
  , closedAbandoned_(
      aMetrics.Counter("foxtail_forward_closed_abandoned_total",
                       "Connections closed to end abandoned work"))
  , sent_{}
  , rateLimitedServers_(
      aMetrics.Gauge("foxtail_forward_rate_limited_servers",
                     "Backend servers that state a limit on the request rate"))
  , sentToRateLimited_(
      aMetrics.Counter("foxtail_forward_sent_to_rate_limited_total",
                       "Requests written to such servers"))
  , permitWaits_(
      aMetrics.Counter("foxtail_forward_rate_limit_waits_total",
                       "Requests that waited for a server's rate limit"))
  , leavingServers_(
      aMetrics.Counter("foxtail_forward_leaving_servers_total",
                       "Backend servers whose reply stated that they leave"))
  , refusals_(aMetrics.Counter(
      "foxtail_forward_server_refusals_total",
      "Replies that state a time for which the server accepts no requests"))
  , ramps_(aMetrics.Counter(
      "foxtail_forward_server_ramps_total",
      "Servers that got fewer requests after a start or a recovery"))
{
  for (const auto& row : EnumTable<ZoneDistance>::kRows) {
    sent_[static_cast<size_t>(row.value_)] =
      &aMetrics.Counter("foxtail_forward_sent_total",
                        "Requests written to backend servers",
                        { { "distance", std::string(row.name_) } });
  }
}

ServerConnectionPool::ServerConnectionPool(
  boost::asio::io_context& aContext,
  const ServerConnectionSettings& aSettings,
  const HeaderNames& aHeaderNames,
  ServerConnectionPoolContext& aShared,
  const ColdServerLimitSettings& aColdServers,
  const ServerPaceSettings& aPace,
  const ServerAnnouncement& aAnnouncement,
  boost::asio::ip::tcp::endpoint aEndpoint,
  ZoneDistance aDistance,
  TimePoint aNow)
  : context_(aContext)
  , settings_(aSettings)
  , headerNames_(aHeaderNames)
  , shared_(aShared)
  , endpoint_(std::move(aEndpoint))
  , distance_(aDistance)
  , roundTrip_(InitialRoundTrip(aDistance))
  , coldLimit_(aColdServers)
  , pace_(aPace)
{
  Update(aAnnouncement, aNow);
}

ServerConnectionPool::~ServerConnectionPool()
{
  for (const auto& connection : connections_) {
    connection->CloseWithoutNotice();
  }
  if (rateLimit_) {
    shared_.metrics_.rateLimitedServers_.Decrement();
  }
}

void ServerConnectionPool::Update(const ServerAnnouncement& aAnnouncement,
                                  TimePoint aNow)
{
  if (announcement_.phase_ == ServerPhase::Ready &&
      aAnnouncement.phase_ != ServerPhase::Ready) {
    drainingSince_ = aNow;
  }
  announcement_ = aAnnouncement;
  isLeaving_ = isLeaving_ || announcement_.isLeaving_;
  announcedColdUntil_ = aNow + announcement_.warmupLeft_;
  UpdateColdUntil(aNow);
}

void ServerConnectionPool::UpdateColdUntil(TimePoint aNow)
{
  const TimePoint until = std::max(announcedColdUntil_, statedColdUntil_);
  coldLimit_.SetColdUntil(until, shared_.random_.NextDouble(), aNow);
  const bool isCold = coldLimit_.IsCold(aNow);
  if (isCold && !wasCold_) {
    LogLine(LogLevel::Info, "server_cold")
      .Add("server", announcement_.id_)
      .Add("service", announcement_.service_)
      .Add("for_ms", ToMilliseconds(until - aNow))
      .Add("limited", coldLimit_.IsLimiting(aNow));
    BeginPace(aNow);
  }
  wasCold_ = isCold;
}

void ServerConnectionPool::BeginPace(TimePoint aNow)
{
  if (isPaced_ && pace_.Begin(aNow)) {
    shared_.metrics_.ramps_.Increment();
    LogLine(LogLevel::Info, "server_ramp")
      .Add("server", announcement_.id_)
      .Add("service", announcement_.service_)
      .Add("share", pace_.Share(aNow));
  }
}

void ServerConnectionPool::RecordWarmup(milliseconds aLeft, TimePoint aNow)
{
  // A reply is newer than the announcements received so far.
  statedColdUntil_ = aNow + aLeft;
  announcedColdUntil_ = std::min(announcedColdUntil_, statedColdUntil_);
  UpdateColdUntil(aNow);
}

void ServerConnectionPool::SetEvacuated(bool aIsEvacuated, TimePoint aNow)
{
  if (aIsEvacuated && AcceptsRequests()) {
    drainingSince_ = aNow;
  }
  isEvacuated_ = aIsEvacuated;
}

void ServerConnectionPool::Send(std::shared_ptr<Exchange> aExchange,
                                TimePoint aNow)
{
  aExchange->startedAt_ = aNow;
  // A request that waited for a permit may be sent after the evacuation began.
  const bool isUnusable = isRetired_ || isEvacuated_;
  if (waiting_.size() >= settings_.maxWaitingRequests_ || isUnusable) {
    aExchange->outcome_ = ExchangeOutcome::NotSent;
    aExchange->fault_ =
      isUnusable ? ExchangeFault::ServerRemoved : ExchangeFault::QueueFull;
    boost::asio::post(context_, [exchange = std::move(aExchange)] {
      NotifyListener(exchange, Now());
    });
    return;
  }
  waiting_.push_back(std::move(aExchange));
  DispatchWaiting(aNow);
}

void ServerConnectionPool::TakePermit(TimePoint aNow)
{
  if (NextPermitAt(aNow) > aNow) {
    shared_.metrics_.permitWaits_.Increment();
  }
  const TimePoint sendAt = NextPermitAt(aNow);
  refusal_.OnSend(sendAt);
  rateShare_.TakePermit(aNow);
  coldLimit_.TakePermit(aNow);
}

void ServerConnectionPool::Preconnect(TimePoint aNow)
{
  if (NeedsConnect() && connections_.size() < maxConnections_ &&
      AcceptsRequests()) {
    OpenConnection(aNow);
  }
}

void ServerConnectionPool::Abandon(const std::shared_ptr<Exchange>& aExchange,
                                   TimePoint aCloseAt,
                                   TimePoint aNow)
{
  aExchange->isAbandoned_ = true;
  aExchange->closeAt_ = aCloseAt;
  if (!aExchange->IsSent()) {
    std::erase(waiting_, aExchange);
    return;
  }
  // The time that the abandoned exchange has waited so far is a lower bound on
  // its latency, so it counts towards the slowness estimate.
  if (aExchange->expectedServerTime_ > Duration::zero()) {
    RecordLatency(*aExchange, aNow);
  }
}

void ServerConnectionPool::Retire(TimePoint aNow)
{
  isRetired_ = true;
  FailAllWaiting(ExchangeFault::ServerRemoved, aNow);
  for (const auto& connection : std::exchange(idleConnections_, {})) {
    connection->CloseWithoutNotice();
    RemoveConnection(*connection);
  }
}

void ServerConnectionPool::CheckTimeouts(TimePoint aNow)
{
  CheckForCrash(aNow);
  if (!AcceptsRequests() &&
      aNow - drainingSince_ > kMaxQueueTimeWhileDraining) {
    FailAllWaiting(ExchangeFault::ServerRemoved, aNow);
  }
  const auto connections = connections_;
  for (const auto& connection : connections) {
    const Duration age = aNow - connection->StateSince();
    switch (connection->State()) {
      case ServerConnectionState::Connecting:
        if (age > settings_.connectTimeout_) {
          connection->Abort(ExchangeFault::ConnectTimeout, aNow);
        }
        break;
      case ServerConnectionState::Idle:
        if (age > connection->IdleLimit()) {
          std::erase(idleConnections_, connection);
          connection->CloseWithoutNotice();
          RemoveConnection(*connection);
        }
        break;
      case ServerConnectionState::Busy: {
        const Exchange& exchange = *connection->CurrentExchange();
        if (exchange.isAbandoned_ && aNow >= exchange.closeAt_) {
          shared_.metrics_.closedAbandoned_.Increment();
          connection->Abort(ExchangeFault::Abandoned, aNow);
        }
        break;
      }
      case ServerConnectionState::Closed:
        break;
    }
  }
}

ReplicaCandidate ServerConnectionPool::State(TimePoint aNow) const
{
  ReplicaCandidate state;
  state.roundTrip_ = roundTrip_;
  state.slowness_ = slowness_.Slowness(aNow);
  state.slots_ = std::max<uint32_t>(announcement_.slots_, 1);
  state.inFlight_ = static_cast<uint32_t>(sentTimes_.size() + waiting_.size());
  if (load_ && aNow - loadReceivedAt_ < kReportedLoadMaxAge) {
    state.reportedLoad_ = load_->running_ + load_->waiting_;
  }
  if (!sentTimes_.empty()) {
    state.oldestWait_ = aNow - *sentTimes_.begin();
  }
  state.failureRate_ =
    Decayed(failureRate_, 0, aNow - failureRateAt_, kFailureHalfLife);
  state.permitWait_ = NextPermitAt(aNow) - aNow;
  state.isWarmingUp_ = coldLimit_.IsCold(aNow);
  state.isOtherRegion_ = distance_ == ZoneDistance::Far;
  state.isRecentlyUnreachable_ = aNow < unreachableUntil_;
  state.needsConnect_ = NeedsConnect();
  return state;
}

void ServerConnectionPool::DispatchWaiting(TimePoint aNow)
{
  // After a pause of this process, a connection may be reported as open before
  // the timers that end the requests.
  while (!waiting_.empty() && waiting_.front()->deadline_ <= aNow) {
    FailOneWaiting(ExchangeFault::TimedOut, aNow);
  }
  while (!waiting_.empty() && !idleConnections_.empty()) {
    const auto exchange = waiting_.front();
    if (!exchange->request_->isSent_ && exchange->request_->sendBy_ <= aNow) {
      FailOneWaiting(ExchangeFault::PermitExpired, aNow);
      continue;
    }
    const auto connection = idleConnections_.back();
    idleConnections_.pop_back();
    if (!connection->CanCarry(exchange->request_->id_)) {
      connection->CloseWithoutNotice();
      RemoveConnection(*connection);
      continue;
    }
    waiting_.pop_front();
    exchange->request_->isSent_ = true;
    exchange->outstandingAtSend_ = static_cast<uint32_t>(sentTimes_.size());
    sentTimes_.insert(aNow);
    shared_.metrics_.sent_[static_cast<size_t>(distance_)]->Increment();
    if (rateLimit_) {
      shared_.metrics_.sentToRateLimited_.Increment();
      ++sentSinceRateLimitLog_;
    }
    if (shared_.hasTeams_ && !exchange->request_->hasTeamHeaders_) {
      // The request began under a document without teams.
      exchange->headers_ =
        WithoutTeamHeaders(exchange->request_->headers_, headerNames_);
    }
    connection->Send(exchange, aNow);
  }
  while (waiting_.size() > connecting_ &&
         connections_.size() < maxConnections_ && !isRetired_) {
    OpenConnection(aNow);
  }
}

void ServerConnectionPool::OpenConnection(TimePoint aNow)
{
  auto connection =
    std::make_shared<ServerConnection>(context_,
                                       endpoint_,
                                       announcement_.id_.Value(),
                                       settings_,
                                       headerNames_,
                                       shared_.replyMemory_,
                                       *this);
  connections_.push_back(connection);
  ++connecting_;
  shared_.metrics_.connects_.Increment();
  connection->Connect(aNow);
}

void ServerConnectionPool::RemoveConnection(const ServerConnection& aConnection)
{
  std::erase_if(connections_, [&](const auto& aOther) {
    return aOther.get() == &aConnection;
  });
}

void ServerConnectionPool::FailOneWaiting(ExchangeFault aFault, TimePoint aNow)
{
  if (waiting_.empty()) {
    return;
  }
  auto exchange = waiting_.front();
  waiting_.pop_front();
  exchange->outcome_ = ExchangeOutcome::NotSent;
  exchange->fault_ = aFault;
  // Posted to the event loop, because a method of the pool may be on the call
  // stack.
  boost::asio::post(context_, [exchange = std::move(exchange), aNow] {
    NotifyListener(exchange, aNow);
  });
}

void ServerConnectionPool::FailAllWaiting(ExchangeFault aFault, TimePoint aNow)
{
  while (!waiting_.empty()) {
    FailOneWaiting(aFault, aNow);
  }
}

void ServerConnectionPool::RecordNotices(const ServerNotices& aNotices,
                                         const Exchange& aExchange,
                                         TimePoint aNow)
{
  if (aNotices.isLeaving_ && !isLeaving_) {
    RecordLeaving(aExchange, aNow);
  }
  if (aNotices.warmupLeft_) {
    RecordWarmup(*aNotices.warmupLeft_, aNow);
  }
  if (aNotices.refusesFor_) {
    RecordRefusal(*aNotices.refusesFor_, aExchange, aNow);
    return;
  }
  const bool isAccepted = aExchange.outcome_ == ExchangeOutcome::Answered &&
                          aExchange.reply_.status_ < kFirstServerError;
  if (isAccepted && refusal_.OnAccepted(aExchange.sentAt_)) {
    LogLine(LogLevel::Info, "server_refusal_ended")
      .Add("server", announcement_.id_)
      .Add("service", announcement_.service_)
      .Add("request", aExchange.request_->id_);
  }
}

void ServerConnectionPool::RecordLeaving(const Exchange& aExchange,
                                         TimePoint aNow)
{
  isLeaving_ = true;
  shared_.metrics_.leavingServers_.Increment();
  LogLine(LogLevel::Info, "server_leaving")
    .Add("server", announcement_.id_)
    .Add("service", announcement_.service_)
    .Add("started_at_ms", announcement_.startedAtMs_)
    .Add("request", aExchange.request_->id_)
    .Add("sent_elsewhere", waiting_.size());
  FailAllWaiting(ExchangeFault::ServerRemoved, aNow);
  if (shared_.onLeaving_) {
    shared_.onLeaving_(announcement_.id_, announcement_.startedAtMs_);
  }
}

void ServerConnectionPool::RecordRefusal(Duration aFor,
                                         const Exchange& aExchange,
                                         TimePoint aNow)
{
  shared_.metrics_.refusals_.Increment();
  const size_t waiting = waiting_.size();
  if (refusal_.OnRefused(aFor, aNow)) {
    LogLine(LogLevel::Info, "server_refuses")
      .Add("server", announcement_.id_)
      .Add("service", announcement_.service_)
      .Add("request", aExchange.request_->id_)
      .Add("for_ms", ToMilliseconds(aFor))
      .Add("sent_elsewhere", waiting);
  }
  if (refusal_.IsRefusing(aNow)) {
    FailAllWaiting(ExchangeFault::Refusing, aNow);
  }
}

void ServerConnectionPool::OnConnectionOpen(ServerConnection& aConnection,
                                            TimePoint aNow)
{
  --connecting_;
  if (unreachableBackoff_ > milliseconds(0)) {
    BeginPace(aNow);
  }
  unreachableBackoff_ = milliseconds(0);
  unreachableUntil_ = TimePoint{};
  // A busy server accepts connections late, so the minimum connect time is
  // used. The kept value grows with each connect, so that it follows a lasting
  // change of the network path.
  constexpr double kRoundTripGrowth = 1.05;
  const auto grownRoundTrip = duration_cast<Duration>(
    std::chrono::duration<double>(roundTrip_) * kRoundTripGrowth);
  roundTrip_ = std::min(aConnection.ConnectTime(), grownRoundTrip);
  crashDetector_.OnAlive();
  if (isRetired_) {
    aConnection.CloseWithoutNotice();
    RemoveConnection(aConnection);
    return;
  }
  idleConnections_.push_back(aConnection.shared_from_this());
  DispatchWaiting(aNow);
}

void ServerConnectionPool::OnExchangeDone(ServerConnection& aConnection,
                                          std::shared_ptr<Exchange> aExchange,
                                          TimePoint aNow)
{
  const auto self = shared_from_this();
  const auto sent = sentTimes_.find(aExchange->sentAt_);
  if (sent != sentTimes_.end()) {
    sentTimes_.erase(sent);
  }
  if (aConnection.Load()) {
    load_ = aConnection.Load();
    loadReceivedAt_ = aNow;
    slowness_.OnReported(load_->slowness_, aNow);
  }
  if (aExchange->outcome_ == ExchangeOutcome::Answered ||
      aExchange->outcome_ == ExchangeOutcome::Refused) {
    RecordNotices(aConnection.Notices(), *aExchange, aNow);
  }
  RecordRateLimit(aConnection.RateLimit(), *aExchange, aNow);
  RecordOutcome(*aExchange, aNow);
  if (aConnection.State() == ServerConnectionState::Closed) {
    RemoveConnection(aConnection);
  } else if (isRetired_) {
    aConnection.CloseWithoutNotice();
    RemoveConnection(aConnection);
  } else {
    idleConnections_.push_back(aConnection.shared_from_this());
  }
  DispatchWaiting(aNow);
  if (!aExchange->isAbandoned_) {
    NotifyListener(aExchange, aNow);
  }
}

void ServerConnectionPool::OnConnectionClosed(ServerConnection& aConnection,
                                              ExchangeFault aFault,
                                              TimePoint aNow)
{
  const auto connection = aConnection.shared_from_this();
  std::erase(idleConnections_, connection);
  const bool isConnectFault = aFault == ExchangeFault::ConnectFailed ||
                              aFault == ExchangeFault::ConnectTimeout;
  RemoveConnection(aConnection);
  if (aFault == ExchangeFault::ResetOnConnect) {
    RecordConnectFailure(aNow);
  }
  if (!isConnectFault) {
    return;
  }
  --connecting_;
  RecordConnectFailure(aNow);
  if (aFault == ExchangeFault::ConnectFailed) {
    RecordCrash(aNow);
  }
  // Only an exchange that none of the remaining connections will serve fails.
  if (connections_.size() < waiting_.size() || connections_.empty()) {
    FailOneWaiting(aFault, aNow);
  }
}

void ServerConnectionPool::RecordOutcome(const Exchange& aExchange,
                                         TimePoint aNow)
{
  if (aExchange.fault_ == ExchangeFault::Abandoned) {
    return;
  }
  if (aExchange.outcome_ == ExchangeOutcome::Answered) {
    aExchange.request_->hasReply_ = true;
    shared_.crashes_.OnAnswered(aExchange.request_->fingerprint_, aNow);
  }
  if (aExchange.IsUnanswered() && !aExchange.request_->hasReply_) {
    const RequestFingerprint request = aExchange.request_->fingerprint_;
    shared_.crashes_.OnUnanswered(request, aNow);
    constexpr milliseconds kSchedulingMargin{ 5 };
    const bool hasReachedServer =
      aNow - aExchange.sentAt_ >= roundTrip_ + kSchedulingMargin;
    crashDetector_.OnUnanswered(
      { request, aExchange.sentAt_, aNow, hasReachedServer }, aNow);
    if (aExchange.fault_ != ExchangeFault::ResetOnConnect) {
      wantsCrashCheck_ = true;
      // After the events that have arrived with this one, among them the ends
      // of the idle connections if the server has crashed.
      boost::asio::post(context_, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->CheckForCrash(Now());
        }
      });
    }
  }
  if (aExchange.fault_ == ExchangeFault::ResetOnConnect) {
    RecordConnectFailure(aNow);
    return;
  }
  const bool isServerFault = aExchange.outcome_ == ExchangeOutcome::Failed ||
                             aExchange.fault_ == ExchangeFault::WrongServer ||
                             aExchange.fault_ == ExchangeFault::Shed ||
                             (aExchange.outcome_ == ExchangeOutcome::Answered &&
                              aExchange.reply_.status_ >= kFirstServerError);
  failureRate_ =
    Decayed(failureRate_, 0, aNow - failureRateAt_, kFailureHalfLife) *
      (1 - kFailureWeight) +
    (isServerFault ? kFailureWeight : 0);
  failureRateAt_ = aNow;
  if (isServerFault) {
    pace_.OnFailure(aExchange.sentAt_, aNow);
  }
  if (aExchange.fault_ == ExchangeFault::WrongServer) {
    // Another server now has the announced address. A newer announcement
    // creates another pool; until then this server is avoided.
    unreachableUntil_ = aNow + kMaxUnreachableBackoff;
  }
  // An error is often returned without any work, so its latency would make a
  // failing server look fast.
  if (aExchange.outcome_ == ExchangeOutcome::Answered &&
      aExchange.reply_.status_ < kFirstServerError &&
      aExchange.expectedServerTime_ > Duration::zero() &&
      !aExchange.isAbandoned_) {
    RecordLatency(aExchange, aNow);
  }
}

void ServerConnectionPool::RecordLatency(const Exchange& aExchange,
                                         TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  const Duration took =
    std::max(Duration::zero(), aNow - aExchange.sentAt_ - roundTrip_);
  const double slots = std::max<uint32_t>(announcement_.slots_, 1);
  const double queued =
    std::max(0.0, (aExchange.outstandingAtSend_ + 1 - slots) / slots);
  const double ratio =
    Seconds(took) / (Seconds(aExchange.expectedServerTime_) * (1 + queued));
  shared_.slowServers_.OnLatency(
    { announcement_.id_, ratio, aExchange.sentAt_ });
  if (aExchange.isAbandoned_) {
    slowness_.OnAbandoned(ratio, aExchange.sentAt_, aNow);
  } else {
    slowness_.OnReply(ratio, aExchange.sentAt_, aNow);
  }
  pace_.OnReply(ratio, aExchange.sentAt_, aNow);
}

void ServerConnectionPool::RecordConnectFailure(TimePoint aNow)
{
  shared_.metrics_.connectFailures_.Increment();
  unreachableBackoff_ =
    unreachableBackoff_.count() == 0
      ? kInitialUnreachableBackoff
      : std::min(unreachableBackoff_ * 2, kMaxUnreachableBackoff);
  unreachableUntil_ = aNow + unreachableBackoff_;
}

void ServerConnectionPool::CheckForCrash(TimePoint aNow)
{
  wantsCrashCheck_ = wantsCrashCheck_ && crashDetector_.IsUndecided(aNow);
  if (!wantsCrashCheck_ || isRetired_ || connecting_ > 0) {
    return;
  }
  if (idleConnections_.empty()) {
    if (connections_.size() < maxConnections_) {
      OpenConnection(aNow);
    }
  } else if (crashDetector_.IsSettled(aNow)) {
    // A crash would have ended the idle connections too.
    crashDetector_.OnAlive();
  }
}

void ServerConnectionPool::RecordCrash(TimePoint aNow)
{
  std::vector<RequestCrash> crashes;
  for (const UnansweredRequest& request :
       crashDetector_.OnConnectRefused(aNow)) {
    crashes.push_back({ request.request_,
                        announcement_.id_,
                        announcement_.startedAtMs_,
                        request.sentAt_,
                        request.endedAt_,
                        request.hasReachedServer_ });
  }
  shared_.crashes_.OnCrash(crashes, aNow);
}

void ServerConnectionPool::RecordRateLimit(const StatedRateLimit& aLimit,
                                           const Exchange& aExchange,
                                           TimePoint aNow)
{
  const bool isFromServer = aExchange.outcome_ == ExchangeOutcome::Answered ||
                            (aExchange.outcome_ == ExchangeOutcome::Refused &&
                             aExchange.fault_ != ExchangeFault::WrongServer);
  if (!isFromServer) {
    return;
  }
  if (aLimit.isMalformed_) {
    if (!hasLoggedMalformedLimit_) {
      LogLine(LogLevel::Warning, "server_rate_limit_unreadable")
        .Add("server", announcement_.id_)
        .Add("service", announcement_.service_)
        .Add("remedy", "state a decimal number of requests per second");
    }
    hasLoggedMalformedLimit_ = true;
    return;
  }
  if (aLimit.perSecond_) {
    rateLimitStatedAt_ = aNow;
    SetRateLimit(aLimit.perSecond_, aNow);
  } else if (aExchange.sentAt_ >= rateLimitStatedAt_) {
    // A reply to an earlier request may have left the server before the limit
    // began and been overtaken by the reply that states it.
    SetRateLimit(std::nullopt, aNow);
  }
}

void ServerConnectionPool::SetRateLimit(std::optional<double> aPerSecond,
                                        TimePoint aNow)
{
  const bool isBeginOrEnd = rateLimit_.has_value() != aPerSecond.has_value();
  rateLimit_ = aPerSecond;
  if (rateLimit_) {
    rateShare_.SetLimit(*rateLimit_, shared_.random_.NextDouble(), aNow);
  } else {
    rateShare_.Clear();
  }
  if (isBeginOrEnd) {
    shared_.metrics_.rateLimitedServers_.Increment(rateLimit_ ? 1 : -1);
  }
  if (isBeginOrEnd ||
      (rateLimit_ && aNow - rateLimitLoggedAt_ >= kRateLimitLogInterval)) {
    LogRateLimit(aNow);
  }
}

void ServerConnectionPool::LogRateLimit(TimePoint aNow)
{
  LogLine line(LogLevel::Info, "server_rate_limit");
  line.Add("server", announcement_.id_)
    .Add("service", announcement_.service_)
    .Add("state", rateLimit_ ? "limited" : "ended")
    .Add("sent", sentSinceRateLimitLog_);
  if (rateLimit_) {
    line.Add("limit_per_s", *rateLimit_)
      .Add("share_per_s", rateShare_.SharePerSecond());
  }
  if (rateLimitLoggedAt_ != TimePoint{}) {
    line.Add("since_last_line_ms", ToMilliseconds(aNow - rateLimitLoggedAt_));
  }
  rateLimitLoggedAt_ = aNow;
  sentSinceRateLimitLog_ = 0;
}

void ServerConnectionPool::NotifyListener(
  const std::shared_ptr<Exchange>& aExchange,
  TimePoint aNow)
{
  if (const auto listener = aExchange->listener_.lock()) {
    listener->OnExchangeEnd(*aExchange, aNow);
  }
}

} // namespace foxtail
