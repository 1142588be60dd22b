#include "forward/ServerPool.h"

#include "core/Metrics.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

/// Weight of the newest end in the moving average of failures.
constexpr double kFailureWeight = 0.25;
/// What was learned of failures fades by half in this time, so that a server
/// that is avoided is tried again.
constexpr milliseconds kFailureHalfLife{ 2000 };
/// A reported load tells little after a few times the usual work.
constexpr milliseconds kLoadIsRecent{ 200 };
/// A server that cannot be reached is tried again after this pause, doubled
/// with each failure.
constexpr milliseconds kFirstSuspectPause{ 100 };
constexpr milliseconds kLongestSuspectPause{ 2000 };

/// Round trips that are assumed before the first connect.
Duration AssumedRoundTrip(ZoneDistance aDistance)
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

double Faded(double aValue, double aRest, Duration aAge, milliseconds aHalfLife)
{
  const double halves = std::chrono::duration<double>(aAge) /
                        std::chrono::duration<double>(aHalfLife);
  return aRest + (aValue - aRest) * std::exp2(-std::max(0.0, halves));
}

} // namespace

ServerPoolMetrics::ServerPoolMetrics(Metrics& aMetrics)
  : connects_(aMetrics.Counter("foxtail_forward_connects_total",
                               "Connections begun to backend servers"))
  , connectFailures_(aMetrics.Counter("foxtail_forward_connect_failures_total",
                                      "Connections that could not be opened"))
  , closedAbandoned_(
      aMetrics.Counter("foxtail_forward_closed_abandoned_total",
                       "Connections closed to end abandoned work"))
  , sent_{}
{
  for (const auto& row : EnumTable<ZoneDistance>::kRows) {
    sent_[static_cast<size_t>(row.value_)] =
      &aMetrics.Counter("foxtail_forward_sent_total",
                        "Requests written to backend servers",
                        { { "distance", std::string(row.name_) } });
  }
}

ServerPool::ServerPool(boost::asio::io_context& aContext,
                       const LinkSettings& aSettings,
                       const Vocabulary& aVocabulary,
                       ServerPoolMetrics& aMetrics,
                       const ServerAnnouncement& aAnnouncement,
                       boost::asio::ip::tcp::endpoint aEndpoint,
                       ZoneDistance aDistance,
                       TimePoint aNow)
  : context_(aContext)
  , settings_(aSettings)
  , vocabulary_(aVocabulary)
  , metrics_(aMetrics)
  , endpoint_(std::move(aEndpoint))
  , distance_(aDistance)
  , roundTrip_(AssumedRoundTrip(aDistance))
{
  Update(aAnnouncement, aNow);
}

ServerPool::~ServerPool()
{
  for (const auto& link : links_) {
    link->Drop();
  }
}

void ServerPool::Update(const ServerAnnouncement& aAnnouncement, TimePoint aNow)
{
  announcement_ = aAnnouncement;
  warmUntil_ = aNow + announcement_.warmupLeft_;
}

void ServerPool::Send(std::shared_ptr<Exchange> aExchange, TimePoint aNow)
{
  aExchange->startedAt_ = aNow;
  if (waiting_.size() >= settings_.maxWaiting_ || isRetired_) {
    aExchange->end_ = ExchangeEnd::NotSent;
    aExchange->fault_ =
      isRetired_ ? ExchangeFault::Retired : ExchangeFault::NoRoom;
    boost::asio::post(
      context_, [exchange = std::move(aExchange)] { Tell(exchange, Now()); });
    return;
  }
  waiting_.push_back(std::move(aExchange));
  Pump(aNow);
}

void ServerPool::Prepare(TimePoint aNow)
{
  if (NeedsConnect() && links_.size() < maxLinks_ && !isRetired_) {
    OpenLink(aNow);
  }
}

void ServerPool::Abandon(const std::shared_ptr<Exchange>& aExchange,
                         TimePoint aCloseAt,
                         TimePoint aNow)
{
  aExchange->isAbandoned_ = true;
  aExchange->closeAt_ = aCloseAt;
  if (!aExchange->IsSent()) {
    std::erase(waiting_, aExchange);
    return;
  }
  // What has waited in vain until now shows that the server is slow.
  if (aExchange->expectedWork_ > Duration::zero()) {
    NoteLatency(*aExchange, aNow);
  }
}

