#include "policy/ConnectionShare.h"

#include <algorithm>

namespace foxtail {
namespace {

uint32_t ReserveOf(const ConnectionShareSettings& aSettings,
                   const ConnectionShareInput& aInput)
{
  const auto reserve =
    static_cast<uint32_t>(aInput.limit_ * aSettings.reservePercent_ / 100);
  // No reserve if it would leave an instance without a connection.
  const uint32_t spare =
    aInput.limit_ > aInput.instances_ ? aInput.limit_ - aInput.instances_ : 0;
  return std::min(reserve, spare);
}

} // namespace

ConnectionShareSettings ConnectionShareSettings::Read(JsonReader& aReader)
{
  ConnectionShareSettings result;
  const milliseconds shortest(0);
  const milliseconds longest(600000);
  result.reservePercent_ =
    aReader.Number("reserve_percent", result.reservePercent_, 0, 90);
  result.growDelay_ =
    aReader.Millis("grow_delay_ms", result.growDelay_, shortest, longest);
  result.lostInstanceHold_ =
    aReader.Millis("lost_hold_ms", result.lostInstanceHold_, shortest, longest);
  result.refusedHold_ =
    aReader.Millis("refused_hold_ms", result.refusedHold_, shortest, longest);
  return result;
}

uint32_t ShareOf(const ConnectionShareSettings& aSettings,
                 const ConnectionShareInput& aInput)
{
  const uint32_t usable = aInput.limit_ - ReserveOf(aSettings, aInput);
  const uint32_t base = usable / aInput.instances_;
  const uint32_t rest = usable % aInput.instances_;
  return base + (aInput.rank_ < rest ? 1 : 0);
}

ConnectionShare::ConnectionShare(ConnectionShareSettings aSettings)
  : settings_(aSettings)
{
}

uint32_t ConnectionShare::Update(const ConnectionShareInput& aInput,
                                 TimePoint aNow)
{
  uint32_t target = ShareOf(settings_, aInput);
  if (refusedUntil_ && aNow >= *refusedUntil_) {
    refusedUntil_.reset();
  }
  if (refusedUntil_) {
    target = std::min(target, current_);
  }
  if (isFirstUpdate_) {
    isFirstUpdate_ = false;
    // A joining instance opens one connection at once, from the reserve.
    current_ = ReserveOf(settings_, aInput) > 0 ? std::min(target, 1U) : 0;
  }
  if (target <= current_) {
    current_ = target;
    pendingShare_.reset();
    return current_;
  }
  if (!pendingShare_) {
    growAt_ = aNow + settings_.growDelay_;
  }
  pendingShare_ = std::min(pendingShare_.value_or(target), target);
  if (aNow >= growAt_) {
    current_ = *pendingShare_;
    pendingShare_.reset();
  }
  return current_;
}

void ConnectionShare::OnRefused(TimePoint aNow)
{
  refusedUntil_ = aNow + settings_.refusedHold_;
  current_ = current_ > 1 ? current_ - 1 : current_;
  pendingShare_.reset();
}

} // namespace foxtail
