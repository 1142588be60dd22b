#include "policy/AdmissionQueue.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kRunTimeWeight = 0.1;
constexpr double kMsPerSecond = 1000;

} // namespace

AdmissionSettings AdmissionSettings::Read(JsonReader& aReader)
{
  AdmissionSettings result;
  const milliseconds shortest(0);
  const milliseconds longest(60000);
  result.concurrency_ = static_cast<uint32_t>(
    aReader.Integer("concurrency", result.concurrency_, 1, 1000000));
  result.maxQueued_ = static_cast<uint32_t>(
    aReader.Integer("max_queued", result.maxQueued_, 0, 1000000));
  result.targetWait_ =
    aReader.Millis("target_wait_ms", result.targetWait_, shortest, longest);
  result.window_ =
    aReader.Millis("window_ms", result.window_, shortest, longest);
  result.overloadedWait_ = aReader.Millis(
    "overloaded_wait_ms", result.overloadedWait_, shortest, longest);
  result.quotaBurst_ =
    aReader.Millis("quota_burst_ms", result.quotaBurst_, shortest, longest);
  return result;
}

AdmissionQueue::AdmissionQueue(AdmissionSettings aSettings)
  : settings_(aSettings)
{
}

void AdmissionQueue::Configure(const std::vector<AdmissionTeam>& aTeams,
                               const std::vector<AdmissionService>& aServices)
{
  // A removed team is kept, since services may still point to it.
  for (const AdmissionTeam& row : aTeams) {
    Team& team = teams_[row.name_];
    team.weight_ = std::max<uint32_t>(1, row.weight_);
    team.requestsPerSecond_ = row.requestsPerSecond_;
  }
  for (auto& [name, service] : services_) {
    service.isRemoved_ = true;
  }
  for (const AdmissionService& row : aServices) {
    Service& service = services_[row.name_];
    service.team_ = &teams_[row.team_];
    service.queueLength_ = row.queueLength_;
    service.isRemoved_ = false;
  }
}

void AdmissionQueue::SetConcurrency(const ServiceName& aService,
                                    uint32_t aConcurrency)
{
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    found->second.concurrency_ = std::max<uint32_t>(1, aConcurrency);
  }
}

bool AdmissionQueue::TryTakeQuota(Team& aTeam, TimePoint aNow) const
{
  if (aTeam.requestsPerSecond_ == 0) {
    return true;
  }
  const double rate = aTeam.requestsPerSecond_;
  const double burst =
    std::max(1.0, rate * ToMilliseconds(settings_.quotaBurst_) / kMsPerSecond);
  if (!aTeam.isQuotaInitialized_) {
    aTeam.isQuotaInitialized_ = true;
    aTeam.tokens_ = burst;
    aTeam.refilledAt_ = aNow;
  }
  const double elapsed = ToMilliseconds(aNow - aTeam.refilledAt_);
  aTeam.tokens_ =
    std::min(burst, aTeam.tokens_ + rate * elapsed / kMsPerSecond);
  aTeam.refilledAt_ = aNow;
  if (aTeam.tokens_ < 1) {
    return false;
  }
  aTeam.tokens_ -= 1;
  return true;
}

bool AdmissionQueue::CanStart(const Service& aService) const
{
  return running_ < settings_.concurrency_ &&
         aService.running_ < aService.concurrency_;
}

void AdmissionQueue::Start(Service& aService)
{
  ++running_;
  ++aService.running_;
  Team& team = *aService.team_;
  // Start-time fair queueing: an idle team or service gains no credit.
  team.virtualFinish_ = std::max(team.virtualFinish_, virtualTime_);
  virtualTime_ = team.virtualFinish_;
  team.virtualFinish_ += 1 / team.weight_;
  aService.virtualFinish_ =
    std::max(aService.virtualFinish_, team.virtualTime_);
  team.virtualTime_ = aService.virtualFinish_;
  aService.virtualFinish_ += 1;
}

void AdmissionQueue::UpdateOverload(Service& aService, TimePoint aNow) const
{
  if (aService.queue_.empty() ||
      aNow - aService.queue_.front().arrivedAt_ <= settings_.targetWait_) {
    aService.belowTargetAt_ = aNow;
  }
  aService.isOverloaded_ = aNow - aService.belowTargetAt_ > settings_.window_;
}

Duration AdmissionQueue::EstimateWait(const Service& aService) const
{
  const double position = static_cast<double>(aService.queue_.size()) + 1;
  const double running = std::max<uint32_t>(1, aService.running_);
  const double ms = position * aService.meanRunTimeMs_ / running;
  return microseconds(static_cast<int64_t>(ms * 1000));
}