void ServerPool::Retire(TimePoint aNow)
{
  isRetired_ = true;
  while (!waiting_.empty()) {
    FailOneWaiting(ExchangeFault::Retired, aNow);
  }
  for (const auto& link : std::exchange(idle_, {})) {
    link->Drop();
    Forget(*link);
  }
}

void ServerPool::Tick(TimePoint aNow)
{
  const auto links = links_;
  for (const auto& link : links) {
    const Duration age = aNow - link->Since();
    switch (link->State()) {
      case LinkState::Connecting:
        if (age > settings_.connectTimeout_) {
          link->Expire(ExchangeFault::ConnectTimeout, aNow);
        }
        break;
      case LinkState::Idle:
        if (age > link->IdleLimit()) {
          std::erase(idle_, link);
          link->Drop();
          Forget(*link);
        }
        break;
      case LinkState::Busy: {
        const Exchange& exchange = *link->Current();
        if (exchange.isAbandoned_ && aNow >= exchange.closeAt_) {
          metrics_.closedAbandoned_.Increment();
          link->Expire(ExchangeFault::Abandoned, aNow);
        }
        break;
      }
      case LinkState::Closed:
        break;
    }
  }
}

ReplicaCandidate ServerPool::State(TimePoint aNow) const
{
  ReplicaCandidate state;
  state.roundTrip_ = roundTrip_;
  state.slowness_ = pace_.Slowness(aNow);
  state.slots_ = std::max<uint32_t>(announcement_.slots_, 1);
  state.inFlight_ = static_cast<uint32_t>(sentTimes_.size() + waiting_.size());
  if (load_ && aNow - loadAt_ < kLoadIsRecent) {
    state.reportedLoad_ = load_->running_ + load_->waiting_;
  }
  if (!sentTimes_.empty()) {
    state.oldestWait_ = aNow - *sentTimes_.begin();
  }
  state.failureRate_ =
    Faded(failureShare_, 0, aNow - failureAt_, kFailureHalfLife);
  state.isWarmingUp_ = aNow < warmUntil_;
  state.isOtherRegion_ = distance_ == ZoneDistance::Far;
  state.isRecentlyUnreachable_ = aNow < suspectUntil_;
  state.needsConnect_ = NeedsConnect();
  return state;
}

void ServerPool::Pump(TimePoint aNow)
{
  while (!waiting_.empty() && !idle_.empty()) {
    const auto link = idle_.back();
    idle_.pop_back();
    const auto exchange = waiting_.front();
    waiting_.pop_front();
    exchange->aheadAtSend_ = static_cast<uint32_t>(sentTimes_.size());
    sentTimes_.insert(aNow);
    metrics_.sent_[static_cast<size_t>(distance_)]->Increment();
    link->Send(exchange, aNow);
  }
  while (waiting_.size() > connecting_ && links_.size() < maxLinks_ &&
         !isRetired_) {
    OpenLink(aNow);
  }
}

void ServerPool::OpenLink(TimePoint aNow)
{
  auto link = std::make_shared<ServerLink>(context_,
                                           endpoint_,
                                           announcement_.id_.Value(),
                                           settings_,
                                           vocabulary_,
                                           *this);
  links_.push_back(link);
  ++connecting_;
  metrics_.connects_.Increment();
  link->Connect(aNow);
}

void ServerPool::Forget(const ServerLink& aLink)
{
  std::erase_if(links_, [&](const auto& aRow) { return aRow.get() == &aLink; });
}

void ServerPool::FailOneWaiting(ExchangeFault aFault, TimePoint aNow)
{
  if (waiting_.empty()) {
    return;
  }
  auto exchange = waiting_.front();
  waiting_.pop_front();
  exchange->end_ = ExchangeEnd::NotSent;
  exchange->fault_ = aFault;
  // From the queue, as callers may be in the middle of a pool's methods.
  boost::asio::post(
    context_, [exchange = std::move(exchange), aNow] { Tell(exchange, aNow); });
}

void ServerPool::OnLinkOpen(ServerLink& aLink, TimePoint aNow)
{
  --connecting_;
  suspectPause_ = milliseconds(0);
  suspectUntil_ = TimePoint{};
  // A server that is busy takes a connection late: the shortest time counts.
  constexpr double kDrift = 1.05;
  const auto drifted =
    duration_cast<Duration>(std::chrono::duration<double>(roundTrip_) * kDrift);
  roundTrip_ = std::min(aLink.ConnectTime(), drifted);
  if (isRetired_) {
    aLink.Drop();
    Forget(aLink);
    return;
  }
  idle_.push_back(aLink.shared_from_this());
  Pump(aNow);
}

