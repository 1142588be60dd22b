#include "caller/AdmissionController.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace foxtail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kPollInterval{ 2 };

} // namespace

AdmissionController::AdmissionController(AdmissionSettings aSettings,
                                         asio::io_context& aContext,
                                         FreeSlotsFunction aFreeSlots)
  : queue_(aSettings)
  , context_(aContext)
  , freeSlots_(std::move(aFreeSlots))
  , pollTimer_(aContext)
{
}

void AdmissionController::Configure(
  const std::vector<AdmissionTeam>& aTeams,
  const std::vector<AdmissionService>& aServices)
{
  queue_.Configure(aTeams, aServices);
}

void AdmissionController::UpdateConcurrency(const ServiceName& aService)
{
  const std::optional<uint32_t> free = freeSlots_(aService);
  if (!free) {
    return;
  }
  const uint32_t running = running_[aService];
  const uint32_t room = UINT32_MAX - running;
  queue_.SetConcurrency(aService, running + std::min(*free, room));
}

asio::awaitable<AdmissionVerdict> AdmissionController::Admit(
  ServiceName aService,
  TimePoint aDeadline,
  Duration aTypicalDuration)
{
  UpdateConcurrency(aService);
  const uint64_t id = ++nextId_;
  AdmissionVerdict verdict =
    queue_.Offer(aService, { id, aDeadline, aTypicalDuration }, Now());
  if (verdict == AdmissionVerdict::Queue) {
    asio::steady_timer timer(context_, asio::steady_timer::time_point::max());
    Waiter waiter{ timer, aService, std::nullopt };
    waiters_[id] = &waiter;
    ArmTimer();
    while (!waiter.verdict_) {
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return *waiter.verdict_;
  }
  if (verdict == AdmissionVerdict::Start) {
    ++running_[aService];
  }
  co_return verdict;
}

void AdmissionController::OnRequestDone(const ServiceName& aService,
                                        Duration aDuration)
{
  --running_[aService];
  queue_.Finish(aService, aDuration);
  if (queue_.Queued() > 0) {
    Poll();
  }
}

void AdmissionController::Poll()
{
  std::set<ServiceName> services;
  for (const auto& [id, waiter] : waiters_) {
    services.insert(waiter->service_);
  }
  for (const ServiceName& service : services) {
    UpdateConcurrency(service);
  }
  queue_.Poll(Now(), events_);
  for (const AdmissionEvent& event : events_) {
    const auto found = waiters_.find(event.id_);
    if (found == waiters_.end()) {
      continue;
    }
    Waiter& waiter = *found->second;
    waiters_.erase(found);
    waiter.verdict_ = event.verdict_;
    if (event.verdict_ == AdmissionVerdict::Start) {
      ++running_[waiter.service_];
    }
    waiter.timer_.cancel();
  }
}

void AdmissionController::ArmTimer()
{
  if (isPolling_) {
    return;
  }
  isPolling_ = true;
  pollTimer_.expires_after(kPollInterval);
  pollTimer_.async_wait([this](const boost::system::error_code& aError) {
    isPolling_ = false;
    if (aError) {
      return;
    }
    Poll();
    if (queue_.Queued() > 0) {
      ArmTimer();
    }
  });
}

} // namespace foxtail
