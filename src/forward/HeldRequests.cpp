#include "forward/HeldRequests.h"

#include "core/Log.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Bounds the memory of held requests.
constexpr size_t kMaxHeldRequests = 256;

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
  // Taken out first, because a released request may lead to another call.
  std::vector<std::shared_ptr<HeldRequest>> due;
  std::erase_if(held_, [&](const std::shared_ptr<HeldRequest>& aHeld) {
    if (aHeld->IsAbandoned()) {
      return true;
    }
    const bool isDue = aNow >= aHeld->Until() || aCanServe(aHeld->Request());
    if (isDue) {
      due.push_back(aHeld);
    }
    return isDue;
  });
  for (const auto& held : due) {
    if (!held->IsAbandoned()) {
      held->Release(aNow);
    }
  }
}

} // namespace foxtail