AdmissionVerdict AdmissionQueue::Offer(const ServiceName& aService,
                                       const AdmissionRequest& aRequest,
                                       TimePoint aNow)
{
  const auto found = services_.find(aService);
  if (found == services_.end() || found->second.isRemoved_) {
    return AdmissionVerdict::RefuseUnknown;
  }
  Service& service = found->second;
  if (aNow >= aRequest.deadline_) {
    return AdmissionVerdict::RefuseDeadline;
  }
  if (!TryTakeQuota(*service.team_, aNow)) {
    return AdmissionVerdict::RefuseQuota;
  }
  // Poll() starts every waiting request that can run, so only the service's own
  // queue has to be empty.
  if (service.queue_.empty() && CanStart(service)) {
    Start(service);
    return AdmissionVerdict::Start;
  }
  UpdateOverload(service, aNow);
  const Duration wait = EstimateWait(service);
  if (aNow + wait + aRequest.typicalLatency_ > aRequest.deadline_) {
    return AdmissionVerdict::RefuseDeadline;
  }
  if (service.isOverloaded_ && wait > settings_.overloadedWait_) {
    return AdmissionVerdict::RefuseOverloaded;
  }
  if (service.queue_.size() >= service.queueLength_ ||
      queued_ >= settings_.maxQueued_) {
    return AdmissionVerdict::RefuseQueueFull;
  }
  service.queue_.push_back({ aRequest, aNow });
  ++queued_;
  if (!service.isInWaitingList_) {
    service.isInWaitingList_ = true;
    waiting_.push_back(&service);
  }
  return AdmissionVerdict::Queue;
}

void AdmissionQueue::Finish(const ServiceName& aService, Duration aRunTime)
{
  running_ -= running_ > 0 ? 1 : 0;
  const auto found = services_.find(aService);
  if (found == services_.end()) {
    return;
  }
  Service& service = found->second;
  service.running_ -= service.running_ > 0 ? 1 : 0;
  const double ms = ToMilliseconds(aRunTime);
  service.meanRunTimeMs_ =
    service.meanRunTimeMs_ == 0
      ? ms
      : service.meanRunTimeMs_ + (ms - service.meanRunTimeMs_) * kRunTimeWeight;
}

void AdmissionQueue::Cancel(const ServiceName& aService, uint64_t aId)
{
  const auto found = services_.find(aService);
  if (found == services_.end()) {
    return;
  }
  queued_ -= std::erase_if(found->second.queue_, [&](const Waiting& aRow) {
    return aRow.request_.id_ == aId;
  });
}

AdmissionVerdict AdmissionQueue::EvaluateWaiting(const Service& aService,
                                                 const Waiting& aWaiting,
                                                 TimePoint aNow) const
{
  const AdmissionRequest& request = aWaiting.request_;
  if (aService.isRemoved_) {
    return AdmissionVerdict::RefuseUnknown;
  }
  if (aNow + request.typicalLatency_ > request.deadline_) {
    return AdmissionVerdict::RefuseDeadline;
  }
  if (aService.isOverloaded_ &&
      aNow - aWaiting.arrivedAt_ > settings_.overloadedWait_) {
    return AdmissionVerdict::RefuseOverloaded;
  }
  return AdmissionVerdict::Queue;
}

void AdmissionQueue::RefuseOverdue(Service& aService,
                                   TimePoint aNow,
                                   std::vector<AdmissionEvent>& aEvents)
{
  queued_ -= std::erase_if(aService.queue_, [&](const Waiting& aRow) {
    const AdmissionVerdict verdict = EvaluateWaiting(aService, aRow, aNow);
    if (verdict == AdmissionVerdict::Queue) {
      return false;
    }
    aEvents.push_back({ aRow.request_.id_, verdict, aNow - aRow.arrivedAt_ });
    return true;
  });
}

AdmissionQueue::Service* AdmissionQueue::NextService()
{
  Service* best = nullptr;
  const auto rank = [&](const Service& aRow) {
    return std::make_pair(
      std::max(aRow.team_->virtualFinish_, virtualTime_),
      std::max(aRow.virtualFinish_, aRow.team_->virtualTime_));
  };
  for (Service* service : waiting_) {
    const bool isReady = !service->queue_.empty() && CanStart(*service);
    if (isReady && (best == nullptr || rank(*service) < rank(*best))) {
      best = service;
    }
  }
  return best;
}

void AdmissionQueue::StartWaiting(Service& aService,
                                  TimePoint aNow,
                                  std::vector<AdmissionEvent>& aEvents)
{
  // Under overload the newest request is started first: it can still be
  // answered in time, while the oldest is about to be refused.
  const Waiting next =
    aService.isOverloaded_ ? aService.queue_.back() : aService.queue_.front();
  if (aService.isOverloaded_) {
    aService.queue_.pop_back();
  } else {
    aService.queue_.pop_front();
  }
  --queued_;
  Start(aService);
  aEvents.push_back(
    { next.request_.id_, AdmissionVerdict::Start, aNow - next.arrivedAt_ });
}

void AdmissionQueue::Poll(TimePoint aNow, std::vector<AdmissionEvent>& aEvents)
{
  aEvents.clear();
  if (queued_ == 0) {
    return;
  }
  for (Service* service : waiting_) {
    UpdateOverload(*service, aNow);
    RefuseOverdue(*service, aNow, aEvents);
  }
  while (queued_ > 0) {
    Service* service = NextService();
    if (service == nullptr) {
      break;
    }
    StartWaiting(*service, aNow, aEvents);
  }
  std::erase_if(waiting_, [](Service* aService) {
    aService->isInWaitingList_ = !aService->queue_.empty();
    return !aService->isInWaitingList_;
  });
}

bool AdmissionQueue::IsOverloaded(const ServiceName& aService) const
{
  const auto found = services_.find(aService);
  return found != services_.end() && !found->second.queue_.empty();
}

} // namespace foxtail
