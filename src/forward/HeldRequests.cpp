#include "forward/HeldRequests.h"

#include "core/Log.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Bounds the memory of held requests.
constexpr size_t kMaxHeldRequests = 256;
/// Interval between two releases: 40 requests/s beside those that arrive.
constexpr milliseconds kReleaseInterval{ 25 };

/// Time without a release that still counts for the next ones, as releases are
/// checked each 50 ms.
constexpr milliseconds kMaxReleaseCredit{ 50 };

} // namespace

HeldRequest::HeldRequest(ForwardRequest aRequest,
                         TimePoint aUntil,
                         BeginCallback aBegin)
  : request_(std::move(aRequest))
  , until_(aUntil)
  , begin_(std::move(aBegin))
{
}

void HeldRequest::OnCallerDisconnected(TimePoint aNow)
{
  isAbandoned_ = true;
  if (handler_ != nullptr) {
    handler_->OnCallerDisconnected(aNow);
  }
}

void HeldRequest::LimitAnswerTime(TimePoint aAnswerBy, TimePoint aNow)
{
  until_ = std::min(until_, aAnswerBy);
  if (handler_ != nullptr) {
    handler_->LimitAnswerTime(aAnswerBy, aNow);
  }
}

void HeldRequest::Release(TimePoint aNow)
{
  LogLine(LogLevel::Info, "request_released")
    .Add("request", request_.id_)
    .Add("held_ms", ToMilliseconds(aNow - request_.startedAt_))
    .Add("time_over", aNow >= until_);
  handler_ = begin_(std::move(request_), aNow);
}

std::shared_ptr<PendingRequest> HeldRequests::Hold(
  ForwardRequest aRequest,
  TimePoint aUntil,
  HeldRequest::BeginCallback aBegin)
{
  if (held_.size() >= kMaxHeldRequests) {
    return nullptr;
  }
  held_.push_back(std::make_shared<HeldRequest>(
    std::move(aRequest), aUntil, std::move(aBegin)));
  return held_.back();
}

void HeldRequests::ReleaseDue(
  const std::function<bool(const ForwardRequest&)>& aCanServe,
  TimePoint aNow)
{
  std::erase_if(held_, [](const std::shared_ptr<HeldRequest>& aHeld) {
    return aHeld->IsAbandoned();
  });
  // Taken out before they begin, because that may lead to another call.
  std::vector<std::shared_ptr<HeldRequest>> due;
  std::erase_if(held_, [&](const std::shared_ptr<HeldRequest>& aHeld) {
    const bool isTimeOver = aNow >= aHeld->Until();
    if (isTimeOver) {
      due.push_back(aHeld);
    }
    return isTimeOver;
  });
  std::sort(
    held_.begin(), held_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->Request().deadline_ < aRight->Request().deadline_;
    });
  nextReleaseAt_ = std::max(nextReleaseAt_, aNow - kMaxReleaseCredit);
  for (auto held = held_.begin();
       held != held_.end() && nextReleaseAt_ <= aNow;) {
    if (aCanServe((*held)->Request())) {
      due.push_back(*held);
      held = held_.erase(held);
      nextReleaseAt_ += kReleaseInterval;
    } else {
      ++held;
    }
  }
  for (const auto& held : due) {
    if (!held->IsAbandoned()) {
      held->Release(aNow);
    }
  }
}

} // namespace foxtail