void ServerPool::OnLinkDone(ServerLink& aLink,
                            std::shared_ptr<Exchange> aExchange,
                            TimePoint aNow)
{
  const auto self = shared_from_this();
  const auto sent = sentTimes_.find(aExchange->sentAt_);
  if (sent != sentTimes_.end()) {
    sentTimes_.erase(sent);
  }
  if (aLink.Load()) {
    load_ = aLink.Load();
    loadAt_ = aNow;
    pace_.OnReported(load_->pace_, aNow);
  }
  NoteEnd(*aExchange, aNow);
  if (aLink.State() == LinkState::Closed) {
    Forget(aLink);
  } else if (isRetired_) {
    aLink.Drop();
    Forget(aLink);
  } else {
    idle_.push_back(aLink.shared_from_this());
  }
  Pump(aNow);
  if (!aExchange->isAbandoned_) {
    Tell(aExchange, aNow);
  }
}

void ServerPool::OnLinkClosed(ServerLink& aLink,
                              ExchangeFault aFault,
                              TimePoint aNow)
{
  const auto keep = aLink.shared_from_this();
  std::erase(idle_, keep);
  const bool isConnect = aFault == ExchangeFault::ConnectFailed ||
                         aFault == ExchangeFault::ConnectTimeout;
  Forget(aLink);
  if (aFault == ExchangeFault::TurnedAway) {
    NoteConnectFailure(aNow);
  }
  if (!isConnect) {
    return;
  }
  --connecting_;
  NoteConnectFailure(aNow);
  // Only exchanges that no other connection will take are given back.
  if (links_.size() < waiting_.size() || links_.empty()) {
    FailOneWaiting(aFault, aNow);
  }
}

void ServerPool::NoteEnd(const Exchange& aExchange, TimePoint aNow)
{
  if (aExchange.fault_ == ExchangeFault::Abandoned) {
    return;
  }
  if (aExchange.fault_ == ExchangeFault::TurnedAway) {
    NoteConnectFailure(aNow);
    return;
  }
  const bool isServerFault = aExchange.end_ == ExchangeEnd::Failed ||
                             aExchange.fault_ == ExchangeFault::WrongServer ||
                             aExchange.fault_ == ExchangeFault::Shed ||
                             (aExchange.end_ == ExchangeEnd::Answered &&
                              aExchange.reply_.status_ >= 500);
  failureShare_ = Faded(failureShare_, 0, aNow - failureAt_, kFailureHalfLife) *
                    (1 - kFailureWeight) +
                  (isServerFault ? kFailureWeight : 0);
  failureAt_ = aNow;
  if (aExchange.fault_ == ExchangeFault::WrongServer) {
    // The announcement is outdated; a newer one makes another pool.
    suspectUntil_ = aNow + kLongestSuspectPause;
  }
  if (aExchange.end_ == ExchangeEnd::Answered &&
      aExchange.expectedWork_ > Duration::zero() && !aExchange.isAbandoned_) {
    NoteLatency(aExchange, aNow);
  }
}

void ServerPool::NoteLatency(const Exchange& aExchange, TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  const Duration took =
    std::max(Duration::zero(), aNow - aExchange.sentAt_ - roundTrip_);
  const double slots = std::max<uint32_t>(announcement_.slots_, 1);
  const double queued =
    std::max(0.0, (aExchange.aheadAtSend_ + 1 - slots) / slots);
  const double ratio =
    Seconds(took) / (Seconds(aExchange.expectedWork_) * (1 + queued));
  if (aExchange.isAbandoned_) {
    pace_.OnAbandoned(ratio, aExchange.sentAt_, aNow);
  } else {
    pace_.OnReply(ratio, aExchange.sentAt_, aNow);
  }
}

void ServerPool::NoteConnectFailure(TimePoint aNow)
{
  metrics_.connectFailures_.Increment();
  suspectPause_ = suspectPause_.count() == 0
                    ? kFirstSuspectPause
                    : std::min(suspectPause_ * 2, kLongestSuspectPause);
  suspectUntil_ = aNow + suspectPause_;
}

void ServerPool::Tell(const std::shared_ptr<Exchange>& aExchange,
                      TimePoint aNow)
{
  if (const auto listener = aExchange->listener_.lock()) {
    listener->OnExchangeEnd(*aExchange, aNow);
  }
}

} // namespace foxtail
