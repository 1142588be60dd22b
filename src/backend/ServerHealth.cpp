#include "backend/ServerHealth.h"

#include "backend/BackendServer.h"
#include "core/Log.h"

#include <algorithm>
#include <vector>

namespace foxtail {
namespace {

/// Replies between two comparisons of a replica's latency with its peers'.
constexpr uint32_t kRepliesPerCheck = 100;

/// What a shard's replicas look like from one of them.
struct Peers
{
  ShardHealth shard_;
  Duration medianLatency_{};
};

Peers FindPeers(const FleetView& aView, const RoutedReplica& aReplica)
{
  Peers peers;
  const Announcement& own = aReplica.announcement_;
  const Layout* layout = aView.FindLayout({ own.service_, own.catalogue_ },
                                          { own.version_, own.shardCount_ });
  if (layout == nullptr) {
    return peers;
  }
  std::vector<Duration> latencies;
  for (const uint32_t index : layout->shards_[own.shard_.Value()]) {
    const RoutedReplica* replica = aView.replicas_[index].get();
    if (replica == nullptr) {
      continue;
    }
    const BackendSignals& signals = replica->server_->Signals();
    ++peers.shard_.replicas_;
    peers.shard_.ejected_ += signals.IsEjected() ? 1 : 0;
    if (replica->server_ != aReplica.server_ &&
        signals.Latency() > Duration::zero()) {
      latencies.push_back(signals.Latency());
    }
  }
  if (!latencies.empty()) {
    const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    peers.medianLatency_ = *middle;
  }
  return peers;
}

FailureKind RefusalKind(AttemptFault aFault)
{
  switch (aFault) {
    case AttemptFault::Draining:
      return FailureKind::RefusedDraining;
    case AttemptFault::Version:
    case AttemptFault::Shard:
      return FailureKind::RefusedVersion;
    case AttemptFault::Deadline:
      return FailureKind::RefusedDeadline;
    default:
      return FailureKind::RefusedOverloaded;
  }
}

FailureKind FailedKind(AttemptFault aFault)
{
  switch (aFault) {
    case AttemptFault::ConnectionClosed:
      return FailureKind::ConnectionLost;
    case AttemptFault::BadStatus:
      return FailureKind::ServerError;
    case AttemptFault::Cancelled:
      return FailureKind::HedgeLost;
    default:
      return FailureKind::BadReply;
  }
}

} // namespace

FailureKind FailureKindOf(const Attempt& aAttempt)
{
  switch (aAttempt.outcome_) {
    case AttemptOutcome::Refused:
      return RefusalKind(aAttempt.fault_);
    case AttemptOutcome::NotSent:
      return aAttempt.fault_ == AttemptFault::QueueFull ||
                 aAttempt.fault_ == AttemptFault::Deadline
               ? RefusalKind(aAttempt.fault_)
               : FailureKind::ConnectFailed;
    default:
      return FailedKind(aAttempt.fault_);
  }
}

ServerHealth::ServerHealth(const PolicySettings& aSettings,
                           BackendSignals& aSignals,
                           uint32_t aSlots,
                           uint32_t aInstances)
  : settings_(aSettings)
  , signals_(aSignals)
  , limiter_(aSettings.inFlight_, aSlots, aInstances)
  , ejection_(aSettings.ejection_)
{
  signals_.PublishLimit(limiter_.Limit());
}

void ServerHealth::Configure(uint32_t aSlots, uint32_t aInstances)
{
  limiter_.Configure(aSlots, aInstances);
  signals_.PublishLimit(limiter_.Limit());
}

void ServerHealth::OnProbeSent(TimePoint aNow)
{
  ejection_.OnProbeSent(health_, aNow);
  Publish(aNow);
}

void ServerHealth::Publish(TimePoint)
{
  const TimePoint probeDueAt =
    health_.isProbeSent_
      ? health_.probeSentAt_ + settings_.ejection_.probeTimeout_
      : health_.ejectedUntil_;
  signals_.Publish(health_, probeDueAt);
  signals_.PublishLimit(limiter_.Limit());
}

void ServerHealth::OnAttemptEnd(const Attempt& aAttempt,
                                const FleetView& aView,
                                RandomSource& aRandom,
                                TimePoint aNow)
{
  if (aAttempt.outcome_ == AttemptOutcome::Replied) {
    OnReply(aAttempt, aView, aRandom, aNow);
    return;
  }
  const FailureKind failure = FailureKindOf(aAttempt);
  if (failure == FailureKind::RefusedOverloaded) {
    limiter_.OnShed(signals_.InFlight(), aNow);
  }
  OnFailure(*aAttempt.replica_, failure, aView, aRandom, aNow);
}

void ServerHealth::OnReply(const Attempt& aAttempt,
                           const FleetView& aView,
                           RandomSource& aRandom,
                           TimePoint aNow)
{
  const Duration latency = aAttempt.endedAt_ - aAttempt.sentAt_;
  limiter_.OnReply(latency, aAttempt.inFlightAtSend_, aNow);
  EjectionVerdict verdict = ejection_.OnReply(health_, latency, aNow);
  LogVerdict(*aAttempt.replica_, verdict, "probe_answered");
  if (++repliesSinceCheck_ >= kRepliesPerCheck) {
    repliesSinceCheck_ = 0;
    const Peers peers = FindPeers(aView, *aAttempt.replica_);
    verdict = ejection_.CheckLatency(
      health_, peers.medianLatency_, peers.shard_, aRandom, aNow);
    LogVerdict(*aAttempt.replica_, verdict, "latency");
  }
  Publish(aNow);
}

void ServerHealth::OnFailure(const RoutedReplica& aReplica,
                             FailureKind aFailure,
                             const FleetView& aView,
                             RandomSource& aRandom,
                             TimePoint aNow)
{
  if (aFailure == FailureKind::ConnectFailed ||
      aFailure == FailureKind::ConnectionLost ||
      aFailure == FailureKind::Timeout) {
    signals_.OnFailed(aNow);
  }
  const Peers peers = FindPeers(aView, aReplica);
  const EjectionVerdict verdict =
    ejection_.OnFailure(health_, aFailure, peers.shard_, aRandom, aNow);
  LogVerdict(aReplica, verdict, NameOf(aFailure));
  Publish(aNow);
}

void ServerHealth::LogVerdict(const RoutedReplica& aReplica,
                              EjectionVerdict aVerdict,
                              std::string_view aReason)
{
  if (aVerdict == EjectionVerdict::None) {
    return;
  }
  const Announcement& announcement = aReplica.announcement_;
  LogLine(LogLevel::Warning, "ejection")
    .Add("verdict", NameOf(aVerdict))
    .Add("server", announcement.server_)
    .Add("service", announcement.service_)
    .Add("catalogue", announcement.catalogue_)
    .Add("index_version", announcement.version_)
    .Add("shard", aReplica.shardText_)
    .Add("reason", aReason);
}

} // namespace foxtail
